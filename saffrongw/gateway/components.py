"""The interface between the gateway and the components of the operator file.

A component is enabled by one table of the operator file. Its package has a builder, which makes a
``Component`` from the table and a ``BuildContext``; ``saffrongw.extension_registry`` combines all
components.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

from .config import Config
from .extensions import (
    AdminCommand,
    LeaderGuard,
    Listener,
    MetricLines,
    Observer,
    RequestFilter,
    Service,
)

T = TypeVar("T")


class ComponentError(ValueError):
    """A table that can't be used with this configuration; the message has the key and the cause."""


def _do_nothing() -> None:
    """Do nothing: the commit or abort of a reload that prepared nothing."""


class PreparedReload(NamedTuple):
    """A prepared change: either ``commit`` or ``abort`` is called, once; neither may fail."""

    commit: Callable[[], None] = _do_nothing
    abort: Callable[[], None] = _do_nothing


class Component(NamedTuple):
    """The extensions that a component adds to the gateway.

    ``instance`` is the component itself, for components that depend on it. ``prepare`` takes the
    new table on a reload and raises ``ComponentError``, ``ValueError`` or ``OSError`` if the table
    can't be used; a component without ``prepare`` changes only at a restart.
    """

    instance: object
    filters: tuple[RequestFilter, ...] = ()
    observers: tuple[Observer, ...] = ()
    services: tuple[Service, ...] = ()
    listeners: tuple[Listener, ...] = ()
    metrics: tuple[MetricLines, ...] = ()
    admin_commands: Mapping[bytes, AdminCommand] = MappingProxyType({})
    on_drain: tuple[Callable[[bool], None], ...] = ()
    leader_guard: Callable[[str], LeaderGuard] | None = None
    prepare: Callable[[Any], PreparedReload] | None = None


class BuildContext(NamedTuple):
    """A builder's context: the configuration and the components that were built before."""

    config: Config
    components: Mapping[str, Component]

    def instance(self, name: str, kind: type[T]) -> T:
        """Return the component with this name; ``ComponentError`` if it is not enabled."""
        component = self.components.get(name)
        if component is None or not isinstance(component.instance, kind):
            raise ComponentError(f"{name}: this component is required but not enabled")
        return component.instance

    def leader_guard(self, lease: str) -> LeaderGuard | None:
        """Return a lease's guard from the first component with guards; None if there is none."""
        for component in self.components.values():
            if component.leader_guard:
                return component.leader_guard(lease)
        return None
