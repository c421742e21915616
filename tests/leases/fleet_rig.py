"""Runs simulated fleets until their leases are held."""

from __future__ import annotations

from benchmarks.fleet.leases import SimulatedFleet
from saffrongw.leases.candidates import shard_name
from saffrongw.leases.timing import SECOND_US

LEASE = shard_name(0, 1)


def settled(simulation: SimulatedFleet, until: int = 30 * SECOND_US) -> SimulatedFleet:
    """Run a fleet until a time of the virtual clock in us, and return it."""
    simulation.fleet.run(until)
    return simulation
