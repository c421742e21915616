"""Puts together what an operator file switches on, and reloads it as one transaction.

A component is imported only where its table stands in the file. This module knows the components by
name; what each one gives is its builder's (``saffrongw.gateway.components``).
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
    # The extra of the package whose libraries it needs; empty for none.
    extra: str = ""
    # Whether a reload validates its table by building it where nothing of it runs that could
    # prepare the change.
    is_validated_by_building: bool = False


# In the order in which filters see a request, services start, and components build on each other.
COMPONENTS = (
    ComponentSpec("authz", "saffrongw.authz.build", "build_filter", "authz", True),
    ComponentSpec("ledger", "saffrongw.ledger.build", is_validated_by_building=True),
    ComponentSpec("channel", "saffrongw.channel.build", extra="leases"),
    ComponentSpec("leases", "saffrongw.leases.build", extra="leases"),
    ComponentSpec("certs", "saffrongw.certs.build", extra="certs"),
    ComponentSpec("authz_server", "saffrongw.authz.build", "build_server", "authz", True),
)


def build_extensions(file: OperatorFile, config: Config, path: str = "") -> Extensions:
    """All that the file switches on; with a path it is read again on SIGHUP.

    Raises ``SchemaError`` where the file names what the configuration does not have or needs a
    library that is not installed.
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
    """One component; ``SchemaError`` with a plain cause where it can't be built."""
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
    """Owns the operator file in force, and reads it again on SIGHUP.

    A reload is one transaction over all components: each prepares its change without effect; then
    all commit, or, where one can't prepare, all abort.
    """

    def __init__(self, path: str, file: OperatorFile, context: BuildContext) -> None:
        """``context`` has the components that run."""
        self.path = path
        self.file = file
        self.context = context

    def reload(self) -> None:
        """Put the file as it is now in force; one that can't be used is logged, with no effect."""
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
        """Prepare one component, or validate its table where nothing can be prepared."""
        table = getattr(new, spec.name)
        if not table:
            return
        running = self.context.components.get(spec.name)
        if running and running.prepare:
            prepared.append(running.prepare(table))
        elif spec.is_validated_by_building:
            _build(spec, table, self.context)

    def _is_reloadable(self, name: str) -> bool:
        """Whether a component runs that can change in service."""
        running = self.context.components.get(name)
        return running is not None and running.prepare is not None

    def _reloaded_tables(self, new: OperatorFile) -> dict[str, Any]:
        """The tables that are in force by now."""
        names = [spec.name for spec in COMPONENTS if self._is_reloadable(spec.name)]
        return {name: table for name in names if (table := getattr(new, name))}

    def _needs_restart(self, new: OperatorFile) -> bool:
        """Whether something differs that can't change in service."""
        if new.stages != self.file.stages:
            return True
        for name in (spec.name for spec in COMPONENTS):
            old_table, new_table = getattr(self.file, name), getattr(new, name)
            if bool(old_table) != bool(new_table):
                return True
            if old_table != new_table and not self._is_reloadable(name):
                return True
        return False
