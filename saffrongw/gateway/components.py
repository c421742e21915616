"""What a component of the operator file gives to the gateway, and how it changes in service.

A component is what one table of the operator file switches on. Its package has a builder (table and
context to ``Component``); ``saffrongw.extension_registry`` puts all components together.
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
    """A table that can't be used with this configuration; its message names key and cause."""


def _do_nothing() -> None:
    """Commit or abort where nothing was prepared."""


class PreparedReload(NamedTuple):
    """A change that is ready: exactly one of the two is called, and neither can fail."""

    commit: Callable[[], None] = _do_nothing
    abort: Callable[[], None] = _do_nothing


class Component(NamedTuple):
    """What a component gives to the gateway.

    ``instance`` is the component itself, for others that build on it. ``prepare`` takes the new
    table and raises ``ComponentError``, ``ValueError`` or ``OSError`` where it can't be used; a
    component without it changes only at the next start.
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
    """What a builder may use besides its table: the configuration and the components before it."""

    config: Config
    components: Mapping[str, Component]

    def instance(self, name: str, kind: type[T]) -> T:
        """The component of a name; ``ComponentError`` where it is off."""
        component = self.components.get(name)
        if component is None or not isinstance(component.instance, kind):
            raise ComponentError(f"{name}: the component is needed and is off")
        return component.instance

    def leader_guard(self, lease: str) -> LeaderGuard | None:
        """The guard of a lease, from the first component that has guards; None without one."""
        for component in self.components.values():
            if component.leader_guard:
                return component.leader_guard(lease)
        return None
