"""Builds the component that ``[ledger]`` of the operator file switches on."""

from __future__ import annotations

from typing import cast

from saffrongw.gateway.components import BuildContext, Component
from saffrongw.gateway.extensions import Service

from ..policy.settings import Idempotency
from .request_filter import LedgerFilter
from .table import LedgerTable

SECONDS_PER_DAY = 86_400
BYTES_PER_MB_SHIFT = 20


def build(table: LedgerTable, context: BuildContext) -> Component:
    """Build the filter that records requests; changes of its table need a restart."""
    config = context.config
    recorded = {Idempotency.NON_IDEMPOTENT}
    if table.keyed:
        recorded.add(Idempotency.IDEMPOTENCY_KEY)
    kinds = frozenset(
        kind
        for kind, request_class in enumerate(config.settings.classes)
        if request_class.idempotency in recorded
    )
    ledger = LedgerFilter(
        table.state_dir,
        kinds,
        config.class_names,
        config.plan_names,
        table.queue,
        table.keep_days * SECONDS_PER_DAY,
        table.most_mb << BYTES_PER_MB_SHIFT,
        table.bodies,
    )
    # A gateway with a request filter runs a FilteringDriver, which this service requires.
    service = cast("Service", ledger)
    return Component(ledger, filters=(ledger,), observers=(ledger,), services=(service,))
