"""Declares schemas: a schema is a frozen dataclass whose fields are made with ``key``."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple, TypeVar, cast

T = TypeVar("T")

# Pattern of HOST:PORT, for the ``form`` of a key.
ADDRESS = r"[A-Za-z0-9.\-]{1,253}:[0-9]{1,5}"

# Entry of a field's metadata that holds its rules.
_METADATA_NAME = "toml_schema"


class SchemaError(Exception):
    """A file can't be used; the message is one line with file, line, key and cause."""


class KeyRules(NamedTuple):
    """The allowed values of one key, and its description.

    The bounds are inclusive and apply to numbers; ``form`` is a regular expression for strings.
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
    """Declare one key of a schema; a key without a default is required.

    ``minimum`` and ``maximum`` are inclusive bounds, ``choices`` the allowed values, ``form`` is a
    regular expression for strings; ``about`` documents the key.
    """
    if isinstance(default, list | dict | set):
        raise TypeError("defaults must be immutable")
    rules = KeyRules(minimum, maximum, choices, form, about)
    return cast("T", dataclasses.field(default=default, metadata={_METADATA_NAME: rules}))


def rules_of(field: dataclasses.Field) -> KeyRules:
    """Return the rules of a field; no restrictions where it was not made with ``key``."""
    return field.metadata.get(_METADATA_NAME, NO_RULES)
