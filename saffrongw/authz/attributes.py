"""A request's terms as the protocol's published attributes, and replies as verdicts. Pure.

``docs/operate/authz.md`` has the table. Names of classes and plans are the settings'.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass

from google.protobuf.message import DecodeError
from google.protobuf.struct_pb2 import Struct

from saffrongw.gateway.extensions import FilteredRequest

from . import check_pb2 as pb
from .checks import CheckReply, ReplyKind

METHOD = "/envoy.service.auth.v3.Authorization/Check"
NAMESPACE = "saffrongw"  # of dynamic metadata that is read
MAX_TEXT_CHARS = 256  # characters of any text that is read
RETRY_INFO = "type.googleapis.com/google.rpc.RetryInfo"
OK, INVALID_ARGUMENT, EXHAUSTED, UNAVAILABLE = 0, 3, 8, 14  # codes of google.rpc.Status
MS, SECOND = 1_000, 1_000_000
MAX_RETRY_AFTER_US = 3600 * SECOND
RETRYABLE_STATUSES = {429, 503}  # HTTP statuses after which trying again is of use


class InvalidReplyError(Exception):
    """What came is no usable answer; it says why."""


@dataclass(frozen=True, slots=True)
class RequestNames:
    """Classes and plans by number, and which classes are safe to ask with GET."""

    classes: tuple[str, ...]
    plans: tuple[str, ...]
    safe: tuple[bool, ...]


def cache_key(request: FilteredRequest) -> Hashable:
    """What the answer may hang on.

    All that the authoriser is shown but the id, the time and the wait.
    """
    terms = request.terms
    return (
        terms.customer,
        terms.kind,
        terms.plan,
        terms.units,
        terms.replica_set_size,
        terms.replica_set_first,
        terms.is_retry,
        request.body_bytes,
    )


def encode_check(request: FilteredRequest, names: RequestNames, gateway: str, at: int) -> bytes:
    """The message that asks; at in us of Unix time."""
    terms = request.terms
    message = pb.CheckRequest()
    attributes = message.attributes
    attributes.source.principal = f"{terms.customer:016x}"
    attributes.destination.service = gateway
    attributes.request.time.seconds, rest = divmod(at, SECOND)
    attributes.request.time.nanos = rest * 1000
    http = attributes.request.http
    http.id = request.client_id.decode("ascii", "replace")
    http.method = "GET" if names.safe[terms.kind] else "POST"
    http.path = "/" + names.classes[terms.kind]
    http.host, http.scheme, http.protocol = gateway, "resp", "RESP2"
    http.size = request.body_bytes
    extensions = attributes.context_extensions
    extensions["customer"] = f"{terms.customer:016x}"
    extensions["class"] = names.classes[terms.kind]
    extensions["plan"] = names.plans[terms.plan]
    extensions["units"] = f"{terms.units:g}"
    extensions["spread"] = str(terms.replica_set_size)
    extensions["first"] = str(terms.replica_set_first)
    extensions["wait_ms"] = str(terms.timeout_us // MS)
    extensions["retry"] = "1" if terms.is_retry else "0"
    return message.SerializeToString()


def parse_reply(body: bytes) -> CheckReply:
    """An answer as a reply; ``BadReply`` where it contradicts itself or can't be read."""
    response = pb.CheckResponse()
    try:
        response.ParseFromString(body)
    except DecodeError as wrong:
        raise InvalidReplyError(f"not a CheckResponse: {wrong}") from None
    code, which = response.status.code, response.WhichOneof("http_response")
    if code == OK and which == "denied_response":
        raise InvalidReplyError("status OK with a denied response")
    if code != OK and which == "ok_response":
        raise InvalidReplyError(f"status {code} with an ok response")
    # Older authorisers put it into the ok response, which is empty where there is none.
    metadata = _dynamic_metadata(response.dynamic_metadata) or _dynamic_metadata(
        response.ok_response.dynamic_metadata
    )
    lifetime, plan = _lifetime(metadata), metadata.get("plan", "")
    if code == OK:
        named = isinstance(plan, str) and len(plan) <= MAX_TEXT_CHARS
        return CheckReply(ReplyKind.ALLOW, 0, lifetime, plan if named else "")
    status = response.denied_response.status.code if which else 0
    retry = _retry_after(response)
    if status in RETRYABLE_STATUSES or (not status and code in (EXHAUSTED, UNAVAILABLE)):
        return CheckReply(ReplyKind.LATER, retry, lifetime)
    return CheckReply(ReplyKind.DENY, 0, lifetime)


def _dynamic_metadata(metadata: Struct) -> dict:
    """Our part of the dynamic metadata, if there is one."""
    field = metadata.fields.get(NAMESPACE)
    if field is None or field.WhichOneof("kind") != "struct_value":
        return {}
    found: dict = {}
    for name, value in field.struct_value.fields.items():
        kind = value.WhichOneof("kind")
        if kind == "number_value":
            found[name] = value.number_value
        elif kind == "string_value":
            found[name] = value.string_value
    return found


def _lifetime(metadata: Mapping) -> int:
    """``cache_ms`` in us; 0 where it is no time."""
    value = metadata.get("cache_ms", 0)
    if not isinstance(value, float | int) or not 0 < value < 1e9:
        return 0
    return int(value * MS)


def _retry_after(response: pb.CheckResponse) -> int:
    """When to come back, by RetryInfo or a ``retry-after`` header in seconds.

    0 where it does not say.
    """
    for detail in response.status.details[:16]:
        if detail.type_url == RETRY_INFO:
            info = pb.RetryInfo()
            try:
                info.ParseFromString(detail.value)
            except DecodeError:
                continue
            return min(
                MAX_RETRY_AFTER_US,
                max(0, info.retry_delay.seconds * SECOND + info.retry_delay.nanos // 1000),
            )
    for option in response.denied_response.headers[:64]:
        if option.header.key.lower() == "retry-after":
            text = option.header.value or option.header.raw_value.decode("ascii", "replace")
            if text.isascii() and text.isdigit() and len(text) <= 9:
                return min(MAX_RETRY_AFTER_US, int(text) * SECOND)
    return 0


# -- the gateway as an authoriser ------------------------------------------------------------------


class InvalidCheckError(Exception):
    """A check that can't be decided; it says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class AdmissionCheck:
    """What another proxy asks."""

    customer: int
    plan: int
    kind: int
    units: float
    first: int
    spread: int


@dataclass(frozen=True, slots=True)
class ContextExtensionNames:
    """Which context extensions hold what."""

    customer: str = "customer"
    plan: str = "plan"
    cls: str = "class"


CUSTOMER_BITS = 33
MAX_UNITS_CHARS = 18
MAX_REPLICA_DIGITS = 5


def parse_check(
    body: bytes,
    names: RequestNames,
    fields: ContextExtensionNames,
    gateways: int,
    max_units: float,
) -> AdmissionCheck:
    """Return a check as terms, in the exact forms that a client's command has.

    Raises ``InvalidCheckError`` that names the malformed field.
    """
    message = pb.CheckRequest()
    try:
        message.ParseFromString(body)
    except DecodeError as error:
        raise InvalidCheckError(f"not a CheckRequest: {error}") from None
    extensions = message.attributes.context_extensions
    customer = extensions.get(fields.customer) or message.attributes.source.principal
    customer_number = _customer_number(customer, fields.customer)
    plan, cls = extensions.get(fields.plan, ""), extensions.get(fields.cls, "")
    if plan not in names.plans:
        raise InvalidCheckError(f"{fields.plan} is no plan")
    if cls not in names.classes:
        raise InvalidCheckError(f"{fields.cls} is no class")
    units = _units(extensions.get("units", "1"), max_units)
    spread = _replica_number("spread", extensions.get("spread", str(gateways)))
    first = _replica_number("first", extensions.get("first", "0"))
    if not 1 <= spread <= gateways or not first < gateways:
        raise InvalidCheckError("spread and first are out of range")
    return AdmissionCheck(
        customer_number, names.plans.index(plan), names.classes.index(cls), units, first, spread
    )


def _customer_number(text: str, key: str) -> int:
    is_hexadecimal = len(text) == 16 and set(text) <= set("0123456789abcdef")
    if not is_hexadecimal or int(text, 16) >> CUSTOMER_BITS:
        raise InvalidCheckError(f"{key} is not 16 hex digits below 2^33")
    return int(text, 16)


def _units(text: str, max_units: float) -> float:
    is_decimal = set(text) <= set("0123456789.") and text.count(".") <= 1
    if len(text) > MAX_UNITS_CHARS or not is_decimal or text in (".", ""):
        raise InvalidCheckError("units is no number")
    units = float(text)
    if not 0 < units <= max_units:
        raise InvalidCheckError("units is out of range")
    return units


def _replica_number(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_REPLICA_DIGITS:
        raise InvalidCheckError(f"{name} is no number")
    return int(text)


def admitted_response() -> bytes:
    """The answer to a check that is let in: never to be kept, as each takes its units."""
    response = pb.CheckResponse()
    response.status.code = OK
    response.ok_response.SetInParent()
    return response.SerializeToString()


def rejected_response(retry_after: int) -> bytes:
    """The answer to one that is not; retry_after in us, 0 says nothing."""
    response = pb.CheckResponse()
    response.status.code = EXHAUSTED
    response.status.message = "over quota"
    response.denied_response.status.code = 429
    if retry_after:
        info = pb.RetryInfo()
        info.retry_delay.seconds, rest = divmod(retry_after, SECOND)
        info.retry_delay.nanos = rest * 1000
        detail = response.status.details.add()
        detail.type_url, detail.value = RETRY_INFO, info.SerializeToString()
        header = response.denied_response.headers.add().header
        header.key, header.value = "retry-after", str(-(-retry_after // SECOND))
    return response.SerializeToString()
