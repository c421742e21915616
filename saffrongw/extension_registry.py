"""What an operator file switches on, put together. Each subsystem is imported only where its table stands."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable
from dataclasses import replace

from saffrongw.certs.table import CertsTable
from saffrongw.channel.table import ChannelTable
from saffrongw.gateway.config import Config
from saffrongw.gateway.downstream.connection import Listener
from saffrongw.gateway.extensions import (
    AdminCommand,
    Extensions,
    LeaderGuard,
    MetricLines,
    Observer,
    RequestFilter,
    Service,
)
from saffrongw.leases.table import LeasesTable
from saffrongw.operator import OperatorFile, load
from saffrongw.operator.file import AuthzServerTable, AuthzTable, LedgerTable, TlsTable
from toml_schema import SchemaError

log = logging.getLogger(__name__)

MS = 1_000


def build_extensions(file: OperatorFile, config: Config, path: str = "") -> Extensions:
    """The stages and services; ``FormError`` where the file names what the configuration does not have."""
    stages: list[RequestFilter] = []
    services: list[Service] = []
    stage = None
    if file.authz:
        stage = _authz(file.authz, config)
        stages.append(stage)
        services.append(stage)
    observers: list[Observer] = []
    if file.ledger:
        ledger = _ledger(file.ledger, config)
        stages.append(ledger)
        observers.append(ledger)
        services.append(ledger)
    fronts: list[Listener] = []
    figures: list[MetricLines] = []
    calls: dict[bytes, AdminCommand] = {}
    drains: list[Callable[[bool], None]] = []
    certs = leases = channel = None
    if file.channel:
        channel = _channel(file.channel)
        services.append(channel)
        figures.append(channel.figures)
    if file.leases:
        leases = _leases(file.leases, channel)
        services.append(leases)
        figures.append(leases.figures)
        calls |= leases.calls()
        drains.append(leases.drain)
    if file.certs:
        duty = leases.duty(_duty_of(file.certs)) if leases else None
        certs = _certs(file.certs, config, duty)
        services.append(certs)
        fronts.append(certs.listener)
        figures.append(certs.figures)
    if file.authz_server:
        services.append(_authz_server(file.authz_server, config))
    again = (
        OperatorFileReloader(
            path, file, config, stage, {"certs": certs, "channel": channel, "leases": leases}
        )
        if path
        else None
    )
    parts = tuple(stages), tuple(observers), tuple(services)
    return Extensions(
        *parts, file.stages.time_share, again, tuple(fronts), tuple(figures), calls, tuple(drains)
    )


class OperatorFileReloader:
    """SIGHUP: the operator file read anew. All of it is valid and takes effect, or none, and the old one stays."""

    def __init__(self, path: str, file: OperatorFile, config: Config, stage, parts: dict) -> None:
        self.path, self.file, self.config, self.stage = path, file, config, stage
        self.parts = {
            name: part for name, part in parts.items() if part
        }  # they change by prepare and commit

    def __call__(self) -> None:
        try:
            new = load(self.path)
            tables = {name: table for name in self.parts if (table := getattr(new, name))}
            commits = [self.parts[name].change(table) for name, table in tables.items()]
            built = build_extensions(
                replace(new, certs=None, channel=None, leases=None), self.config
            )
            if self.stage and new.authz and new.authz != self.file.authz:
                made = built.stages[0]
                self.stage.change(made.figures, made.rules, made.make)
        except (SchemaError, OSError, ValueError) as wrong:
            log.warning("reload: the operator file that was read first stays: %s", wrong)
            return
        for commit in commits:
            commit()
        if _fixed(self.file) != _fixed(new):
            log.warning(
                "reload: what is switched on or off, [authz_server], [ledger] and [stages] wait for the next start"
            )
        self.file = replace(
            self.file,
            authz=new.authz if self.stage and new.authz else self.file.authz,
            **tables,
        )


def _fixed(file: OperatorFile) -> tuple:
    """What can't change in service."""
    on = [bool(table) for table in (file.authz, file.certs, file.channel, file.leases)]
    return file.stages, file.authz_server, file.ledger, on


def _channel(table: ChannelTable):
    try:
        from saffrongw.channel.component import ChannelComponent
    except ImportError as missing:
        raise SchemaError(f"channel needs the extra saffrongw[leases]: {missing}") from None
    try:
        return ChannelComponent(table)
    except ValueError as wrong:
        raise SchemaError(str(wrong)) from None


def _leases(table: LeasesTable, channel):
    try:
        from saffrongw.leases.component import LeasesComponent
    except ImportError as missing:
        raise SchemaError(f"leases needs the extra saffrongw[leases]: {missing}") from None
    return LeasesComponent(table, channel)


def _duty_of(table: CertsTable) -> str:
    """The lease under which certificates of one folder are ordered: the same on all gateways that share it."""
    return f"certs:{hashlib.blake2b(str(table.state_dir).encode(), digest_size=4).hexdigest()}"


def _certs(table: CertsTable, config: Config, duty: LeaderGuard | None = None):
    try:
        from saffrongw.certs.component import CertsComponent
    except ImportError as missing:
        raise SchemaError(f"certs needs the extra saffrongw[certs]: {missing}") from None
    return CertsComponent(table, config.seed, leader_guard=duty)


def _library(table: str) -> None:
    try:
        import google.protobuf  # noqa: F401
        import grpc  # noqa: F401
    except ImportError as missing:
        raise SchemaError(f"{table} needs the extra saffrongw[authz]: {missing}") from None


def _names(config: Config):
    from saffrongw.authz.attributes import Names
    from saffrongw.policy.settings import Idempotency

    safe = [c.idempotency is Idempotency.IDEMPOTENT for c in config.settings.classes]
    return Names(config.class_names, config.plan_names, tuple(safe))


def _tls(table: TlsTable | None):
    from saffrongw.authz.channel import Tls

    return Tls(table.ca, table.cert, table.key, table.server_name) if table else None


def _authz(table: AuthzTable, config: Config):
    _library("authz")
    from saffrongw.authz.breaker import BreakerFigures
    from saffrongw.authz.channel import Channel
    from saffrongw.authz.checks import Figures
    from saffrongw.authz.request_filter import AuthzFilter, Rules

    names = _names(config)
    for place, line in enumerate(table.fail_for):
        if line.class_ and line.class_ not in names.classes:
            raise SchemaError(
                f"authz.fail_for[{place}].class: {line.class_!r} is no class of the configuration"
            )
        if line.plan and line.plan not in names.plans:
            raise SchemaError(
                f"authz.fail_for[{place}].plan: {line.plan!r} is no plan of the configuration"
            )
    for place, line in enumerate(table.narrow):
        for plan in (line.plan, *line.to):
            if plan not in names.plans:
                raise SchemaError(
                    f"authz.narrow[{place}]: {plan!r} is no plan of the configuration"
                )
    b = table.breaker
    breaker = BreakerFigures(
        b.window_ms * MS,
        b.least,
        b.share,
        b.in_a_row,
        b.open_ms * MS,
        b.open_most_ms * MS,
        b.trials,
        b.successes,
    )
    figures = Figures(
        table.time_share,
        table.timeout_ms * MS,
        min(table.timeout_ms, 5) * MS,
        table.in_flight,
        table.cache_entries,
        table.cache_most_ms * MS,
        table.coalesce,
        table.hedge_ms * MS,
        breaker,
    )
    rules = Rules(
        table.fail,
        {(line.class_, line.plan): line.mode for line in table.fail_for},
        {line.plan: line.to for line in table.narrow},
    )
    tls = _tls(table.tls)
    return AuthzFilter(
        figures,
        rules,
        names,
        lambda: [Channel(address, tls) for address in table.authorisers],
        "saffrongw",
        config.seed,
    )


def _authz_server(table: AuthzServerTable, config: Config):
    _library("authz_server")
    from saffrongw.authz.attributes import Fields
    from saffrongw.authz.server import AuthzServer

    if table.tls and not table.tls.cert:
        raise SchemaError("authz_server.tls: cert and key are needed")
    return AuthzServer(
        table.listen,
        _names(config),
        Fields(table.customer, table.plan, table.class_),
        config.settings.node_count,
        config.units_most,
        table.in_flight,
        _tls(table.tls),
    )


def _ledger(table: LedgerTable, config: Config):
    from saffrongw.ledger.request_filter import LedgerFilter
    from saffrongw.policy.settings import Idempotency

    written = (
        {Idempotency.NON_IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY}
        if table.keyed
        else {Idempotency.NON_IDEMPOTENT}
    )
    kinds = frozenset(n for n, c in enumerate(config.settings.classes) if c.idempotency in written)
    classes, plans = config.class_names, config.plan_names
    keep, most = table.keep_days * 86_400, table.most_mb << 20
    return LedgerFilter(
        table.state_dir, kinds, classes, plans, table.queue, keep, most, table.bodies
    )
