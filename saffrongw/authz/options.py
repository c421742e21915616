"""The keys of ``[authz]`` and ``[authz_server]`` that this package reads.

The tables themselves are in ``saffrongw.operator``, which this package must not import: it reads
their attributes through these protocols. ``tests/authz/test_options.py`` compares the two.
"""

from __future__ import annotations

from typing import Protocol


class TlsOptions(Protocol):
    """TLS files in PEM format; an empty name means none."""

    ca: str
    cert: str
    key: str
    server_name: str


class FailOptions(Protocol):
    """The fail mode for a class, a plan, or both, in place of the default."""

    mode: str
    class_: str
    plan: str


class NarrowOptions(Protocol):
    """The plans that an authorisation server may put requests of one plan under."""

    plan: str
    to: tuple[str, ...]


class BreakerOptions(Protocol):
    """When a circuit breaker opens, and for how long."""

    window_ms: int
    least: int
    share: float
    in_a_row: int
    open_ms: int
    open_most_ms: int
    trials: int
    successes: int


class AuthzOptions(Protocol):
    """``[authz]``: check each request with an external authorisation server."""

    authorisers: tuple[str, ...]
    fail: str
    fail_for: tuple[FailOptions, ...]
    narrow: tuple[NarrowOptions, ...]
    time_share: float
    timeout_ms: int
    in_flight: int
    cache_entries: int
    cache_most_ms: int
    coalesce: bool
    hedge_ms: int
    tls: TlsOptions | None
    breaker: BreakerOptions


class AuthzServerOptions(Protocol):
    """``[authz_server]``: answer checks of other proxies by this gateway's quotas."""

    listen: str
    in_flight: int
    customer: str
    plan: str
    class_: str
    tls: TlsOptions | None
