"""Acceptors and proposers of one lease, whose messages are delivered by the test."""

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
    """Three voters, and one proposer for each name; the test delivers their messages."""

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

    def send_to(self, voter: str, sender: str, message, incarnation: int = 1) -> list:
        """Deliver a message to a voter, and return its answers."""
        return [
            m
            for _, m in self.acceptors[voter].handle(
                self.now, self.wall, GatewayId(sender, incarnation), message
            )
        ]

    def deliver(self, sender: str, out, reachable=NAMES) -> None:
        """Deliver a proposer's messages to the reachable voters, and all answers to it."""
        proposer, waiting = self.proposers[sender], list(out)
        while waiting:
            voter, message = waiting.pop(0)
            if voter in reachable:
                for answer in self.send_to(voter, sender, message):
                    waiting += proposer.handle(self.now, voter, answer)

    def acquire(self, name: str, reachable=NAMES) -> int:
        """Try to acquire the lease; return the token that it is held under, or 0."""
        proposer = self.proposers[name]
        promised = [e.promised.number for v in self.acceptors.values() for e in v.records.values()]
        proposer.propose(
            self.now, LEASE, ballot_number=max(promised, default=0)
        )  # the ballot number that a voter's offer would name
        self.deliver(name, proposer.due(self.now), reachable)
        return self.token(name)

    def token(self, name: str) -> int:
        held = self.proposers[name].held(self.now)
        return held[0].fencing_token if held else 0

    def advance(self, span: int) -> None:
        """Advance the clock, and expire the acceptors' grants."""
        self.now += span
        for acceptor in self.acceptors.values():
            acceptor.due(self.now, self.wall)
