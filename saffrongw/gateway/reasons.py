"""Why the gateway closes client connections and rejects requests, as counted in the metrics."""

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
