"""The virtual clock and network that simulated fleets run on."""

from __future__ import annotations

from saffrongw.leases.timing import SECOND_US
from testbed.simulation.clock import Fleet


class Echo:
    """Sends one message each second and counts the messages received."""

    def __init__(self, to: str) -> None:
        self.to, self.at, self.got = to, 0, 0

    def next_at(self) -> int:
        return self.at

    def due(self, now: int) -> list:
        if now < self.at:
            return []
        self.at = now + SECOND_US
        return [(self.to, now)]

    def receive(self, _now: int, _sender: str, _message: int) -> list:
        self.got += 1
        return []


def test_loss_duplication_and_cuts_of_a_link_change_what_arrives():
    for change, at_least, at_most in (
        ({}, 100, 100),
        ({"loss": 0.5}, 30, 70),
        ({"double": 1.0}, 200, 200),
        ({"cut": True}, 0, 0),
    ):
        fleet = Fleet("net")
        for name, to in (("a", "b"), ("b", "a")):
            fleet.add(name, lambda *_, to=to: Echo(to))
        for name, value in change.items():
            setattr(fleet.link("a", "b"), name, value)
        fleet.run(100 * SECOND_US - 1)
        assert at_least <= fleet.nodes["b"].machine.got <= at_most
        assert fleet.nodes["a"].machine.got == 100


def test_clocks_run_at_their_rates_and_a_stopped_node_receives_its_messages_on_resuming():
    fleet = Fleet("rates")
    fleet.add("fast", lambda *_: Echo("slow"), rate=2.0)
    fleet.add("slow", lambda *_: Echo("fast"), rate=0.5)
    fleet.run(10 * SECOND_US - 1)
    assert fleet.nodes["slow"].machine.got == 20
    assert fleet.nodes["fast"].machine.got == 5
    fleet.stop("slow")
    fleet.run(20 * SECOND_US - 1)
    assert fleet.nodes["slow"].machine.got == 20
    fleet.go_on("slow")
    assert fleet.nodes["slow"].machine.got >= 39
