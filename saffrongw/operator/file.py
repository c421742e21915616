"""The operator file's schema: its tables with their keys, defaults and bounds.

Field names are the keys of the file, so they stay as they are. Tables of components are in their
packages (``table.py``), except those of ``authz``, which must not import ``toml_schema``.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import toml_schema
from saffrongw.certs.table import CertsTable
from saffrongw.channel.table import ChannelTable
from saffrongw.leases.table import LeasesTable
from saffrongw.ledger.table import LedgerTable
from toml_schema import ADDRESS, key

# Whether a request that could not be checked continues (open) or is rejected (closed).
FAIL_MODES = ("open", "closed")


@dataclass(frozen=True, slots=True)
class StagesTable:
    """``[stages]``: limits for all request filters together."""

    time_share: float = key(
        0.4, minimum=0.01, maximum=0.9, about="of a request's time, for all stages together"
    )


@dataclass(frozen=True, slots=True)
class TlsTable:
    """TLS files in PEM format, which are read again when they change."""

    # The field ``key`` shadows the imported function, so the function has its qualified name here.
    ca: str = toml_schema.key(
        "",
        about="authorities that the other side's certificate must come from; empty: the system's",
    )
    cert: str = toml_schema.key("", about="our own certificate")
    key: str = toml_schema.key("", about="its key")
    server_name: str = toml_schema.key(
        "", about="the name that the other side must prove; empty: its address"
    )

    def __post_init__(self) -> None:
        """Require certificate and key together, or neither."""
        if bool(self.cert) != bool(self.key):
            raise ValueError("cert and key stand together or not at all")


@dataclass(frozen=True, slots=True)
class FailTable:
    """``[[authz.fail_for]]``: the fail mode for a class, a plan, or both."""

    mode: str = key(choices=FAIL_MODES)
    class_: str = key("")
    plan: str = key("")

    def __post_init__(self) -> None:
        """Require a class or a plan: ``authz.fail`` is the mode for all others."""
        if not self.class_ and not self.plan:
            raise ValueError("class, plan or both are needed; for all there is authz.fail")


@dataclass(frozen=True, slots=True)
class NarrowTable:
    """``[[authz.narrow]]``: the plans that a server may put requests of one plan under."""

    plan: str = key()
    to: tuple[str, ...] = key()


@dataclass(frozen=True, slots=True)
class BreakerTable:
    """``[authz.breaker]``: when the circuit breaker of an authoriser opens, and for how long."""

    window_ms: int = key(2000, minimum=10, maximum=600_000)
    least: int = key(10, minimum=1, maximum=1000)
    share: float = key(0.5, minimum=0.01, maximum=1)
    in_a_row: int = key(5, minimum=1, maximum=1000)
    open_ms: int = key(1000, minimum=10, maximum=600_000)
    open_most_ms: int = key(15_000, minimum=10, maximum=3_600_000)
    trials: int = key(1, minimum=1, maximum=100)
    successes: int = key(2, minimum=1, maximum=100)


@dataclass(frozen=True, slots=True)
class AuthzTable:
    """``[authz]``: check each request with an external authorisation server."""

    authorisers: tuple[str, ...] = key(form=ADDRESS, about="HOST:PORT, asked by health and load")
    fail: str = key("closed", choices=FAIL_MODES, about="where none was reached")
    fail_for: tuple[FailTable, ...] = key(())
    narrow: tuple[NarrowTable, ...] = key(())
    time_share: float = key(
        0.25, minimum=0.01, maximum=0.9, about="of a request's own time that a check may take"
    )
    timeout_ms: int = key(500, minimum=1, maximum=60_000, about="and never longer")
    in_flight: int = key(
        256,
        minimum=1,
        maximum=10_000,
        about="checks out at once; beyond it the fail mode counts at once",
    )
    cache_entries: int = key(10_000, minimum=0, maximum=1_000_000)
    cache_most_ms: int = key(
        60_000, minimum=0, maximum=3_600_000, about="of the lifetime that an answer states"
    )
    coalesce: bool = key(True, about="equal checks that are out together are asked once")
    hedge_ms: int = key(
        0, minimum=0, maximum=60_000, about="after which a second authoriser is asked; 0: never"
    )
    tls: TlsTable | None = key(None)
    breaker: BreakerTable = key(BreakerTable())

    def __post_init__(self) -> None:
        """Require at least one authoriser, and no duplicates."""
        if not self.authorisers:
            raise ValueError("authorisers is empty")
        if len(set(self.authorisers)) < len(self.authorisers):
            raise ValueError("an authoriser stands twice")


@dataclass(frozen=True, slots=True)
class AuthzServerTable:
    """``[authz_server]``: answer checks of other proxies by this gateway's quotas."""

    listen: str = key(form=ADDRESS)
    in_flight: int = key(
        1000, minimum=1, maximum=100_000, about="checks at once; beyond it UNAVAILABLE"
    )
    customer: str = key(
        "customer", about="the context extension that holds the customer, else source.principal"
    )
    plan: str = key("plan")
    class_: str = key("class")
    tls: TlsTable | None = key(
        None, about="cert and key are needed; with ca clients must prove themselves"
    )


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The whole file; a component without a table in it is off."""

    stages: StagesTable = key(StagesTable())
    authz: AuthzTable | None = key(None)
    authz_server: AuthzServerTable | None = key(None)
    ledger: LedgerTable | None = key(None)
    certs: CertsTable | None = key(None)
    channel: ChannelTable | None = key(None)
    leases: LeasesTable | None = key(None)

    def __post_init__(self) -> None:
        """Require the channel that carries the messages of leases."""
        if self.leases and not self.channel:
            raise ValueError("leases needs a [channel]")


def load(path: Path | str) -> OperatorFile:
    """Read and validate a file; raise ``SchemaError`` that names file, line, key and cause."""
    return toml_schema.load(OperatorFile, path)
