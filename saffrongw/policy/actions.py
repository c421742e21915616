"""The actions that a gateway's policy asks its driver to carry out.

Durations are integers in microseconds. The actions of every request are named tuples, the fastest to create.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .events import EndpointId


class SendAttempt(NamedTuple):
    """Begin an attempt; give_up_at 0 leaves it to the client's patience."""

    request: int
    endpoint_id: EndpointId
    deadline_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: not served, and trying again is harmless."""

    request: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Answer to a check: it is let in, and its units are taken as by a first send."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after a span."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send bytes to one peer."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a server for its state."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class SubscribeEndpointList:
    """Subscribe to discovery."""


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Ask discovery for the whole list once."""


Action = (
    SendAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | AdmitRequest
    | SetTimer
    | SendGossip
    | CheckHealth
    | SubscribeEndpointList
    | FetchEndpointList
)
