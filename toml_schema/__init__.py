"""Reads TOML files into dataclasses, with errors that name line, key and cause.

A schema is a frozen dataclass whose fields are made with ``key``. Nested dataclasses are tables,
tuples of dataclasses are arrays of tables. The package depends on nothing else in this project, so
that the operator file and the testbed's scenarios can share it.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import TypeVar

from .reader import SchemaReader
from .schema import ADDRESS, SchemaError, key

__all__ = ["ADDRESS", "SchemaError", "key", "load", "loads"]

T = TypeVar("T")

# Larger files are rejected: no sensible one has this size.
MAX_FILE_BYTES = 1 << 20


def loads(schema: type[T], text: str, name: str = "text") -> T:
    """Return a text as an instance of the schema.

    Raises ``SchemaError`` with the name of the file, line, key and cause.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"at line (\d+)", str(error))
        line = int(found[1]) if found else max(1, len(text.splitlines()))
        raise SchemaError(f"{name}:{line}: not TOML: {error}") from None
    except RecursionError:
        raise SchemaError(f"{name}:1: nested too deeply") from None
    return SchemaReader(name, text).table(schema, raw, ())


def load(schema: type[T], path: Path | str) -> T:
    """Return a file as an instance of the schema; raise ``SchemaError`` where it is invalid."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SchemaError(f"{path}: can't be read: {error.strerror or error}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise SchemaError(f"{path}: longer than 1 MiB")
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        line = raw[: error.start].count(b"\n") + 1
        raise SchemaError(f"{path}:{line}: not UTF-8") from None
    return loads(schema, text, str(path))
