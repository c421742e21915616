"""Why the gateway closes client connections, rejects requests and ends them."""

from __future__ import annotations

import enum


class CloseReason(enum.Enum):
    """Why a client connection ended; the values are parts of metric names."""

    CLIENT_LEFT = "client_left"
    COMMAND_TIMEOUT = "command_timeout"
    IDLE = "idle"
    EVICTED = "evicted"
    UNREAD_REPLIES = "unread_replies"
    MALFORMED_COMMAND = "malformed_command"
    INCOMPLETE_REPLY = "incomplete_reply"
    DRAINED = "drained"
    HANDED_OVER = "handed_over"


class RejectionReason(enum.Enum):
    """Why a request was rejected; the values are parts of metric names."""

    POLICY = "policy"
    OVERLOAD = "overload"
    SHUTDOWN = "shutdown"
    MEMORY = "memory"


class EndedBy(enum.Enum):
    """Who decided the final reply of a request that was started."""

    ENDPOINT = "endpoint"
    POLICY = "policy"
    POLICY_EXCEPTION = "policy_exception"
    DEADLINE = "deadline"
    SHUTDOWN = "shutdown"
    FILTER = "filter"
