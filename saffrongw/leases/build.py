"""Builds the component that ``[leases]`` of the operator file switches on."""

from __future__ import annotations

from saffrongw.channel.component import ChannelComponent
from saffrongw.gateway.components import BuildContext, Component, PreparedReload

from .component import LeasesComponent
from .table import LeasesTable


def build(table: LeasesTable, context: BuildContext) -> Component:
    """Build the leases component, which uses the component of ``[channel]``."""
    leases = LeasesComponent(table, context.instance("channel", ChannelComponent))
    return Component(
        leases,
        services=(leases,),
        metrics=(leases.metrics,),
        admin_commands=leases.admin_commands(),
        on_drain=(leases.drain,),
        leader_guard=leases.leader_guard,
        prepare=lambda new: PreparedReload(leases.prepare_reload(new)),
    )
