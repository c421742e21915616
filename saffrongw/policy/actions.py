"""The actions that a gateway's policy asks its driver to carry out.

Times and durations are integers in microseconds. Actions that every request causes are named
tuples, because they are the fastest to create.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .events import EndpointId


class SendAttempt(NamedTuple):
    """Send an attempt to an endpoint; the driver lets it time out at the deadline."""

    request: int
    endpoint_id: EndpointId
    deadline_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


class RejectRequest(NamedTuple):
    """Reject a request that was not served and that the client may safely send again."""

    request: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Fail a request that was not served but that an endpoint may have run."""

    request: int


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Answer an admission check: the request is admitted and its units are counted."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass in a ``TimerFired`` event with this token after a delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a datagram to another gateway."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check an endpoint's health."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class SubscribeEndpointList:
    """Subscribe to the endpoint lists of discovery."""


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Fetch the complete endpoint list from discovery once."""


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
