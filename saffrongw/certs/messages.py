"""ACME messages as typed values: objects of RFC 8555, problems of RFC 7807, windows of RFC 9773.

No I/O.

All fields are checked and bounded; a malformed message raises an ``AcmeError`` that names the
field, and never another exception. Errors have a kind, by which ``renewal.py`` chooses the backoff.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from enum import Enum
from typing import Any
from urllib.parse import urlsplit

MAX_URL_CHARS = 2_048
# Largest number of names, authorisations or challenges of one object.
MAX_LIST_ITEMS = 1_000
# Largest number of characters kept of an authority's text.
MAX_TEXT_CHARS = 300
# Upper bound of a Retry-After.
MAX_RETRY_AFTER_S = 30 * 86_400.0


class FailureKind(Enum):
    """The kind of a failure; the values are kept in ``note.json``.

    UNREACHABLE: no connection, no answer in time, or 5xx. ORDER: expired, invalid or not found.
    REJECTED: names or a key that the authority does not accept. UNUSABLE: a malformed answer, or a
    certificate that must not serve. LOCAL: a failure of our disk, or a lost lease.
    """

    UNREACHABLE = "authority away"
    RATE = "rate limit"
    CHALLENGE = "challenge failed"
    ACCOUNT = "account gone"
    ORDER = "order lost"
    REJECTED = "rejected"
    UNUSABLE = "unusable answer"
    LOCAL = "local failure"


class AcmeError(Exception):
    """A step failed.

    It has the kind of failure, a description, and the authority's Retry-After in seconds, or 0.
    """

    def __init__(self, kind: FailureKind, detail: str, retry_after: float = 0.0) -> None:
        """Set the kind, the detail (cut to a bounded length) and the Retry-After."""
        super().__init__(f"{kind.value}: {detail}")
        self.kind, self.detail, self.retry_after = kind, detail[:MAX_TEXT_CHARS], retry_after


class BadNonceError(AcmeError):
    """The nonce was used or too old; the request is sent again with another one."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP answer.

    Header names are in lower case, ``links`` holds relation and target of each Link.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    links: tuple[tuple[str, str], ...] = ()

    def linked(self, relation: str) -> list[str]:
        """Return all link targets with this relation."""
        return [target for name, target in self.links if name == relation]


@dataclass(frozen=True, slots=True)
class Directory:
    """The URLs of an authority.

    ``renewal`` is empty if it offers no renewal windows; ``external`` says that it requires an
    external account.
    """

    nonce: str
    account: str
    order: str
    revoke: str
    key_change: str
    renewal: str
    external: bool


@dataclass(frozen=True, slots=True)
class Order:
    """An order; ``certificate`` is empty until it is valid, ``error`` says why it is invalid."""

    status: str
    names: frozenset[str]
    authorisations: tuple[str, ...]
    finalize: str
    certificate: str
    expires: float
    error: AcmeError | None


@dataclass(frozen=True, slots=True)
class Challenge:
    """One way to prove control of a name."""

    type: str
    url: str
    token: str
    status: str
    error: AcmeError | None


@dataclass(frozen=True, slots=True)
class Authorisation:
    """The authorisation of one name, and the challenges that can complete it."""

    status: str
    name: str
    challenges: tuple[Challenge, ...]
    wildcard: bool


@dataclass(frozen=True, slots=True)
class RenewalWindow:
    """When to renew, and when to ask again (RFC 9773); Unix seconds."""

    start: float
    end: float
    ask_at: float


ORDER_STATES = ("pending", "ready", "processing", "valid", "invalid")
AUTHORISATION_STATES = ("pending", "valid", "invalid", "deactivated", "expired", "revoked")
CHALLENGE_STATES = ("pending", "processing", "valid", "invalid")

_KINDS = {
    "rateLimited": FailureKind.RATE,
    "unauthorized": FailureKind.CHALLENGE,
    "connection": FailureKind.CHALLENGE,
    "dns": FailureKind.CHALLENGE,
    "tls": FailureKind.CHALLENGE,
    "incorrectResponse": FailureKind.CHALLENGE,
    "accountDoesNotExist": FailureKind.ACCOUNT,
    "externalAccountRequired": FailureKind.ACCOUNT,
    "userActionRequired": FailureKind.ACCOUNT,
    "invalidContact": FailureKind.ACCOUNT,
    "unsupportedContact": FailureKind.ACCOUNT,
    "badCSR": FailureKind.REJECTED,
    "badPublicKey": FailureKind.REJECTED,
    "caa": FailureKind.REJECTED,
    "rejectedIdentifier": FailureKind.REJECTED,
    "unsupportedIdentifier": FailureKind.REJECTED,
    "malformed": FailureKind.ORDER,
    "orderNotReady": FailureKind.ORDER,
    "alreadyReplaced": FailureKind.ORDER,
    "serverInternal": FailureKind.UNREACHABLE,
}
_ACME = "urn:ietf:params:acme:error:"


def malformed_answer(where: str, why: str) -> AcmeError:
    """Return the error for a malformed answer."""
    return AcmeError(FailureKind.UNUSABLE, f"{where}: {why}")


def clean(text: object) -> str:
    """Return a text as one printable line of bounded length."""
    return "".join(c if c.isprintable() else " " for c in str(text)[:MAX_TEXT_CHARS])


def document(answer: HttpAnswer, where: str) -> dict[str, Any]:
    """Return the JSON object in an answer."""
    try:
        found = json.loads(answer.body)
    except (ValueError, RecursionError):
        raise malformed_answer(where, "not JSON") from None
    if not isinstance(found, dict):
        raise malformed_answer(where, "no object")
    return found


def url_in(raw: Mapping[str, Any], key: str, where: str, needed: bool = True) -> str:
    """Return an https URL from an object; empty if it is missing and optional."""
    if key not in raw and not needed:
        return ""
    return url(raw.get(key), f"{where}.{key}")


def url(found: object, where: str) -> str:
    """Return an https URL, or raise the error for a malformed one."""
    if not isinstance(found, str) or not 0 < len(found) <= MAX_URL_CHARS or not found.isascii():
        raise malformed_answer(where, "no URL")
    try:
        parts = urlsplit(found)
        good = parts.scheme == "https" and bool(parts.hostname) and (parts.port or 443) > 0
    except ValueError:
        good = False
    if not good or any(c.isspace() or not c.isprintable() for c in found):
        raise malformed_answer(where, f"no URL of https: {clean(found)!r:.80}")
    return found


def _list(raw: Mapping[str, Any], key: str, where: str) -> list[Any]:
    found = raw.get(key)
    if not isinstance(found, list) or len(found) > MAX_LIST_ITEMS:
        raise malformed_answer(f"{where}.{key}", f"no list of at most {MAX_LIST_ITEMS}")
    return found


def _state(raw: Mapping[str, Any], allowed: tuple[str, ...], where: str) -> str:
    found = raw.get("status")
    if found not in allowed:
        raise malformed_answer(
            f"{where}.status", f"{clean(found)!r:.40} is not one of {', '.join(allowed)}"
        )
    return found


def time_in(raw: Mapping[str, Any], key: str, where: str, needed: bool = False) -> float:
    """Return an RFC 3339 time as Unix seconds; 0 if it is missing and optional."""
    if key not in raw and not needed:
        return 0.0
    found = raw.get(key)
    try:
        if not isinstance(found, str) or len(found) > 64:
            raise ValueError("no text")
        at = datetime.fromisoformat(found)
        return (at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp()
    except (ValueError, OverflowError):
        raise malformed_answer(f"{where}.{key}", f"no time: {clean(found)!r:.60}") from None


def directory(answer: HttpAnswer) -> Directory:
    """Parse the directory of an authority."""
    raw, where = document(answer, "directory"), "directory"
    meta = raw.get("meta", {})
    if not isinstance(meta, dict):
        raise malformed_answer("directory.meta", "no object")
    return Directory(
        url_in(raw, "newNonce", where),
        url_in(raw, "newAccount", where),
        url_in(raw, "newOrder", where),
        url_in(raw, "revokeCert", where, False),
        url_in(raw, "keyChange", where, False),
        url_in(raw, "renewalInfo", where, False),
        meta.get("externalAccountRequired") is True,
    )


def _name(raw: object, where: str) -> str:
    if (
        not isinstance(raw, dict)
        or raw.get("type") != "dns"
        or not isinstance(raw.get("value"), str)
    ):
        raise malformed_answer(where, "no name of DNS")
    name = raw["value"].lower()
    if not 0 < len(name) <= 253 or not name.isascii():
        raise malformed_answer(where, "no name of DNS")
    return name


def order(answer: HttpAnswer) -> Order:
    """Parse an order."""
    raw, where = document(answer, "order"), "order"
    status = _state(raw, ORDER_STATES, where)
    urls = _list(raw, "authorizations", where)
    if not urls:
        raise malformed_answer("order.authorizations", "none")
    return Order(
        status,
        frozenset(_name(one, "order.identifiers") for one in _list(raw, "identifiers", where)),
        tuple(url(one, f"order.authorizations[{at}]") for at, one in enumerate(urls)),
        url_in(raw, "finalize", where),
        url_in(raw, "certificate", where, needed=status == "valid"),
        time_in(raw, "expires", where),
        _error(raw, where),
    )


def authorisation(answer: HttpAnswer) -> Authorisation:
    """Parse an authorisation."""
    raw, where = document(answer, "authorization"), "authorization"
    found = []
    for at, one in enumerate(_list(raw, "challenges", where)):
        field = f"authorization.challenges[{at}]"
        if not isinstance(one, dict):
            raise malformed_answer(field, "no object")
        # The fields of other challenge types are unknown.
        if one.get("type") in ("http-01", "tls-alpn-01"):
            found.append(_challenge(one, field))
    return Authorisation(
        _state(raw, AUTHORISATION_STATES, where),
        _name(raw.get("identifier"), "authorization.identifier"),
        tuple(found),
        raw.get("wildcard") is True,
    )


def _challenge(raw: Mapping[str, Any], where: str) -> Challenge:
    token = raw.get("token")
    if not isinstance(token, str) or not 8 <= len(token) <= 256:
        raise malformed_answer(f"{where}.token", "no token")
    if not all(c.isascii() and (c.isalnum() or c in "-_") for c in token):
        # The token becomes a file name.
        raise malformed_answer(f"{where}.token", "not in the alphabet of base64url")
    status = _state(raw, CHALLENGE_STATES, where)
    return Challenge(raw["type"], url_in(raw, "url", where), token, status, _error(raw, where))


def _error(raw: Mapping[str, Any], where: str) -> AcmeError | None:
    found = raw.get("error")
    if found is None:
        return None
    if not isinstance(found, dict):
        raise malformed_answer(f"{where}.error", "no object")
    return _problem(found, 0.0)


def _problem(raw: Mapping[str, Any], retry_after: float, status: int = 0) -> AcmeError:
    """Return the error for an RFC 7807 problem; subproblems name the identifiers."""
    name = raw.get("type")
    name = name.removeprefix(_ACME) if isinstance(name, str) else ""
    detail = clean(raw.get("detail", "")) or "no detail"
    below = raw.get("subproblems")
    if isinstance(below, list):
        for one in below[:5]:
            if isinstance(one, dict):
                who = one.get("identifier")
                who = who.get("value") if isinstance(who, dict) else "?"
                detail += f"; {clean(who)}: {clean(one.get('detail', ''))}"
    words = f"{clean(name) or 'no type'}: {detail}"
    if name == "badNonce":
        return BadNonceError(FailureKind.UNREACHABLE, words, retry_after)
    kind = _KINDS.get(name)
    if kind is None:
        kind = (
            FailureKind.RATE
            if status == 429
            else FailureKind.UNREACHABLE
            if status >= 500
            else FailureKind.REJECTED
        )
    return AcmeError(kind, words, retry_after)


def problem(answer: HttpAnswer, now: float) -> AcmeError:
    """Return the error for an unsuccessful answer."""
    after = retry_after(answer, now)
    try:
        raw = document(answer, "problem")
    except AcmeError:
        raw = {}
    found = _problem(raw, after, answer.status)
    if answer.status == 429 and found.kind is not FailureKind.RATE:
        found = AcmeError(FailureKind.RATE, found.detail, after)
    if answer.status == 404 and found.kind in (FailureKind.REJECTED, FailureKind.CHALLENGE):
        found = AcmeError(FailureKind.ORDER, f"not found: {found.detail}", after)
    return found


def retry_after(answer: HttpAnswer, now: float) -> float:
    """Return the Retry-After of an answer in seconds; 0 if it is missing or malformed."""
    raw = answer.headers.get("retry-after", "").strip()
    if not raw:
        return 0.0
    if raw.isascii() and raw.isdigit():
        return min(float(raw[:12]), MAX_RETRY_AFTER_S)
    try:
        at = parsedate_to_datetime(raw)
        at = at if at.tzinfo else at.replace(tzinfo=UTC)
        return min(max(0.0, at.timestamp() - now), MAX_RETRY_AFTER_S)
    except (ValueError, TypeError, OverflowError, IndexError):
        return 0.0


def window(answer: HttpAnswer, now: float) -> RenewalWindow:
    """Parse a renewal window."""
    raw = document(answer, "renewalInfo")
    found = raw.get("suggestedWindow")
    if not isinstance(found, dict):
        raise malformed_answer("renewalInfo.suggestedWindow", "no object")
    start = time_in(found, "start", "renewalInfo.suggestedWindow", True)
    end = time_in(found, "end", "renewalInfo.suggestedWindow", True)
    if end <= start:
        raise malformed_answer("renewalInfo.suggestedWindow", "ends before it begins")
    # RFC 9773, 4.3 asks for sensible bounds; here a minute to a day.
    after = min(max(retry_after(answer, now) or 6 * 3_600, 60), 86_400)
    return RenewalWindow(start, end, now + after)
