"""The configuration file: read at start-up, and again on SIGHUP."""

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

# Environment variable with the operators' address, used if the file has none.
ADMIN_VARIABLE = "LB_ADMIN"
# Printed by start-up instead of ``SettingsError``: this output is an interface of the command line.
SETTINGS_ERROR_NAME = "WireError"

# Exceptions raised by reading and parsing an untrusted file.
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
    """A configuration file that can't be used: its path, and the underlying error."""

    def __init__(self, path: Path, reason: Exception) -> None:
        """Store the error: its text and its ``repr`` are part of the command line's output."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason

    @property
    def startup_text(self) -> str:
        """The error as start-up prints it: its ``repr``, with the names of the first version."""
        if isinstance(self.reason, SettingsError):
            return f"{SETTINGS_ERROR_NAME}({str(self.reason)!r})"
        return repr(self.reason)


def read_config(path: Path) -> Config:
    """Read the configuration from a file; ``ConfigFileError`` if it can't be read or parsed."""
    try:
        return parse_config(path.read_text())
    except MALFORMED_INPUT as error:
        raise ConfigFileError(path, error) from error


def read_effective_config(path: Path) -> Config:
    """Read the configuration; ``LB_ADMIN`` sets the admin address if the file has none.

    Raises ``ConfigFileError`` if the file or ``LB_ADMIN`` can't be used.
    """
    config = read_config(path)
    admin = os.environ.get(ADMIN_VARIABLE)
    if not admin or config.admin is not None:
        return config
    try:
        return replace(config, admin=parse_address(admin))
    except ValueError as error:
        raise ConfigFileError(path, error) from error


class ConfigReloader:
    """Holds the current configuration, and reads its file again on SIGHUP."""

    def __init__(
        self, path: Path, config: Config, discovery: DiscoveryClient, metrics: Metrics
    ) -> None:
        """``config`` is the configuration read from the file at start-up."""
        self.path = path
        self.config = config
        self.discovery = discovery
        self.metrics = metrics

    def reload(self) -> None:
        """Apply a changed discovery address; all other changes need a restart.

        If the file can't be used, this is logged and counted, and the configuration is kept.
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
        """Whether the new file has changes that take effect only after a restart.

        Changes of ``known`` and ``seed`` are ignored, because only start-up uses them.
        """
        old = self.config
        comparable = replace(new, discovery=old.discovery, known=old.known, seed=old.seed)
        return comparable != old
