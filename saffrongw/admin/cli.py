"""The ``saffrongw`` command line: serve, check, version. Exit status 2 for input that can't be used."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from importlib import metadata
from pathlib import Path

import tomlform
from saffrongw import operator
from saffrongw.gateway import process
from saffrongw.gateway.config import parse
from saffrongw.wiring import plugs_of

UNUSABLE = 2


def serve(config: str | None = None, operator_file: str | None = None) -> int:
    """Run a gateway; without arguments LB_CONFIG and SAFFRONGW_OPERATOR name the files."""
    name = operator_file or os.environ.get("SAFFRONGW_OPERATOR")
    try:
        file = operator.load(name) if name else None
    except tomlform.FormError as wrong:
        return _wrong(wrong)
    if config is None and "LB_CONFIG" not in os.environ:
        return _wrong(
            "no configuration: name one with --config or LB_CONFIG (`make demo` shows a whole fleet)"
        )
    try:
        return process.run(config, (lambda read: plugs_of(file, read, name)) if file else None)
    except tomlform.FormError as wrong:  # a name that the configuration does not have, or a file of TLS
        return _wrong(f"{name}: {wrong}")


def check(path: Path) -> int:
    """Validate a file without starting: ``.toml`` is an operator file, ``.json`` a gateway's configuration."""
    try:
        if path.suffix == ".toml":
            operator.load(path)
        elif path.suffix == ".json":
            config = parse(path.read_text())
            if config.known.odd:
                return _wrong(f"{path}: known.hosts: {config.known.odd} entries make no sense")
        else:
            return _wrong(f"{path}: neither an operator file (.toml) nor a configuration (.json)")
    except tomlform.FormError as wrong:
        return _wrong(wrong)
    except OSError as wrong:
        return _wrong(f"{path}: can't be read: {wrong.strerror or wrong}")
    except KeyError as wrong:
        return _wrong(f"{path}: the key {wrong.args[0]!r} is missing")
    except process.UNUSABLE as wrong:
        return _wrong(f"{path}: {wrong}")
    print(f"{path}: good")
    return 0


def version() -> int:
    """Print what runs: the project's version, and Python's."""
    try:
        number = metadata.version("saffrongw")
    except metadata.PackageNotFoundError:  # run from its folder, not installed
        number = "0.2.0"
    print(f"saffrongw {number} (Python {sys.version.split()[0]})")
    return 0


def _wrong(why: object) -> int:
    print(f"saffrongw: {why}", file=sys.stderr)
    return UNUSABLE


def main(argv: Sequence[str] | None = None) -> int:
    """The command line."""
    parser = argparse.ArgumentParser("saffrongw", description="A quota-keeping api gateway.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run one gateway in the foreground")
    run.add_argument("--config", metavar="FILE", help="its configuration (else LB_CONFIG)")
    run.add_argument("--operator", metavar="FILE", help="the operator file (else SAFFRONGW_OPERATOR)")
    look = commands.add_parser("check", help="validate an operator file or a configuration")
    look.add_argument("file", type=Path)
    commands.add_parser("version", help="print the version")
    wanted = list(sys.argv[1:] if argv is None else argv)
    if "ledger" in wanted[:1] or not wanted or wanted[0].startswith("-"):
        from . import ledger  # only here: other commands load nothing of it

        ledger.add_to(commands)
    given = parser.parse_args(argv)
    if given.command == "ledger":
        from . import ledger

        return ledger.run(given)
    if given.command == "serve":
        return serve(given.config, given.operator)
    return check(given.file) if given.command == "check" else version()


if __name__ == "__main__":
    sys.exit(main())
