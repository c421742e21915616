"""The configuration's file: read at the start, and again on SIGHUP."""

from __future__ import annotations

import logging
import os
from dataclasses import replace
from pathlib import Path

from ..policy.settings_schema import SettingsError
from .config import Config, parse_address, parse_config
from .discovery.client import DiscoveryClient
from .metrics import Metrics

log = logging.getLogger(__name__)

# The environment's name for the operators' address, for a file that has none.
ADMIN_VARIABLE = "LB_ADMIN"
# What start-up prints in place of ``SettingsError``: the line is part of the command line's output.
SETTINGS_ERROR_NAME = "WireError"

# What reading and converting a file of foreign text can raise.
MALFORMED_INPUT = (
    OSError,
    LookupError,
    ValueError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    SettingsError,
)


class ConfigFileError(Exception):
    """A configuration's file that can't be used: which one, and the error that says why."""

    def __init__(self, path: Path, reason: Exception) -> None:
        """Keep the error: its text and its ``repr`` are part of the command line's output."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason

    @property
    def startup_text(self) -> str:
        """The error as start-up prints it: its ``repr`` by the names of the first version."""
        if isinstance(self.reason, SettingsError):
            return f"{SETTINGS_ERROR_NAME}({str(self.reason)!r})"
        return repr(self.reason)


def read_config(path: Path) -> Config:
    """The configuration in a file; ``ConfigFileError`` where it can't be read or parsed."""
    try:
        return parse_config(path.read_text())
    except MALFORMED_INPUT as error:
        raise ConfigFileError(path, error) from error


def read_effective_config(path: Path) -> Config:
    """The configuration in a file, completed by ``LB_ADMIN``; ``ConfigFileError`` as above."""
    config = read_config(path)
    admin = os.environ.get(ADMIN_VARIABLE)
    if not admin or config.admin is not None:
        return config
    try:
        return replace(config, admin=parse_address(admin))
    except ValueError as error:
        raise ConfigFileError(path, error) from error


class ConfigReloader:
    """Owns the configuration in force, and reads its file again on SIGHUP."""

    def __init__(
        self, path: Path, config: Config, discovery: DiscoveryClient, metrics: Metrics
    ) -> None:
        """``config`` is what was read from the file at the start."""
        self.path = path
        self.config = config
        self.discovery = discovery
        self.metrics = metrics

    def reload(self) -> None:
        """Put another address of discovery in force; all else waits for the next start.

        A file that can't be used is logged and counted, and the configuration stays.
        """
        try:
            new = read_effective_config(self.path)
        except ConfigFileError as error:
            log.warning("config: reload failed: action=keep cause=%.200r", error.reason)
            self.metrics.reloads_failed += 1
            return
        self.metrics.reloads += 1
        if self._needs_restart(new):
            log.warning("config: change waits for restart: effective=discovery")
        self.discovery.move(new.discovery)
        self.config = replace(self.config, discovery=new.discovery)

    def _needs_restart(self, new: Config) -> bool:
        """Whether more differs than the address of discovery and what only a start uses."""
        old = self.config
        comparable = replace(new, discovery=old.discovery, known=old.known, seed=old.seed)
        return comparable != old
