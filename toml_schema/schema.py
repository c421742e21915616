"""How a schema is written down: a frozen dataclass whose fields are made with ``key``."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple, TypeVar, cast

T = TypeVar("T")

# HOST:PORT, as a ``form``.
ADDRESS = r"[A-Za-z0-9.\-]{1,253}:[0-9]{1,5}"

# Where ``key`` keeps the rules of a field.
_METADATA_NAME = "toml_schema"


class SchemaError(Exception):
    """A file that can't be used: one line with file, line, key and cause."""


class KeyRules(NamedTuple):
    """What is allowed for one key, and what it is about.

    The bounds are inclusive and for numbers, ``form`` is a regular expression for text.
    """

    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[object, ...] = ()
    form: str = ""
    about: str = ""


NO_RULES = KeyRules()


def key(
    default: T | object = dataclasses.MISSING,
    *,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[object, ...] = (),
    form: str = "",
    about: str = "",
) -> T:
    """One key of a schema; without a default it must stand in the file.

    ``minimum`` and ``maximum`` are inclusive bounds, ``choices`` the allowed values, ``form`` a
    regular expression for text.
    """
    if isinstance(default, list | dict | set):
        raise TypeError("defaults must be immutable")
    rules = KeyRules(minimum, maximum, choices, form, about)
    return cast("T", dataclasses.field(default=default, metadata={_METADATA_NAME: rules}))


def rules_of(field: dataclasses.Field) -> KeyRules:
    """The rules of a field; none where it was not made with ``key``."""
    return field.metadata.get(_METADATA_NAME, NO_RULES)
