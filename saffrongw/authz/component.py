"""The component that ``[authz]`` switches on: built from its table, and reloadable."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from saffrongw.gateway.components import ComponentError, PreparedReload
from saffrongw.gateway.config import Config

from ..policy.settings import Idempotency
from .attributes import RequestNames
from .breaker import BreakerSettings
from .channel import AuthzChannel, TlsFiles
from .checks import CheckSettings
from .options import AuthzOptions, BreakerOptions, TlsOptions
from .request_filter import AuthzFilter, FailureRules

US_PER_MS = 1_000
# Least timeout of a check, unless the configured timeout is shorter.
MIN_TIMEOUT_MS = 5
# The service name that checks carry.
GATEWAY_NAME = "saffrongw"


def request_names(config: Config) -> RequestNames:
    """Return the configuration's classes and plans, and which classes are idempotent."""
    idempotent = [
        request_class.idempotency is Idempotency.IDEMPOTENT
        for request_class in config.settings.classes
    ]
    return RequestNames(config.class_names, config.plan_names, tuple(idempotent))


def tls_files(options: TlsOptions | None) -> TlsFiles | None:
    """Return the TLS files of a table; None for connections without TLS."""
    if options is None:
        return None
    return TlsFiles(options.ca, options.cert, options.key, options.server_name)


class AuthzComponent:
    """The request filter of external authorisation, and the table that is in force."""

    def __init__(self, options: AuthzOptions, config: Config) -> None:
        """Build the filter.

        Raises ``ComponentError`` where the table names a class or plan that the configuration does
        not have.
        """
        self.options = options
        self.names = request_names(config)
        _check_names(options, self.names)
        self.filter = AuthzFilter(
            _check_settings(options),
            _failure_rules(options),
            self.names,
            _channel_factory(options),
            GATEWAY_NAME,
            config.seed,
        )

    def prepare(self, new: AuthzOptions) -> PreparedReload:
        """Prepare a change to another table; raise ``OSError`` where a TLS file can't be read."""
        _check_names(new, self.names)
        if new == self.options:
            return PreparedReload()
        prepared = self.filter.prepare(
            _check_settings(new), _failure_rules(new), _channel_factory(new)
        )
        return PreparedReload(partial(self._commit, new, prepared), prepared.abort)

    def _commit(self, new: AuthzOptions, prepared: PreparedReload) -> None:
        self.options = new
        prepared.commit()


def _check_names(options: AuthzOptions, names: RequestNames) -> None:
    for position, line in enumerate(options.fail_for):
        key = f"authz.fail_for[{position}]"
        if line.class_ and line.class_ not in names.classes:
            raise ComponentError(f"{key}.class: {line.class_!r} is no class of the configuration")
        if line.plan:
            _check_plan(line.plan, names, f"{key}.plan")
    for position, narrow in enumerate(options.narrow):
        for plan in (narrow.plan, *narrow.to):
            _check_plan(plan, names, f"authz.narrow[{position}]")


def _check_plan(plan: str, names: RequestNames, key: str) -> None:
    if plan not in names.plans:
        raise ComponentError(f"{key}: {plan!r} is no plan of the configuration")


def _breaker_settings(options: BreakerOptions) -> BreakerSettings:
    return BreakerSettings(
        options.window_ms * US_PER_MS,
        options.least,
        options.share,
        options.in_a_row,
        options.open_ms * US_PER_MS,
        options.open_most_ms * US_PER_MS,
        options.trials,
        options.successes,
    )


def _check_settings(options: AuthzOptions) -> CheckSettings:
    return CheckSettings(
        options.time_share,
        options.timeout_ms * US_PER_MS,
        min(options.timeout_ms, MIN_TIMEOUT_MS) * US_PER_MS,
        options.in_flight,
        options.cache_entries,
        options.cache_most_ms * US_PER_MS,
        options.coalesce,
        options.hedge_ms * US_PER_MS,
        _breaker_settings(options.breaker),
    )


def _failure_rules(options: AuthzOptions) -> FailureRules:
    return FailureRules(
        options.fail,
        {(line.class_, line.plan): line.mode for line in options.fail_for},
        {line.plan: line.to for line in options.narrow},
    )


def _channel_factory(options: AuthzOptions) -> Callable[[], list[AuthzChannel]]:
    """Return a function that opens a channel to each server, for which it reads the TLS files."""
    tls = tls_files(options.tls)
    return lambda: [AuthzChannel(address, tls) for address in options.authorisers]
