"""Builds the component that ``[certs]`` of the operator file switches on."""

from __future__ import annotations

import hashlib

from saffrongw.gateway.components import BuildContext, Component, PreparedReload

from .component import CertsComponent
from .table import CertsTable


def lease_name(table: CertsTable) -> str:
    """Return the name of the lease under which certificates of one folder are ordered.

    It is the same on all gateways that share the folder.
    """
    digest = hashlib.blake2b(str(table.state_dir).encode(), digest_size=4).hexdigest()
    return f"certs:{digest}"


def build(table: CertsTable, context: BuildContext) -> Component:
    """Build the component; it orders under a fleet-wide lease if ``[leases]`` is on."""
    guard = context.leader_guard(lease_name(table))
    certs = CertsComponent(table, context.config.seed, leader_guard=guard)
    return Component(
        certs,
        services=(certs,),
        listeners=(certs.listener,),
        metrics=(certs.figures,),
        prepare=lambda new: PreparedReload(certs.change(new)),
    )
