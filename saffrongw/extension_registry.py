"""Builds the components that an operator file switches on, and reloads them as one transaction.

A component is imported only where the file has its table. This module knows just the components'
names; their builders return what they add to the gateway (``saffrongw.gateway.components``).
"""

from __future__ import annotations

import importlib
import logging
from dataclasses import replace
from itertools import chain
from typing import Any, NamedTuple

from saffrongw.gateway.components import (
    BuildContext,
    Component,
    ComponentError,
    PreparedReload,
)
from saffrongw.gateway.config import Config
from saffrongw.gateway.extensions import AdminCommand, Extensions
from saffrongw.operator import OperatorFile, load
from toml_schema import SchemaError

log = logging.getLogger(__name__)


class ComponentSpec(NamedTuple):
    """Where the builder of one table of the operator file is."""

    name: str
    module: str
    builder: str = "build"
    # The optional dependency group of this package that it needs; empty for none.
    extra: str = ""
    # Whether a reload validates the table by building an unused component, where none is running
    # that can prepare the change.
    is_validated_by_building: bool = False


# The order in which components are built, filters see a request and services start. A component may
# use those before it.
COMPONENTS = (
    ComponentSpec("authz", "saffrongw.authz.build", "build_filter", "authz", True),
    ComponentSpec("ledger", "saffrongw.ledger.build", is_validated_by_building=True),
    ComponentSpec("channel", "saffrongw.channel.build", extra="leases"),
    ComponentSpec("leases", "saffrongw.leases.build", extra="leases"),
    ComponentSpec("certs", "saffrongw.certs.build", extra="certs"),
    ComponentSpec("authz_server", "saffrongw.authz.build", "build_server", "authz", True),
)


def build_extensions(file: OperatorFile, config: Config, path: str = "") -> Extensions:
    """Build all components that the file switches on; with a path the file is reloaded on SIGHUP.

    Raises ``SchemaError`` where a table does not fit the configuration or needs a library that is
    not installed.
    """
    components: dict[str, Component] = {}
    context = BuildContext(config, components)
    for spec in COMPONENTS:
        if table := getattr(file, spec.name):
            components[spec.name] = _build(spec, table, context)
    built = components.values()
    admin_commands: dict[bytes, AdminCommand] = {}
    for component in built:
        admin_commands.update(component.admin_commands)
    return Extensions(
        filters=tuple(chain.from_iterable(component.filters for component in built)),
        observers=tuple(chain.from_iterable(component.observers for component in built)),
        services=tuple(chain.from_iterable(component.services for component in built)),
        time_share=file.stages.time_share,
        reload=OperatorFileReloader(path, file, context).reload if path else None,
        listeners=tuple(chain.from_iterable(component.listeners for component in built)),
        metrics=tuple(chain.from_iterable(component.metrics for component in built)),
        admin_commands=admin_commands,
        on_drain=tuple(chain.from_iterable(component.on_drain for component in built)),
    )


def _build(spec: ComponentSpec, table: object, context: BuildContext) -> Component:
    """Build one component; raise ``SchemaError`` where it can't be built."""
    try:
        builder = getattr(importlib.import_module(spec.module), spec.builder)
    except ImportError as error:
        if not spec.extra:
            raise
        needed = f"{spec.name} needs the extra saffrongw[{spec.extra}]"
        raise SchemaError(f"{needed}: {error}") from None
    try:
        return builder(table, context)
    except ComponentError as error:
        raise SchemaError(str(error)) from None


class OperatorFileReloader:
    """Keeps the operator file in force, and reloads it on SIGHUP.

    A reload is one transaction over all components: each prepares its change without effect; then
    all commit, or all abort where one can't prepare.
    """

    def __init__(self, path: str, file: OperatorFile, context: BuildContext) -> None:
        """Begin with the file in force; ``context`` has the running components."""
        self.path = path
        self.file = file
        self.context = context

    def reload(self) -> None:
        """Read the file and put it in force; an invalid one is logged and has no effect."""
        prepared: list[PreparedReload] = []
        try:
            new = load(self.path)
            for spec in COMPONENTS:
                self._prepare(spec, new, prepared)
        except (SchemaError, OSError, ValueError) as error:
            for change in prepared:
                change.abort()
            log.warning("operator_file: reload failed: action=keep cause=%s", error)
            return
        for change in prepared:
            change.commit()
        if self._needs_restart(new):
            log.warning(
                "operator_file: change waits for restart:"
                " tables=on/off,[authz_server],[ledger],[stages]"
            )
        self.file = replace(self.file, **self._reloaded_tables(new))

    def _prepare(
        self, spec: ComponentSpec, new: OperatorFile, prepared: list[PreparedReload]
    ) -> None:
        """Prepare a running component's change, or just validate its table."""
        table = getattr(new, spec.name)
        if not table:
            return
        running = self.context.components.get(spec.name)
        if running and running.prepare:
            prepared.append(running.prepare(table))
        elif spec.is_validated_by_building:
            _build(spec, table, self.context)

    def _is_reloadable(self, name: str) -> bool:
        """Return whether the component is running and can change in service."""
        running = self.context.components.get(name)
        return running is not None and running.prepare is not None

    def _reloaded_tables(self, new: OperatorFile) -> dict[str, Any]:
        """Return the tables that the reload has put in force."""
        names = [spec.name for spec in COMPONENTS if self._is_reloadable(spec.name)]
        return {name: table for name in names if (table := getattr(new, name))}

    def _needs_restart(self, new: OperatorFile) -> bool:
        """Return whether the new file has a change that can't be made in service."""
        if new.stages != self.file.stages:
            return True
        for name in (spec.name for spec in COMPONENTS):
            old_table, new_table = getattr(self.file, name), getattr(new, name)
            if bool(old_table) != bool(new_table):
                return True
            if old_table != new_table and not self._is_reloadable(name):
                return True
        return False
