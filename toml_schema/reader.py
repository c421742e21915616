"""Converts a parsed TOML file to instances of a schema, with errors that name line and key."""

from __future__ import annotations

import dataclasses
import difflib
import math
import re
import types
import typing
from pathlib import Path
from typing import TypeVar

from .line_index import KeyPath, LineIndex
from .schema import KeyRules, SchemaError, rules_of

T = TypeVar("T")

_TYPE_NAMES: dict[object, str] = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    Path: "a path",
}
# Longer values are cut off in error messages.
_MAX_SHOWN_CHARACTERS = 60


class SchemaReader:
    """Reads the tables of one file; every error is a ``SchemaError`` with file, line and key."""

    def __init__(self, name: str, text: str) -> None:
        """Index the text; errors show ``name`` as the file."""
        self.name = name
        self.line_index = LineIndex(text)

    def error(self, path: KeyPath, why: str) -> SchemaError:
        """Return the error for a key or table."""
        line = self.line_index.nearest(path)
        shown = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
        key = f"{shown.lstrip('.')}: " if path else ""
        return SchemaError(f"{self.name}:{line}: {key}{why}")

    def table(self, schema: type[T], raw: object, path: KeyPath) -> T:
        """Return a table as an instance of its schema."""
        if not isinstance(raw, dict):
            raise self.error(path, f"a table is needed, not {_describe(raw)}")
        # A key that is a Python keyword has a field with a trailing underscore.
        fields = {
            field.name.rstrip("_"): field
            for field in dataclasses.fields(schema)  # type: ignore[arg-type]
        }
        self._check_names(raw, fields, path)
        hints = typing.get_type_hints(schema)
        values = {}
        for name, field in fields.items():
            if name in raw:
                hint, rules = hints[field.name], rules_of(field)
                values[field.name] = self.value(hint, rules, raw[name], (*path, name))
            elif _is_required(field):
                raise self.error(path, f"the key {name!r} is missing")
        try:
            return schema(**values)
        except ValueError as error:
            # From the dataclass's own check across several keys.
            raise self.error(path, str(error)) from None

    def _check_names(self, raw: dict, fields: dict[str, dataclasses.Field], path: KeyPath) -> None:
        for name in raw:
            if name not in fields:
                close = difflib.get_close_matches(name, fields, 1)
                hint = f"; did you mean {close[0]!r}?" if close else ""
                allowed = ", ".join(sorted(fields)) or "nothing"
                raise self.error((*path, name), f"unknown key{hint} (allowed: {allowed})")

    def value(self, hint: object, rules: KeyRules, raw: object, path: KeyPath) -> object:
        """Return a value converted to its type hint and checked against its rules."""
        origin, arguments = typing.get_origin(hint), typing.get_args(hint)
        if origin in (types.UnionType, typing.Union):
            inner = next(argument for argument in arguments if argument is not type(None))
            return self.value(inner, rules, raw, path)
        if origin is tuple:
            return self._sequence(arguments, rules, raw, path)
        if origin is dict:
            if not isinstance(raw, dict):
                raise self.error(path, f"a table is needed, not {_describe(raw)}")
            hint = arguments[1]
            return {name: self.value(hint, rules, raw[name], (*path, name)) for name in raw}
        plain_type = typing.cast(type, hint)
        if dataclasses.is_dataclass(plain_type):
            return self.table(plain_type, raw, path)
        return self._plain(plain_type, rules, raw, path)

    def _sequence(
        self, hints: tuple[object, ...], rules: KeyRules, raw: object, path: KeyPath
    ) -> tuple[object, ...]:
        if not isinstance(raw, list):
            raise self.error(path, f"a list is needed, not {_describe(raw)}")
        if hints[-1] is Ellipsis:
            hints = hints[:1] * len(raw)
        elif len(raw) != len(hints):
            raise self.error(path, f"{len(hints)} values are needed, not {len(raw)}")
        return tuple(
            self.value(hint, rules, item, (*path, index))
            for index, (hint, item) in enumerate(zip(hints, raw, strict=True))
        )

    def _plain(self, hint: type, rules: KeyRules, raw: object, path: KeyPath) -> object:
        if hint is float and isinstance(raw, int) and not isinstance(raw, bool):
            raw = float(raw)
        if hint is Path and isinstance(raw, str):
            raw = Path(raw)
        if not isinstance(raw, hint) or (hint is not bool and isinstance(raw, bool)):
            needed = _TYPE_NAMES.get(hint, hint.__name__)
            raise self.error(path, f"{needed} is needed, not {_describe(raw)}")
        if rules.choices and raw not in rules.choices:
            raise self.error(path, f"{raw!r} is not one of {', '.join(map(str, rules.choices))}")
        if hint in (int, float) and isinstance(raw, int | float):
            self._check_number(raw, rules, path)
        if rules.form and isinstance(raw, str) and not re.fullmatch(rules.form, raw):
            raise self.error(path, f"{raw!r} does not have the form {rules.form}")
        return raw

    def _check_number(self, number: float, rules: KeyRules, path: KeyPath) -> None:
        if isinstance(number, float) and not math.isfinite(number):
            raise self.error(path, "a finite number is needed")
        minimum, maximum = rules.minimum, rules.maximum
        is_too_small = minimum is not None and number < minimum
        is_too_large = maximum is not None and number > maximum
        if is_too_small or is_too_large:
            low = "any" if minimum is None else f"{minimum:g}"
            high = "any" if maximum is None else f"{maximum:g}"
            raise self.error(path, f"{number:g} is out of range ({low} to {high})")


def _is_required(field: dataclasses.Field) -> bool:
    no_default = field.default is dataclasses.MISSING
    return no_default and field.default_factory is dataclasses.MISSING


def _describe(raw: object) -> str:
    """Return a value as error messages show it."""
    if isinstance(raw, dict):
        return "a table"
    if isinstance(raw, list):
        return "a list"
    return repr(raw)[:_MAX_SHOWN_CHARACTERS]
