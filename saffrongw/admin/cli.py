"""The ``saffrongw`` command line: its arguments, and the commands serve, check and version."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path

import toml_schema
from saffrongw import __version__, operator
from saffrongw.admin import input_error, leases
from saffrongw.certs.table import REASONS
from saffrongw.extension_registry import build_extensions
from saffrongw.gateway import bootstrap
from saffrongw.gateway.config import Config
from saffrongw.gateway.config_file import MALFORMED_INPUT, ConfigFileError, read_config
from saffrongw.gateway.extensions import Extensions

# Environment variable that names the operator file.
OPERATOR_VARIABLE = "SAFFRONGW_OPERATOR"


def serve(config: str | None = None, operator_file: str | None = None) -> int:
    """Run a gateway; without arguments ``LB_CONFIG`` and ``SAFFRONGW_OPERATOR`` name the files."""
    name = operator_file or os.environ.get(OPERATOR_VARIABLE)
    try:
        file = operator.load(name) if name else None
    except toml_schema.SchemaError as error:
        return input_error(error)
    if config is None and "LB_CONFIG" not in os.environ:
        return input_error(
            "no configuration: name one with --config or LB_CONFIG"
            " (`make demo` shows a whole fleet)"
        )
    if file is None or name is None:
        return bootstrap.run(config)

    def build(config: Config) -> Extensions:
        return build_extensions(file, config, name)

    try:
        return bootstrap.run(config, build)
    except toml_schema.SchemaError as error:
        # The file does not fit the configuration, or names a TLS file that can't be used.
        return input_error(f"{name}: {error}")


def check(path: Path) -> int:
    """Validate a file: ``.toml`` is an operator file, ``.json`` a gateway's configuration."""
    if path.suffix not in (".toml", ".json"):
        return input_error(f"{path}: neither an operator file (.toml) nor a configuration (.json)")
    try:
        if path.suffix == ".toml":
            operator.load(path)
        else:
            malformed_count = read_config(path).known.malformed_count
            if malformed_count:
                return input_error(f"{path}: known.hosts: {malformed_count} entries make no sense")
    except toml_schema.SchemaError as error:
        return input_error(error)
    except ConfigFileError as error:
        return input_error(f"{path}: {_reason(error.reason)}")
    except MALFORMED_INPUT as error:
        # TOML with values that can't be converted to the types of the schema.
        return input_error(f"{path}: {_reason(error)}")
    print(f"{path}: good")
    return 0


def _reason(error: Exception) -> str:
    """Return why a file can't be used, in words for operators instead of Python's."""
    if isinstance(error, OSError):
        return f"can't be read: {error.strerror or error}"
    if isinstance(error, KeyError):
        return f"the key {error.args[0]!r} is missing"
    return str(error)


def version() -> int:
    """Print the versions of the project and of Python."""
    print(f"saffrongw {__version__} (Python {sys.version.split()[0]})")
    return 0


def _add_ledger_commands(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of ``saffrongw ledger``, which ``ledger.py`` implements."""
    ledger = commands.add_parser("ledger", help="what became of unrepeatable requests")
    ledger.add_argument(
        "--state", type=Path, required=True, metavar="DIR", help="the state_dir of [ledger]"
    )
    ledger.add_argument("--json", action="store_true", help="JSON lines")
    actions = ledger.add_subparsers(dest="what", required=True)
    show = actions.add_parser("show", help="the newest entries")
    show.add_argument("--number", type=int, default=50)
    find = actions.add_parser("find", help="entries of a customer or of a client's id")
    find.add_argument("text")
    actions.add_parser("open", help="entries that may have run and are not settled")
    explain = actions.add_parser("explain", help="what is known of one entry, in sentences")
    explain.add_argument("id", help="LIFE-NUMBER, or the client's id")
    actions.add_parser("export", help="every entry, as JSON lines")
    actions.add_parser("verify", help="look through the whole file; status 1 where it is damaged")
    compact = actions.add_parser(
        "compact", help="forget old settled entries, give room back (no gateway may run)"
    )
    compact.add_argument("--keep-days", type=float, default=90.0)
    compact.add_argument("--most-mb", type=int, default=512)
    backup = actions.add_parser("backup", help="a copy of one moment")
    backup.add_argument("file", type=Path)
    import_list = actions.add_parser("import", help="a host's own list of issued reports")
    import_list.add_argument("file", type=Path)


def _add_certs_commands(commands: argparse._SubParsersAction) -> None:
    """Add the arguments of ``saffrongw certs``, which ``certs.py`` implements."""
    certs = commands.add_parser("certs", help="certificates of the TLS listener")
    source = certs.add_mutually_exclusive_group(required=True)
    source.add_argument(
        "--operator", type=Path, metavar="FILE", help="the operator file with [certs]"
    )
    source.add_argument("--state", type=Path, metavar="DIR", help="the state_dir alone")
    certs.add_argument("--json", action="store_true", help="JSON lines")
    actions = certs.add_subparsers(dest="what", required=True)
    actions.add_parser(
        "list", help="all, the most urgent first; status 1 where one is at warning or worse"
    )
    for name, about in (("show", "all that is known of one"), ("renew", "order it now")):
        actions.add_parser(name, help=about).add_argument("id")
    revoke = actions.add_parser("revoke", help="tell the authority that it is not to be trusted")
    revoke.add_argument("id")
    revoke.add_argument("--reason", choices=REASONS, default="unspecified")
    rollover = actions.add_parser("rollover", help="give the account a new key")
    for action in (revoke, rollover):
        action.add_argument(
            "--authority", default="", metavar="URL", help="its directory, where there are several"
        )
    put = actions.add_parser("import", help="put a certificate in service that came another way")
    put.add_argument("--cert", type=Path, required=True, metavar="PEM")
    put.add_argument("--key", type=Path, required=True, metavar="PEM")
    put.add_argument("--id", default="", help="its name here; else the first name that it proves")


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser("saffrongw", description="A quota-keeping api gateway.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run one gateway in the foreground")
    run.add_argument("--config", metavar="FILE", help="its configuration (else LB_CONFIG)")
    run.add_argument(
        "--operator", metavar="FILE", help="the operator file (else SAFFRONGW_OPERATOR)"
    )
    validate = commands.add_parser("check", help="validate an operator file or a configuration")
    validate.add_argument("file", type=Path)
    commands.add_parser("version", help="print the version")
    _add_ledger_commands(commands)
    _add_certs_commands(commands)
    leases.arguments(commands)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; return its exit status."""
    arguments = _build_parser().parse_args(argv)
    # Imported here, so that other commands do not load their dependencies.
    if arguments.command == "ledger":
        from . import ledger

        return ledger.run(arguments)
    if arguments.command == "certs":
        from . import certs

        return certs.run(arguments)
    if arguments.command == "leases":
        return leases.run(arguments)
    if arguments.command == "serve":
        return serve(arguments.config, arguments.operator)
    return check(arguments.file) if arguments.command == "check" else version()


if __name__ == "__main__":
    sys.exit(main())
