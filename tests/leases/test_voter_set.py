"""Changes of the voter set, on the virtual clock: any order of files, former sets that remain."""

from __future__ import annotations

import random

import pytest
from fleet_rig import LEASE, settled

from benchmarks.fleet.leases import SimulatedFleet
from saffrongw.leases.gateway_id import GatewayId
from saffrongw.leases.node import LeaseNode, NodeSettings
from saffrongw.leases.timing import SECOND_US, Timing
from saffrongw.leases.voter_set import VoterSet

ONE, TWO, THREE = (VoterSet(n, voters) for n, voters in ((1, "abc"), (2, "cde"), (3, "def")))


class FleetWithFiles(SimulatedFleet):
    """Every gateway has a file; it takes effect when it is told to, and at each start."""

    def __init__(self, seed: str) -> None:
        super().__init__(seed, 0, 0, timing=Timing(3 * SECOND_US))
        self.files: dict[str, tuple[VoterSet, tuple[VoterSet, ...]]] = {}
        self.names = tuple("abcdefgh")
        self.make_node = lambda name, incarnation, now, draw: LeaseNode(
            GatewayId(name, incarnation),
            NodeSettings(self.timing, 1),
            self.file(name)[0],
            draw.random,
            now,
            self.file(name)[1],
        )
        for name in self.names:
            self.fleet.add(name, self._make, 1.0, 0, self.random.randrange(SECOND_US))

    def file(self, name: str) -> tuple[VoterSet, tuple[VoterSet, ...]]:
        return self.files.get(name, (ONE, ()))

    def hup(self, name: str, own: VoterSet, *former: VoterSet) -> None:
        self.files[name] = own, former

        def change(node, now):
            node.node.change_voter_set(now, own, former)
            return node.due(now)

        self.fleet.call(name, change)


@pytest.mark.parametrize("seed", range(6))
def test_voter_sets_change_in_any_order_of_files_without_two_holders(seed):
    field = FleetWithFiles(f"sets {seed}")
    draw = random.Random(seed)
    deaf = draw.choice("abgh")  # never hears of it
    for step, (own, former) in enumerate(((TWO, (ONE,)), (THREE, (ONE, TWO))), 1):
        for name in field.names:
            if name != deaf:
                at = step * 20 * SECOND_US + draw.randrange(8 * SECOND_US)
                field.fleet.at(
                    at, lambda name=name, own=own, former=former: field.hup(name, own, *former)
                )
        killed = draw.choice(field.names)
        field.fleet.at(step * 22 * SECOND_US, lambda killed=killed: field.fleet.kill(killed))
        field.fleet.at(
            step * 22 * SECOND_US + SECOND_US, lambda killed=killed: field.fleet.start(killed)
        )
    field.fleet.run(80 * SECOND_US)
    assert field.breaches == [], field.fleet.story()
    assert field.holder(LEASE) not in (None, deaf)
    assert field.fleet.nodes[deaf].machine.node.foreign_set_number == 3
    for name in "def":
        assert field.fleet.nodes[name].machine.node.transition.complete()


def test_a_set_grants_nothing_until_a_majority_of_each_former_set_has_left():
    field = FleetWithFiles("unsealed")
    settled(field, 20 * SECOND_US)
    for name in "defgh":
        field.hup(name, THREE, ONE, TWO)
    field.fleet.run(60 * SECOND_US)
    assert field.holder(LEASE) in ("a", "b", "c")
    assert field.breaches == []
    field.hup("a", THREE, ONE, TWO)
    field.fleet.run(80 * SECOND_US)
    assert field.holder(LEASE) in (
        "b",
        "c",
        None,
    )  # of set 1 two are left, which still is a majority
    field.hup("b", THREE, ONE, TWO)
    field.hup("c", THREE, ONE, TWO)
    field.fleet.run(110 * SECOND_US)
    assert field.holder(LEASE)
    assert field.breaches == []


def test_a_set_that_skips_former_sets_leads_to_two_holders_that_are_found():
    field = FleetWithFiles("planted")
    settled(field, 20 * SECOND_US)
    for name in "defgh":
        field.hup(name, THREE)  # no [[leases.former]]
    field.fleet.run(60 * SECOND_US)
    assert field.breaches
