"""The states of an explored lease case: acceptors, proposers and the messages between them."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import NamedTuple

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.candidates import Candidates
from saffrongw.leases.messages import Accept, Message, Nack, Prepare, Promise, Propose, Release
from saffrongw.leases.proposer import Proposer
from saffrongw.leases.timing import SECOND_US, Timing

LEASE = "s0/1"
WALL_US = 1_700_000_000 * SECOND_US
TICK_US = SECOND_US
# Without candidates acceptors offer no lease: proposers start on their own.
NO_CANDIDATES = Candidates(1)


class CaseTiming(Timing):
    """Production durations without resends: the explorer decides on each message once."""

    @property
    def resend_after_us(self) -> int:
        """Return a time that never comes."""
        return 1_000 * self.duration_us

    @property
    def max_round_us(self) -> int:
        """Return a time that never comes."""
        return 1_000 * self.duration_us

    @property
    def renew_after_us(self) -> int:
        """Return 0: a holder renews at once."""
        return 0


def half() -> float:
    """Return a constant in place of a random number from 0 to 1."""
    return 0.5


class Mail(NamedTuple):
    """A message in flight."""

    sender: str
    receiver: str
    message: Message

    def describe(self) -> str:
        """Describe the arrival of the message, for a trace."""
        sender, receiver, message = self
        match message:
            case Prepare():
                what = f"{sender} prepare ballot {message.ballot.number}"
            case Propose():
                what = f"{sender} propose ballot {message.ballot.number}, round {message.round}"
            case Promise():
                what = f"the promise of {sender} for ballot {message.ballot.number}"
            case Accept():
                number = message.ballot.number
                what = f"that {sender} accepts ballot {number}, round {message.round}"
            case Nack():
                what = f"that {sender} rejects ballot {message.ballot.number}"
            case Release():
                what = f"{sender} release ballot {message.ballot.number}"
            case _:
                what = f"{sender}: {message}"
        return f"{receiver} receives {what}"


@dataclass(frozen=True, slots=True)
class CaseState:
    """An immutable snapshot of the case; nodes are replaced, never changed in place."""

    acceptors: tuple[Acceptor, ...]
    proposers: tuple[Proposer, ...]
    mail: frozenset[Mail]
    tick: int
    restarts: int
    # For each proposer: how often it may still start to propose.
    proposals_left: tuple[int, ...]
    duplicates: int
    # The highest fencing token of any holder so far.
    highest_token: int
    error: str = ""
    releases_left: int = 0


def copied_acceptor(acceptor: Acceptor) -> Acceptor:
    """Return an independent copy of an acceptor."""
    new = copy.copy(acceptor)
    new.records = {lease: copy.copy(record) for lease, record in acceptor.records.items()}
    new.counters = acceptor.counters.copy()
    return new


def copied_proposer(proposer: Proposer) -> Proposer:
    """Return an independent copy of a proposer, without events and progress."""
    new = copy.copy(proposer)
    new.claims = {}
    for lease, claim in proposer.claims.items():
        new_claim = copy.copy(claim)
        new_claim.agreeing = copy.copy(claim.agreeing)
        new_claim.rejecting = set(claim.rejecting)
        new_claim.progress = {}
        new.claims[lease] = new_claim
    new.events, new.counters = [], proposer.counters.copy()
    return new
