"""Changes of the voter set on the virtual clock, with operator files reloaded in any order."""

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
    """Every gateway has an operator file, which takes effect at a reload and at each start."""

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

    def reload(self, name: str, own: VoterSet, *former: VoterSet) -> None:
        self.files[name] = own, former

        def change(node, now):
            node.node.change_voter_set(now, own, former)
            return node.due(now)

        self.fleet.call(name, change)


@pytest.mark.parametrize("seed", range(6))
def test_voter_sets_change_in_any_order_of_files_without_two_holders(seed):
    simulation = FleetWithFiles(f"sets {seed}")
    draw = random.Random(seed)
    # This gateway never gets a new file.
    outdated = draw.choice("abgh")
    for step, (own, former) in enumerate(((TWO, (ONE,)), (THREE, (ONE, TWO))), 1):
        for name in simulation.names:
            if name != outdated:
                at = step * 20 * SECOND_US + draw.randrange(8 * SECOND_US)
                simulation.fleet.at(
                    at,
                    lambda name=name, own=own, former=former: simulation.reload(name, own, *former),
                )
        killed = draw.choice(simulation.names)
        simulation.fleet.at(
            step * 22 * SECOND_US, lambda killed=killed: simulation.fleet.kill(killed)
        )
        simulation.fleet.at(
            step * 22 * SECOND_US + SECOND_US, lambda killed=killed: simulation.fleet.start(killed)
        )
    simulation.fleet.run(80 * SECOND_US)
    assert simulation.breaches == [], simulation.fleet.story()
    assert simulation.holder(LEASE) not in (None, outdated)
    assert simulation.fleet.nodes[outdated].machine.node.foreign_set_number == 3
    for name in "def":
        assert simulation.fleet.nodes[name].machine.node.transition.complete()


def test_a_set_grants_nothing_until_a_majority_of_each_former_set_has_left():
    simulation = FleetWithFiles("unsealed")
    settled(simulation, 20 * SECOND_US)
    for name in "defgh":
        simulation.reload(name, THREE, ONE, TWO)
    simulation.fleet.run(60 * SECOND_US)
    assert simulation.holder(LEASE) in ("a", "b", "c")
    assert simulation.breaches == []
    simulation.reload("a", THREE, ONE, TWO)
    simulation.fleet.run(80 * SECOND_US)
    # Two voters of set 1 have not left it, and are still a majority.
    assert simulation.holder(LEASE) in (
        "b",
        "c",
        None,
    )
    simulation.reload("b", THREE, ONE, TWO)
    simulation.reload("c", THREE, ONE, TWO)
    simulation.fleet.run(110 * SECOND_US)
    assert simulation.holder(LEASE)
    assert simulation.breaches == []


def test_a_set_that_does_not_list_former_sets_leads_to_two_holders():
    simulation = FleetWithFiles("planted")
    settled(simulation, 20 * SECOND_US)
    for name in "defgh":
        simulation.reload(name, THREE)  # no [[leases.former]]
    simulation.fleet.run(60 * SECOND_US)
    assert simulation.breaches
