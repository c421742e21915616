"""The ``saffrongw`` command line: serve, check, version. Exit status 2 for input that can't be used."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path

import toml_schema
from saffrongw import __version__, operator
from saffrongw.admin import leases, unusable
from saffrongw.certs.table import REASONS
from saffrongw.extension_registry import build_extensions
from saffrongw.gateway import bootstrap
from saffrongw.gateway.config import parse_config


def serve(config: str | None = None, operator_file: str | None = None) -> int:
    """Run a gateway; without arguments LB_CONFIG and SAFFRONGW_OPERATOR name the files."""
    name = operator_file or os.environ.get("SAFFRONGW_OPERATOR")
    try:
        file = operator.load(name) if name else None
    except toml_schema.SchemaError as wrong:
        return unusable(wrong)
    if config is None and "LB_CONFIG" not in os.environ:
        return unusable(
            "no configuration: name one with --config or LB_CONFIG (`make demo` shows a whole fleet)"
        )
    try:
        return bootstrap.run(
            config, (lambda read: build_extensions(file, read, name)) if file else None
        )
    except (
        toml_schema.SchemaError
    ) as wrong:  # a name that the configuration does not have, or a file of TLS
        return unusable(f"{name}: {wrong}")


def check(path: Path) -> int:
    """Validate a file without starting: ``.toml`` is an operator file, ``.json`` a gateway's configuration."""
    try:
        if path.suffix == ".toml":
            operator.load(path)
        elif path.suffix == ".json":
            config = parse_config(path.read_text())
            if config.known.malformed_count:
                return unusable(
                    f"{path}: known.hosts: {config.known.malformed_count} entries make no sense"
                )
        else:
            return unusable(f"{path}: neither an operator file (.toml) nor a configuration (.json)")
    except toml_schema.SchemaError as wrong:
        return unusable(wrong)
    except OSError as wrong:
        return unusable(f"{path}: can't be read: {wrong.strerror or wrong}")
    except KeyError as wrong:
        return unusable(f"{path}: the key {wrong.args[0]!r} is missing")
    except bootstrap.UNUSABLE as wrong:
        return unusable(f"{path}: {wrong}")
    print(f"{path}: good")
    return 0


def version() -> int:
    """Print what runs: the project's version, and Python's."""
    print(f"saffrongw {__version__} (Python {sys.version.split()[0]})")
    return 0


def _ledger_commands(commands: argparse._SubParsersAction) -> None:
    """The command and its own commands; ``ledger.py`` carries them out."""
    ledger = commands.add_parser("ledger", help="what became of unrepeatable requests")
    ledger.add_argument(
        "--state", type=Path, required=True, metavar="DIR", help="the state_dir of [ledger]"
    )
    ledger.add_argument("--json", action="store_true", help="JSON lines")
    what = ledger.add_subparsers(dest="what", required=True)
    show = what.add_parser("show", help="the newest entries")
    show.add_argument("--number", type=int, default=50)
    find = what.add_parser("find", help="entries of a customer or of a client's id")
    find.add_argument("text")
    what.add_parser("open", help="entries that may have run and are not settled")
    told = what.add_parser("explain", help="what is known of one entry, in sentences")
    told.add_argument("id", help="LIFE-NUMBER, or the client's id")
    what.add_parser("export", help="every entry, as JSON lines")
    what.add_parser("verify", help="look through the whole file; status 1 where it is damaged")
    small = what.add_parser(
        "compact", help="forget old settled entries, give room back (no gateway may run)"
    )
    small.add_argument("--keep-days", type=float, default=90.0)
    small.add_argument("--most-mb", type=int, default=512)
    back = what.add_parser("backup", help="a copy of one moment")
    back.add_argument("file", type=Path)
    lists = what.add_parser("import", help="a host's own list of issued reports")
    lists.add_argument("file", type=Path)


def _certs_commands(commands: argparse._SubParsersAction) -> None:
    """Its arguments; ``certs.py`` carries them out."""
    certs = commands.add_parser("certs", help="certificates of the TLS listener")
    where = certs.add_mutually_exclusive_group(required=True)
    where.add_argument(
        "--operator", type=Path, metavar="FILE", help="the operator file with [certs]"
    )
    where.add_argument("--state", type=Path, metavar="DIR", help="the state_dir alone")
    certs.add_argument("--json", action="store_true", help="JSON lines")
    what = certs.add_subparsers(dest="what", required=True)
    what.add_parser(
        "list", help="all, the most urgent first; status 1 where one is at warning or worse"
    )
    for name, about in (("show", "all that is known of one"), ("renew", "order it now")):
        what.add_parser(name, help=about).add_argument("id")
    revoke = what.add_parser("revoke", help="tell the authority that it is not to be trusted")
    revoke.add_argument("id")
    revoke.add_argument("--reason", choices=REASONS, default="unspecified")
    roll = what.add_parser("rollover", help="give the account a new key")
    for one in (revoke, roll):
        one.add_argument(
            "--authority", default="", metavar="URL", help="its directory, where there are several"
        )
    get = what.add_parser("import", help="put a certificate in service that came another way")
    get.add_argument("--cert", type=Path, required=True, metavar="PEM")
    get.add_argument("--key", type=Path, required=True, metavar="PEM")
    get.add_argument("--id", default="", help="its name here; else the first name that it proves")


def main(argv: Sequence[str] | None = None) -> int:
    """The command line."""
    parser = argparse.ArgumentParser("saffrongw", description="A quota-keeping api gateway.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run one gateway in the foreground")
    run.add_argument("--config", metavar="FILE", help="its configuration (else LB_CONFIG)")
    run.add_argument(
        "--operator", metavar="FILE", help="the operator file (else SAFFRONGW_OPERATOR)"
    )
    look = commands.add_parser("check", help="validate an operator file or a configuration")
    look.add_argument("file", type=Path)
    commands.add_parser("version", help="print the version")
    _ledger_commands(commands)
    _certs_commands(commands)
    leases.arguments(commands)
    given = parser.parse_args(argv)
    if given.command == "ledger":
        from . import ledger  # only here: other commands load nothing of it

        return ledger.run(given)
    if given.command == "certs":
        from . import certs

        return certs.run(given)
    if given.command == "leases":
        return leases.run(given)
    if given.command == "serve":
        return serve(given.config, given.operator)
    return check(given.file) if given.command == "check" else version()


if __name__ == "__main__":
    sys.exit(main())
