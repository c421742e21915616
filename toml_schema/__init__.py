"""TOML read against dataclasses: typed, bounded, and with errors that name line, key and what is allowed.

A schema is a frozen dataclass whose fields are made with ``key``. Nested dataclasses are tables, tuples of
dataclasses are arrays of tables. It depends on nothing of this project, so the gateway's operator file and the
stand-ins' scenarios share it.
"""

from __future__ import annotations

import dataclasses
import difflib
import re
import tomllib
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

ADDRESS = r"[A-Za-z0-9.\-]{1,253}:[0-9]{1,5}"  # HOST:PORT, as a ``form``
T = TypeVar("T")
Place = tuple[str | int, ...]  # keys and indexes from the top of the file

_TABLE = re.compile(r"^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-.\"']+(?:\s*\.\s*[A-Za-z0-9_\-\"']+)*)\s*=")


class SchemaError(Exception):
    """A file that can't be used: one line with file, line, key and cause."""


def key(
    default: Any = dataclasses.MISSING,
    *,
    least: float | None = None,
    most: float | None = None,
    choices: tuple[Any, ...] = (),
    form: str = "",
    about: str = "",
) -> Any:
    """One key: its default (none: it must stand), inclusive bounds, allowed values, a pattern for text."""
    rules = {"least": least, "most": most, "choices": choices, "form": form, "about": about}
    if isinstance(default, list | dict | set):
        raise TypeError("defaults must be immutable")
    return dataclasses.field(default=default, metadata=rules)


def lines_of(text: str) -> dict[Place, int]:
    """The line, from 1, on which each key or table of a TOML text stands; later ones of one place win nothing."""
    found: dict[Place, int] = {}
    at: Place = ()
    counts: dict[Place, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if table := _TABLE.match(line):
            names = tuple(part.strip().strip("\"'") for part in table[2].split("."))
            at = ()
            for depth, name in enumerate(names):
                at += (name,)
                last = depth == len(names) - 1
                if last and table[1] == "[[":
                    counts[at] = counts.get(at, -1) + 1
                    found.setdefault(at, number)
                    at += (counts[at],)
                elif at in counts:
                    at += (counts[at],)
            found.setdefault(at, number)
        elif entry := _KEY.match(line):
            names = tuple(part.strip().strip("\"'") for part in entry[1].split("."))
            found.setdefault((*at, *names), number)
    return found


class _Reader:
    def __init__(self, name: str, text: str) -> None:
        self.name, self.lines = name, lines_of(text)

    def wrong(self, place: Place, why: str) -> SchemaError:
        """The error for a place: the line of the nearest part of it that stands in the file."""
        line, near = 1, place
        while near and near not in self.lines:
            near = near[:-1]
        line = self.lines.get(near, 1)
        shown = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in place).lstrip(".")
        return SchemaError(f"{self.name}:{line}: {shown + ': ' if shown else ''}{why}")

    def table(self, schema: type[T], raw: Any, place: Place) -> T:
        if not isinstance(raw, dict):
            raise self.wrong(place, f"a table is needed, not {_kind(raw)}")
        hints = typing.get_type_hints(schema)
        # A field's last underscore only keeps it apart from Python's own words.
        fields = {f.name.rstrip("_"): f for f in dataclasses.fields(schema)}  # type: ignore[arg-type]
        for name in raw:
            if name not in fields:
                close = difflib.get_close_matches(name, fields, 1)
                hint = f"; did you mean {close[0]!r}?" if close else ""
                allowed = ", ".join(sorted(fields)) or "nothing"
                raise self.wrong((*place, name), f"unknown key{hint} (allowed: {allowed})")
        values = {}
        for name, spec in fields.items():
            if name in raw:
                values[spec.name] = self.value(
                    hints[spec.name], spec.metadata, raw[name], (*place, name)
                )
            elif (
                spec.default is dataclasses.MISSING and spec.default_factory is dataclasses.MISSING
            ):
                raise self.wrong(place, f"the key {name!r} is missing")
        try:
            return schema(**values)
        except ValueError as wrong:  # a check of the dataclass over several keys
            raise self.wrong(place, str(wrong)) from None

    def value(self, hint: Any, rules: typing.Mapping[str, Any], raw: Any, place: Place) -> Any:
        origin, args = typing.get_origin(hint), typing.get_args(hint)
        if origin in (types.UnionType, typing.Union):
            inner = next(a for a in args if a is not type(None))
            return self.value(inner, rules, raw, place)
        if origin is tuple:
            if not isinstance(raw, list):
                raise self.wrong(place, f"a list is needed, not {_kind(raw)}")
            if args[-1] is not Ellipsis:
                if len(raw) != len(args):
                    raise self.wrong(place, f"{len(args)} values are needed, not {len(raw)}")
                return tuple(
                    self.value(arg, rules, v, (*place, i))
                    for i, (arg, v) in enumerate(zip(args, raw, strict=True))
                )
            return tuple(self.value(args[0], rules, v, (*place, i)) for i, v in enumerate(raw))
        if origin is dict:
            if not isinstance(raw, dict):
                raise self.wrong(place, f"a table is needed, not {_kind(raw)}")
            return {k: self.value(args[1], rules, v, (*place, k)) for k, v in raw.items()}
        if dataclasses.is_dataclass(hint):
            return self.table(typing.cast(type, hint), raw, place)
        return self.plain(hint, rules, raw, place)

    def plain(self, hint: Any, rules: typing.Mapping[str, Any], raw: Any, place: Place) -> Any:
        if hint is float and isinstance(raw, int) and not isinstance(raw, bool):
            raw = float(raw)
        if hint is Path and isinstance(raw, str):
            raw = Path(raw)
        if not isinstance(raw, hint) or (hint is not bool and isinstance(raw, bool)):
            raise self.wrong(
                place, f"{_NAMES.get(hint, hint.__name__)} is needed, not {_kind(raw)}"
            )
        choices, least, most = rules.get("choices"), rules.get("least"), rules.get("most")
        if choices and raw not in choices:
            raise self.wrong(place, f"{raw!r} is not one of {', '.join(map(str, choices))}")
        if hint in (int, float):
            if raw != raw or raw in (float("inf"), float("-inf")):
                raise self.wrong(place, "a finite number is needed")
            if (least is not None and raw < least) or (most is not None and raw > most):
                low = "any" if least is None else f"{least:g}"
                high = "any" if most is None else f"{most:g}"
                raise self.wrong(place, f"{raw:g} is out of range ({low} to {high})")
        form = rules.get("form")
        if form and isinstance(raw, str) and not re.fullmatch(form, raw):
            raise self.wrong(place, f"{raw!r} does not have the form {form}")
        return raw


_NAMES = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    Path: "a path",
}


def _kind(raw: Any) -> str:
    if isinstance(raw, dict):
        return "a table"
    if isinstance(raw, list):
        return "a list"
    return f"{raw!r:.60}"


def loads(schema: type[T], text: str, name: str = "text") -> T:
    """A text as an instance of the schema; ``FormError`` with file, line, key and cause where it is none."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as wrong:
        found = re.search(r"at line (\d+)", str(wrong))
        line = int(found[1]) if found else max(1, len(text.splitlines()))
        raise SchemaError(f"{name}:{line}: not TOML: {wrong}") from None
    except RecursionError:
        raise SchemaError(f"{name}:1: nested too deeply") from None
    return _Reader(name, text).table(schema, raw, ())


def load(schema: type[T], path: Path | str) -> T:
    """A file as an instance of the schema."""
    try:
        raw = Path(path).read_bytes()
    except OSError as wrong:
        raise SchemaError(f"{path}: can't be read: {wrong.strerror or wrong}") from None
    if len(raw) > 1 << 20:  # guards memory: no such file is that long
        raise SchemaError(f"{path}: longer than 1 MiB")
    try:
        text = raw.decode()
    except UnicodeDecodeError as wrong:
        line = raw[: wrong.start].count(b"\n") + 1
        raise SchemaError(f"{path}:{line}: not UTF-8") from None
    return loads(schema, text, str(path))
