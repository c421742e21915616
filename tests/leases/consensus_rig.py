"""A few acceptors and proposers of one lease, with messages that arrive when the test says so."""

from __future__ import annotations

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.candidates import Candidates
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.proposer import Proposer
from saffrongw.leases.suspensions import Suspensions
from saffrongw.leases.timing import SECOND_US, Timing

TIMING = Timing(10 * SECOND_US, 0.01)
WALL = 1_700_000_000 * SECOND_US
LEASE = "s0/1"
NAMES = ("v0", "v1", "v2")


class ConsensusRig:
    """Three voters and as many proposers as are named; messages arrive when the test says so."""

    def __init__(self, *proposers: str, silent: bool = False) -> None:
        self.now = 100 * SECOND_US
        self.acceptors = {name: self.acceptor(name) for name in NAMES}
        self.proposers = {
            name: Proposer(GatewayId(name, 1), NAMES, TIMING, lambda: 0.5) for name in proposers
        }
        if not silent:
            for acceptor in self.acceptors.values():
                acceptor.silent_until_us = self.now
                acceptor.due(self.now, self.wall)

    def acceptor(self, name: str) -> Acceptor:
        return Acceptor(name, TIMING, Candidates(1), Suspensions(), self.now)

    @property
    def wall(self) -> int:
        return WALL + self.now

    def to(self, voter: str, sender: str, message, incarnation: int = 1) -> list:
        return [
            m
            for _, m in self.acceptors[voter].handle(
                self.now, self.wall, GatewayId(sender, incarnation), message
            )
        ]

    def pass_on(self, sender: str, out, to=NAMES) -> None:
        """Deliver what a proposer sent, and the answers, until nothing is left."""
        proposer, waiting = self.proposers[sender], list(out)
        while waiting:
            voter, message = waiting.pop(0)
            if voter in to:
                for answer in self.to(voter, sender, message):
                    waiting += proposer.handle(self.now, voter, answer)

    def acquire(self, name: str, to=NAMES) -> int:
        """Acquire the lease; return the token it is held under, 0 where it is not."""
        proposer = self.proposers[name]
        promised = [e.promised.number for v in self.acceptors.values() for e in v.records.values()]
        proposer.propose(
            self.now, LEASE, ballot_number=max(promised, default=0)
        )  # as the offer of a voter says
        self.pass_on(name, proposer.due(self.now), to)
        return self.token(name)

    def token(self, name: str) -> int:
        held = self.proposers[name].held(self.now)
        return held[0].fencing_token if held else 0

    def wait(self, span: int) -> None:
        self.now += span
        for acceptor in self.acceptors.values():
            acceptor.due(self.now, self.wall)
