"""Simulated fleets that have settled: every lease has its holder."""

from __future__ import annotations

from benchmarks.fleet.leases import SimulatedFleet
from saffrongw.leases.candidates import shard_name
from saffrongw.leases.timing import SECOND_US

LEASE = shard_name(0, 1)


def settled(field: SimulatedFleet, until: int = 30 * SECOND_US) -> SimulatedFleet:
    """Run a fleet until a time in us of the virtual clock."""
    field.fleet.run(until)
    return field
