"""A client's command as a request: the exact form, read in one step where it comes in the usual order."""

from __future__ import annotations

import re

from ..policy.settings import Idempotency
from .config import Config
from .driver import RequestTerms
from .resp import VALUE_MOST, MalformedMessageError

CUSTOMER_BITS = 33
WAIT_MOST = 3_600_000  # ms
MS = 1_000

_CUSTOMER = re.compile(rb"[0-9a-f]{16}")
_NUMBER = re.compile(rb"[0-9A-Za-z_-]{1,64}")
_WAIT = re.compile(rb"[1-9][0-9]{0,6}")
_UNITS = re.compile(rb"(0|[1-9][0-9]{0,8})(\.[0-9]{1,9})?")
_GATEWAYS = re.compile(rb"0|[1-9][0-9]{0,4}")
_KEY = re.compile(rb"[0-9A-Za-z_-]{1,64}")
_TERMS = {b"c", b"t", b"d", b"units", b"spread", b"first"}
# The usual form, whole: customer, id, terms in their usual order, and the header of the body.
_USUAL = re.compile(
    rb"\*(?:4\r\n\$8\r\n(CALL\.GET)|5\r\n\$9\r\n(CALL\.POST))\r\n\$16\r\n(0{7}[01][0-9a-f]{8})\r\n"
    rb"\$([1-9][0-9]?)\r\n([0-9A-Za-z_-]{1,64})\r\n"
    rb"\$([1-9][0-9]{1,2})\r\n((c=[^,=\r\n]{1,64},t=[^,=\r\n]{1,64},d=)([1-9][0-9]{0,6})"
    rb"((,k=[0-9A-Za-z_-]{1,64})?,(units=[0-9.]{1,19},spread=[0-9]{1,5},first=[0-9]{1,5}(?:,r=1)?)))\r\n"
    rb"(?:\$(0|[1-9][0-9]{0,4})\r\n)?"
)
_GROUP = re.compile(rb"c=([^,=]+),t=([^,=]+),d=")
_AMOUNTS = re.compile(
    rb"units=((?:0|[1-9][0-9]{0,8})(?:\.[0-9]{1,9})?),spread=([1-9][0-9]{0,4}),first=(0|[1-9][0-9]{0,4})(,r=1)?"
)
KNOWN_MOST = 4_096  # texts whose meaning is kept
# As much of it as it takes to refuse one: where it ends, who asks, class and plan.
_SKIM = re.compile(
    rb"\*(?:4\r\n\$8\r\nCALL\.GET|(5)\r\n\$9\r\nCALL\.POST)\r\n\$16\r\n(0{7}[01][0-9a-f]{8})\r\n"
    rb"\$([1-9][0-9]?)\r\n([0-9A-Za-z_-]{1,64})\r\n"
    rb"\$([1-9][0-9]{1,2})\r\n(c=([^,\r\n]{1,64},t=[^,\r\n]{1,64}),[^\r\n]{1,256})\r\n"
    rb"(?:\$(0|[1-9][0-9]{0,4})\r\n)?"
)

Parsed = tuple[RequestTerms, tuple[bytes, ...]]


def parse_request(command: list[bytes], config: Config) -> Parsed:
    """A request's terms, and its parts as hosts get them: the terms are cut round the value of ``d``.

    Hosts void what they can't use, so that only the exact forms pass: ``int()`` and ``float()`` take ``1_0``,
    ``+1``, ``nan`` and blanks.
    """
    if len(command) != (4 if command[0] == b"CALL.GET" else 5):
        raise MalformedMessageError("wrong number of values")
    name, customer, number, text = command[:4]
    if not _CUSTOMER.fullmatch(customer) or (key := int(customer, 16)) >> CUSTOMER_BITS:
        raise MalformedMessageError("customer is not 16 hex digits below 2^33")
    if not _NUMBER.fullmatch(number):
        raise MalformedMessageError("the request's id is empty, too long or malformed")
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    try:
        terms = dict(pairs)
    except ValueError:
        raise MalformedMessageError("terms are malformed") from None
    if len(terms) != len(pairs):
        raise MalformedMessageError("a term stands twice")
    kind, plan = config.classes.get(terms.get(b"c")), config.plans.get(terms.get(b"t"))
    if kind is None or plan is None:
        raise MalformedMessageError("unknown class or plan")
    effect, gateways = config.settings.classes[kind].idempotency, config.settings.node_count
    if (name == b"CALL.GET") != (effect is Idempotency.IDEMPOTENT):
        raise MalformedMessageError("this class is served by the other command")
    wanted = _TERMS | {b"k"} if effect is Idempotency.IDEMPOTENCY_KEY else _TERMS
    repeat = terms.pop(b"r", None)
    if terms.keys() != wanted or repeat not in (None, b"1"):
        raise MalformedMessageError("a term is missing, or one too many")
    if effect is Idempotency.IDEMPOTENCY_KEY and not _KEY.fullmatch(terms[b"k"]):
        raise MalformedMessageError("term k is malformed")
    wait, units, spread, first = (terms[term] for term in (b"d", b"units", b"spread", b"first"))
    if not _WAIT.fullmatch(wait) or int(wait) > WAIT_MOST:
        raise MalformedMessageError("term d is out of range")
    if not _UNITS.fullmatch(units) or not 0 < float(units) <= config.max_units:
        raise MalformedMessageError("term units is out of range")
    if not _GATEWAYS.fullmatch(spread) or not _GATEWAYS.fullmatch(first):
        raise MalformedMessageError("terms spread and first are malformed")
    if not 1 <= int(spread) <= gateways or not int(first) < gateways:
        raise MalformedMessageError("terms spread and first are out of range")
    at = (b"," + text).index(b",d=") + 2
    parts = (name, customer, number, text[:at], text[at + len(wait) :], *command[4:])
    return RequestTerms(
        key, kind, plan, int(wait) * MS, float(units), int(spread), int(first), repeat is not None
    ), parts


class RequestFormat:
    """Reads requests in their usual form in one step; what is not of it is left to the framing and ``parse``."""

    __slots__ = ("amounts", "classes", "effects", "gateways", "groups", "plans", "units_most")

    def __init__(self, config: Config) -> None:
        self.classes, self.plans = config.classes, config.plans
        self.effects = tuple(c.idempotency for c in config.settings.classes)
        self.gateways, self.units_most = config.settings.node_count, config.max_units
        # Texts that come again and again, by their meaning.
        self.groups: dict[
            bytes, tuple[int, int, Idempotency]
        ] = {}  # only those that the settings name
        self.amounts: dict[bytes, tuple[float, int, int, bool]] = {}

    def _group(self, text: bytes) -> tuple[int, int, Idempotency] | None:
        """``c=CLASS,t=PLAN,d=`` as numbers of class and plan, and the class's effect."""
        if (known := self.groups.get(text)) is None:
            kind_name, plan_name = _GROUP.fullmatch(text).groups()
            kind, plan = self.classes.get(kind_name), self.plans.get(plan_name)
            if kind is None or plan is None:
                return None
            known = self.groups[text] = kind, plan, self.effects[kind]
        return known

    def _amounts(self, text: bytes) -> tuple[float, int, int, bool] | None:
        """``units=...,spread=...,first=...`` as units, size and first gateway of the set, and whether it is a retry."""
        if (known := self.amounts.get(text)) is None:
            if (found := _AMOUNTS.fullmatch(text)) is None:
                return None
            units, spread, first = float(found[1]), int(found[2]), int(found[3])
            if not 0 < units <= self.units_most or spread > self.gateways or first >= self.gateways:
                return None
            if len(self.amounts) >= KNOWN_MOST:
                self.amounts.clear()
            known = self.amounts[text] = units, spread, first, found[4] is not None
        return known

    @staticmethod
    def skim(data: bytes, at: int) -> tuple[int, bytes, bytes] | None:
        """Where the request at this place ends, its customer, and class and plan as ``CLASS,t=PLAN``."""
        found = _SKIM.match(data, at)
        if found is None:
            return None
        post, customer, id_size, number, size, text, group, body_size = found.groups()
        if (
            len(number) != int(id_size)
            or len(text) != int(size)
            or (post is None) != (body_size is None)
        ):
            return None
        if post is None:
            return found.end(), customer, group
        last = found.end() + int(body_size)
        return (last + 2, customer, group) if data[last : last + 2] == b"\r\n" else None

    def read(self, data: bytes, at: int) -> tuple[int, RequestTerms, tuple[bytes, ...]] | None:
        """Where the request at this place ends, its terms and parts; None: not whole, or not of the usual form."""
        found = _USUAL.match(data, at)
        if found is None:
            return None
        (
            get,
            post,
            customer,
            id_size,
            number,
            size,
            text,
            before,
            wait,
            after,
            key,
            amounts,
            body_size,
        ) = found.groups()
        if (
            len(number) != int(id_size)
            or len(text) != int(size)
            or (post is None) != (body_size is None)
        ):
            return None
        if (group := self._group(before)) is None or (given := self._amounts(amounts)) is None:
            return None
        kind, plan, effect = group
        if (post is None) != (effect is Idempotency.IDEMPOTENT) or (key is None) != (
            effect is not Idempotency.IDEMPOTENCY_KEY
        ):
            return None
        if (span := int(wait)) > WAIT_MOST:
            return None
        end = found.end()
        terms = RequestTerms(int(customer, 16), kind, plan, span * MS, *given)
        if post is None:
            return end, terms, (get, customer, number, before, after)
        last = end + int(body_size)
        if last - end > VALUE_MOST or data[last : last + 2] != b"\r\n":
            return None
        return last + 2, terms, (post, customer, number, before, after, data[end:last])
