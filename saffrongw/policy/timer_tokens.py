"""Tokens of the timers that the policy sets; ``TimerFired`` brings them back.

A timer of one request has the request's number and one as its token, so that zero is left for the
gossip turn; the other tokens lie above all request numbers.
"""

from __future__ import annotations

GOSSIP_TURN = 0
ANSWER_DUE = 1 << 40
REPORTS_DUE = 2 << 40
GRANTS_DUE = 3 << 40


def request_token(request: int) -> int:
    """Return the token of a request's timer."""
    return request + 1


def request_of(token: int) -> int:
    """Return the request whose timer has this token."""
    return token - 1
