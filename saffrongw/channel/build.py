"""Builds the component that ``[channel]`` of the operator file switches on."""

from __future__ import annotations

from saffrongw.gateway.components import BuildContext, Component, ComponentError, PreparedReload

from .component import ChannelComponent
from .table import ChannelTable


def build(table: ChannelTable, _context: BuildContext) -> Component:
    """Build the datagram channel; raise ``ComponentError`` naming a key file that can't be used."""
    try:
        channel = ChannelComponent(table)
    except ValueError as error:
        raise ComponentError(str(error)) from error
    return Component(
        channel,
        services=(channel,),
        metrics=(channel.metrics,),
        prepare=lambda new: PreparedReload(channel.prepare_reload(new)),
    )
