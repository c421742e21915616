"""Tokens that identify the policy's timers; ``TimerFired`` carries the token of its timer.

The token of a request's timer is the request's number plus one, because 0 is the token of the
periodic gossip. The other tokens are greater than all request numbers.
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
