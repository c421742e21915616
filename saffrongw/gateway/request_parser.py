"""Parses clients' commands as requests, with a fast path for the common form."""

from __future__ import annotations

import re

from ..policy.settings import Idempotency
from .config import Config
from .request_types import US_PER_MS, RequestTerms
from .resp import MAX_VALUE_BYTES, MalformedMessageError

MAX_CUSTOMER_BITS = 33
MAX_TIMEOUT_MS = 3_600_000

# Entries of the cache of parsed amounts, which is cleared when it is full.
MAX_CACHED_TEXTS = 4_096

_CUSTOMER = re.compile(rb"[0-9a-f]{16}")
_REQUEST_ID = re.compile(rb"[0-9A-Za-z_-]{1,64}")
_TIMEOUT_MS = re.compile(rb"[1-9][0-9]{0,6}")
_UNITS = re.compile(rb"(0|[1-9][0-9]{0,8})(\.[0-9]{1,9})?")
_NODE_NUMBER = re.compile(rb"0|[1-9][0-9]{0,4}")
_IDEMPOTENCY_KEY = re.compile(rb"[0-9A-Za-z_-]{1,64}")

# The names of a request's required terms on the wire: class, plan, timeout, units, and the replica
# set's size and first node. In addition, ``k`` is the idempotency key and ``r=1`` marks a retry.
_TERM_NAMES = {b"c", b"t", b"d", b"units", b"spread", b"first"}

# The common form: customer, id, terms in their usual order, and the header of the body, if any.
_COMMON_FORM = re.compile(
    rb"\*(?:4\r\n\$8\r\n(CALL\.GET)|5\r\n\$9\r\n(CALL\.POST))\r\n\$16\r\n(0{7}[01][0-9a-f]{8})\r\n"
    rb"\$([1-9][0-9]?)\r\n([0-9A-Za-z_-]{1,64})\r\n"
    rb"\$([1-9][0-9]{1,2})\r\n((c=[^,=\r\n]{1,64},t=[^,=\r\n]{1,64},d=)([1-9][0-9]{0,6})"
    rb"((,k=[0-9A-Za-z_-]{1,64})?,"
    rb"(units=[0-9.]{1,19},spread=[0-9]{1,5},first=[0-9]{1,5}(?:,r=1)?)))\r\n"
    rb"(?:\$(0|[1-9][0-9]{0,4})\r\n)?"
)
_CLASS_AND_PLAN = re.compile(rb"c=([^,=]+),t=([^,=]+),d=")
_AMOUNTS = re.compile(
    rb"units=((?:0|[1-9][0-9]{0,8})(?:\.[0-9]{1,9})?),"
    rb"spread=([1-9][0-9]{0,4}),first=(0|[1-9][0-9]{0,4})(,r=1)?"
)

# The subset of the common form that is needed to reject a request unparsed: its end, its customer,
# its class and plan.
_SKIMMED_FORM = re.compile(
    rb"\*(?:4\r\n\$8\r\nCALL\.GET|(5)\r\n\$9\r\nCALL\.POST)\r\n\$16\r\n(0{7}[01][0-9a-f]{8})\r\n"
    rb"\$([1-9][0-9]?)\r\n([0-9A-Za-z_-]{1,64})\r\n"
    rb"\$([1-9][0-9]{1,2})\r\n(c=([^,\r\n]{1,64},t=[^,\r\n]{1,64}),[^\r\n]{1,256})\r\n"
    rb"(?:\$(0|[1-9][0-9]{0,4})\r\n)?"
)

# A request's terms, and its parts as sent to endpoints. Plain tuples here and below, because
# one is created for each request.
ParsedRequest = tuple[RequestTerms, tuple[bytes, ...]]

# Indices of class and plan, and the class's idempotency.
ClassAndPlan = tuple[int, int, Idempotency]

# Units, size and first node of the replica set, and whether the request is a retry.
Amounts = tuple[float, int, int, bool]


def parse_request(command: list[bytes], config: Config) -> ParsedRequest:
    """Parse a command whose terms may be in any order.

    The returned parts have the text of the terms split around the value of ``d``.
    Endpoints don't accept malformed terms, so patterns check the exact forms: ``int()`` and
    ``float()`` would accept ``1_0``, ``+1``, ``nan`` and blanks. Raises ``MalformedMessageError``
    with the message for the client.
    """
    if len(command) != (4 if command[0] == b"CALL.GET" else 5):
        raise MalformedMessageError("wrong number of values")
    name, customer, request_id, text = command[:4]
    if not _CUSTOMER.fullmatch(customer) or int(customer, 16) >> MAX_CUSTOMER_BITS:
        raise MalformedMessageError("customer is not 16 hex digits below 2^33")
    if not _REQUEST_ID.fullmatch(request_id):
        raise MalformedMessageError("the request's id is empty, too long or malformed")
    terms = _split_terms(text)
    kind, plan, idempotency = _find_class_and_plan(terms, config)
    if (name == b"CALL.GET") != (idempotency is Idempotency.IDEMPOTENT):
        raise MalformedMessageError("this class is served by the other command")
    is_retry = _check_term_names(terms, idempotency)
    timeout_ms = terms[b"d"]
    if not _TIMEOUT_MS.fullmatch(timeout_ms) or int(timeout_ms) > MAX_TIMEOUT_MS:
        raise MalformedMessageError("term d is out of range")
    units, set_size, set_first = _parse_amounts(terms, config)
    start = (b"," + text).index(b",d=") + 2
    end = start + len(timeout_ms)
    parts = (name, customer, request_id, text[:start], text[end:], *command[4:])
    timeout_us = int(timeout_ms) * US_PER_MS
    return (
        RequestTerms(
            int(customer, 16), kind, plan, timeout_us, units, set_size, set_first, is_retry
        ),
        parts,
    )


def class_and_plan(parts: tuple[bytes, ...]) -> bytes:
    """Return ``CLASS,t=PLAN`` of a command in the form that ``RequestFormat.skim`` returns.

    Empty if the terms are in another order.
    """
    words = parts[3].split(b",")
    if len(words) > 2 and words[0].startswith(b"c="):
        return words[0][2:] + b"," + words[1]
    return b""


def _split_terms(text: bytes) -> dict[bytes, bytes]:
    """Split ``NAME=VALUE,NAME=VALUE``."""
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    if any(len(pair) != 2 for pair in pairs):
        raise MalformedMessageError("terms are malformed")
    terms = {pair[0]: pair[1] for pair in pairs}
    if len(terms) != len(pairs):
        raise MalformedMessageError("a term stands twice")
    return terms


def _find_class_and_plan(terms: dict[bytes, bytes], config: Config) -> ClassAndPlan:
    if b"c" not in terms or b"t" not in terms:
        raise MalformedMessageError("unknown class or plan")
    kind, plan = config.classes.get(terms[b"c"]), config.plans.get(terms[b"t"])
    if kind is None or plan is None:
        raise MalformedMessageError("unknown class or plan")
    return kind, plan, config.settings.classes[kind].idempotency


def _check_term_names(terms: dict[bytes, bytes], idempotency: Idempotency) -> bool:
    """Check that all required terms and no others are present; return whether it is a retry."""
    has_key = idempotency is Idempotency.IDEMPOTENCY_KEY
    expected = _TERM_NAMES | {b"k"} if has_key else _TERM_NAMES
    retry = terms.pop(b"r", None)
    if terms.keys() != expected or retry not in (None, b"1"):
        raise MalformedMessageError("a term is missing, or one too many")
    if has_key and not _IDEMPOTENCY_KEY.fullmatch(terms[b"k"]):
        raise MalformedMessageError("term k is malformed")
    return retry is not None


def _parse_amounts(terms: dict[bytes, bytes], config: Config) -> tuple[float, int, int]:
    """Parse the units, and the size and the first node of the replica set."""
    units, set_size, set_first = terms[b"units"], terms[b"spread"], terms[b"first"]
    if not _UNITS.fullmatch(units) or not 0 < float(units) <= config.max_units:
        raise MalformedMessageError("term units is out of range")
    if not _NODE_NUMBER.fullmatch(set_size) or not _NODE_NUMBER.fullmatch(set_first):
        raise MalformedMessageError("terms spread and first are malformed")
    node_count = config.settings.node_count
    if not 1 <= int(set_size) <= node_count or not int(set_first) < node_count:
        raise MalformedMessageError("terms spread and first are out of range")
    return float(units), int(set_size), int(set_first)


class RequestFormat:
    """Reads requests of the common form with one regular expression.

    Requests of any other form are left to ``CommandReader`` and ``parse_request``.
    """

    __slots__ = (
        "amounts_cache",
        "class_and_plan_cache",
        "classes",
        "idempotency_of",
        "max_units",
        "node_count",
        "plans",
    )

    def __init__(self, config: Config) -> None:
        """Use the names and bounds of this configuration."""
        self.classes = config.classes
        self.plans = config.plans
        self.idempotency_of = tuple(each.idempotency for each in config.settings.classes)
        self.node_count = config.settings.node_count
        self.max_units = config.max_units
        # Parsed values of texts that occur often. The first cache needs no limit: it holds only
        # classes and plans of the settings.
        self.class_and_plan_cache: dict[bytes, ClassAndPlan] = {}
        self.amounts_cache: dict[bytes, Amounts] = {}

    def _class_and_plan(self, text: bytes) -> ClassAndPlan | None:
        """Parse ``c=CLASS,t=PLAN,d=``; None if the settings don't have the class or the plan."""
        if (cached := self.class_and_plan_cache.get(text)) is None:
            if (found := _CLASS_AND_PLAN.fullmatch(text)) is None:
                return None
            kind, plan = self.classes.get(found[1]), self.plans.get(found[2])
            if kind is None or plan is None:
                return None
            cached = self.class_and_plan_cache[text] = kind, plan, self.idempotency_of[kind]
        return cached

    def _amounts(self, text: bytes) -> Amounts | None:
        """Parse ``units=...,spread=...,first=...`` with an optional ``,r=1``.

        Returns None if one is malformed or out of range.
        """
        if (cached := self.amounts_cache.get(text)) is None:
            if (found := _AMOUNTS.fullmatch(text)) is None:
                return None
            units, set_size, set_first = float(found[1]), int(found[2]), int(found[3])
            if not 0 < units <= self.max_units:
                return None
            if set_size > self.node_count or set_first >= self.node_count:
                return None
            if len(self.amounts_cache) >= MAX_CACHED_TEXTS:
                self.amounts_cache.clear()
            cached = self.amounts_cache[text] = units, set_size, set_first, found[4] is not None
        return cached

    @staticmethod
    def skim(data: bytes, position: int) -> tuple[int, bytes, bytes] | None:
        """Return the end of the request at this position, its customer, and ``CLASS,t=PLAN``.

        Returns None if it is not complete or not of the common form.
        """
        found = _SKIMMED_FORM.match(data, position)
        if found is None:
            return None
        post, customer, id_size, request_id, size, text, class_and_plan, body_size = found.groups()
        if (
            len(request_id) != int(id_size)
            or len(text) != int(size)
            or (post is None) != (body_size is None)
        ):
            return None
        if post is None:
            return found.end(), customer, class_and_plan
        end = found.end() + int(body_size)
        if data[end : end + 2] != b"\r\n":
            return None
        return end + 2, customer, class_and_plan

    def read(
        self, data: bytes, position: int
    ) -> tuple[int, RequestTerms, tuple[bytes, ...]] | None:
        """Return the end of the request at this position, its terms and its parts.

        Returns None if it is not complete, not of the common form, or malformed.
        """
        found = _COMMON_FORM.match(data, position)
        if found is None:
            return None
        get, post, customer, id_size, request_id, size, text, *rest = found.groups()
        before, timeout_ms, after, key, amounts_text, body_size = rest
        if (
            len(request_id) != int(id_size)
            or len(text) != int(size)
            or (post is None) != (body_size is None)
        ):
            return None
        if (class_and_plan := self._class_and_plan(before)) is None:
            return None
        if (amounts := self._amounts(amounts_text)) is None:
            return None
        kind, plan, idempotency = class_and_plan
        if (post is None) != (idempotency is Idempotency.IDEMPOTENT):
            return None
        if (key is None) != (idempotency is not Idempotency.IDEMPOTENCY_KEY):
            return None
        if (timeout := int(timeout_ms)) > MAX_TIMEOUT_MS:
            return None
        end = found.end()
        terms = RequestTerms(int(customer, 16), kind, plan, timeout * US_PER_MS, *amounts)
        if post is None:
            return end, terms, (get, customer, request_id, before, after)
        body_end = end + int(body_size)
        if body_end - end > MAX_VALUE_BYTES or data[body_end : body_end + 2] != b"\r\n":
            return None
        body = data[end:body_end]
        return body_end + 2, terms, (post, customer, request_id, before, after, body)
