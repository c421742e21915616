"""Documents stored in the shared folder: dataclasses to JSON and back, validated when read. No I/O.

A document carries its schema version; one with a later version is rejected and left unchanged. A
malformed one raises ``DocumentError``; its certificate stays in service, and only the order that it
described is lost.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields, replace
from typing import Any, TypeVar

from .messages import FailureKind, RenewalWindow
from .renewal import Failures

SCHEMA = 1
NO_FAILURES = Failures()
T = TypeVar("T")


class DocumentError(ValueError):
    """A document that cannot be used; the message names the file and the cause."""


@dataclass(frozen=True, slots=True)
class Account:
    """Our account with an authority, without its key."""

    directory: str
    url: str
    contact: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class OrderNote:
    """An order in progress; without a URL, the authority may or may not have received it."""

    directory: str
    names: tuple[str, ...]
    begun: float
    url: str = ""
    replaces: str = ""


@dataclass(frozen=True, slots=True)
class CertNote:
    """The stored state of one certificate; an imported one is not renewed automatically."""

    names: tuple[str, ...] = ()
    order: OrderNote | None = None
    failures: Failures = NO_FAILURES
    window: RenewalWindow | None = None
    wanted: bool = False
    imported: bool = False


def dump(value: Account | CertNote) -> bytes:
    """Return a document as JSON with its schema version."""
    return json.dumps({"schema": SCHEMA, **asdict(value)}, indent=1).encode()


def _object(raw: bytes, where: str) -> dict[str, Any]:
    try:
        found = json.loads(raw)
    except (ValueError, RecursionError):
        raise DocumentError(f"{where}: not JSON") from None
    if not isinstance(found, dict):
        raise DocumentError(f"{where}: no object")
    schema = found.pop("schema", None)
    if schema != SCHEMA:
        raise DocumentError(f"{where}: its schema is {schema!r:.20}, this program knows {SCHEMA}")
    return found


_PLAIN: Mapping[str, tuple[type, ...]] = {
    "str": (str,),
    "float": (int, float),
    "int": (int,),
    "bool": (bool,),
}


def _make(kind: type[T], raw: object, where: str) -> T:
    """Build a dataclass whose fields are plain values or lists of text."""
    if not isinstance(raw, dict):
        raise DocumentError(f"{where}: no object")
    values = {}
    for field in fields(kind):  # type: ignore[arg-type]
        if field.name not in raw:
            continue
        found, wanted = raw[field.name], str(field.type)
        if wanted.startswith("tuple"):
            if not isinstance(found, list) or not all(isinstance(one, str) for one in found):
                raise DocumentError(f"{where}.{field.name}: no list of texts")
            found = tuple(found)
        elif not isinstance(found, _PLAIN[wanted]) or (
            wanted != "bool" and isinstance(found, bool)
        ):
            raise DocumentError(f"{where}.{field.name}: no {wanted}")
        values[field.name] = found
    try:
        return kind(**values)
    except TypeError as wrong:
        raise DocumentError(f"{where}: {wrong}") from None


def account(raw: bytes, where: str) -> Account:
    """Parse an account document."""
    return _make(Account, _object(raw, where), where)


def cert(raw: bytes, where: str) -> CertNote:
    """Parse a certificate document."""
    found = _object(raw, where)
    order = found.pop("order", None)
    failures = found.pop("failures", None)
    window = found.pop("window", None)
    plain = {k: v for k, v in found.items() if k in ("names", "wanted", "imported")}
    note = _make(CertNote, plain, where)
    known_failures = (
        _make(Failures, failures, f"{where}.failures") if failures is not None else Failures()
    )
    if known_failures.kind and known_failures.kind not in {kind.value for kind in FailureKind}:
        raise DocumentError(f"{where}.failures.kind: {known_failures.kind!r:.40} is unknown")
    return replace(
        note,
        order=_make(OrderNote, order, f"{where}.order") if order is not None else None,
        failures=known_failures,
        window=_make(RenewalWindow, window, f"{where}.window") if window is not None else None,
    )
