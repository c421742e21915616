"""Gateways with one planted hot restart fault each.

``python -m tests.faults.hot_restart_variants NAME`` runs in place of ``python -m saffrongw``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator

from saffrongw.__main__ import main
from saffrongw.gateway.hot_restart.admin_relay import AdminRelay
from saffrongw.gateway.hot_restart.predecessor import PredecessorHandOver
from saffrongw.gateway.hot_restart.successor import SuccessorHandOver
from saffrongw.policy import state_transfer

VARIANTS: dict[str, Callable[[], None]] = {}


def variant(plant: Callable[[], None]) -> Callable[[], None]:
    """Register a planted fault under its function's name, with dashes."""
    VARIANTS[plant.__name__.replace("_", "-")] = plant
    return plant


@variant
def no_fault() -> None:
    """Change nothing; the tests pass."""


@variant
def forgets_quota_counters() -> None:
    """Hand over all state except the customers' quota counters."""
    export = state_transfer.export

    def export_without_counters(gateway: object) -> Iterator[list]:
        return (row for row in export(gateway) if row[0] != "account")

    state_transfer.export = export_without_counters


@variant
def drops_partial_commands() -> None:
    """Hand over connections without the part of the next command that was already read."""
    give_client = PredecessorHandOver._give_client
    PredecessorHandOver._give_client = lambda self, fd, _partial, waited_us: give_client(
        self, fd, b"", waited_us
    )


@variant
def serves_although_replaced() -> None:
    """Treat the replacement by another successor as the running process's end."""
    SuccessorHandOver.must_serve = property(lambda self: self.take_over.is_set())


@variant
def keeps_calls_from_the_old_process() -> None:
    """Send operators' calls to this process's successor only."""
    AdminRelay.send_to_predecessor = property(lambda _: lambda *_message: None, lambda *_: None)


@variant
def relays_no_calls() -> None:
    """Apply a call that another process sent, without sending it on."""

    def apply_only(self: AdminRelay, message: list) -> None:
        self.apply(message)

    AdminRelay.receive_from_predecessor = AdminRelay.receive_from_successor = apply_only


if __name__ == "__main__":
    VARIANTS[sys.argv[1]]()
    sys.exit(main())
