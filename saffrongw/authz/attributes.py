"""Encodes checks and parses replies as messages of Envoy's authorisation protocol. Pure.

``docs/operate/authz.md`` has the table of attributes. Class and plan names are those of the
gateway's configuration.
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
NAMESPACE = "saffrongw"  # of the dynamic metadata that is read
MAX_TEXT_CHARS = 256  # of a plan name in dynamic metadata
RETRY_INFO = "type.googleapis.com/google.rpc.RetryInfo"
OK, INVALID_ARGUMENT, EXHAUSTED, UNAVAILABLE = 0, 3, 8, 14  # codes of google.rpc.Status
US_PER_MS, US_PER_S = 1_000, 1_000_000
MAX_RETRY_AFTER_US = 3600 * US_PER_S
RETRYABLE_STATUSES = {429, 503}  # HTTP statuses of denials after which a retry may be allowed


class InvalidReplyError(Exception):
    """A reply can't be used; the message says why."""


@dataclass(frozen=True, slots=True)
class RequestNames:
    """Names of classes and plans by their numbers, and which classes are idempotent.

    Checks for idempotent classes have the HTTP method GET, others POST.
    """

    classes: tuple[str, ...]
    plans: tuple[str, ...]
    idempotent: tuple[bool, ...]


def cache_key(request: FilteredRequest) -> Hashable:
    """Return what the authoriser's reply may depend on.

    This is every attribute of the check except the request's id, the time and the timeout.
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


def encode_check(
    request: FilteredRequest, names: RequestNames, gateway: str, unix_us: int
) -> bytes:
    """Encode a check, with the Unix time in microseconds at which it is sent."""
    terms = request.terms
    message = pb.CheckRequest()
    attributes = message.attributes
    attributes.source.principal = f"{terms.customer:016x}"
    attributes.destination.service = gateway
    attributes.request.time.seconds, rest = divmod(unix_us, US_PER_S)
    attributes.request.time.nanos = rest * 1000
    http = attributes.request.http
    http.id = request.client_id.decode("ascii", "replace")
    http.method = "GET" if names.idempotent[terms.kind] else "POST"
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
    extensions["wait_ms"] = str(terms.timeout_us // US_PER_MS)
    extensions["retry"] = "1" if terms.is_retry else "0"
    return message.SerializeToString()


def parse_reply(body: bytes) -> CheckReply:
    """Parse a reply; raise ``InvalidReplyError`` where it contradicts itself or can't be read."""
    response = pb.CheckResponse()
    try:
        response.ParseFromString(body)
    except DecodeError as error:
        raise InvalidReplyError(f"not a CheckResponse: {error}") from None
    code, which = response.status.code, response.WhichOneof("http_response")
    if code == OK and which == "denied_response":
        raise InvalidReplyError("status OK with a denied response")
    if code != OK and which == "ok_response":
        raise InvalidReplyError(f"status {code} with an ok response")
    # Older authorisers put the metadata into the ok response; a response without one reads as an
    # empty one.
    metadata = _dynamic_metadata(response.dynamic_metadata) or _dynamic_metadata(
        response.ok_response.dynamic_metadata
    )
    lifetime_us, plan = _lifetime_us(metadata), metadata.get("plan", "")
    if code == OK:
        is_valid_plan = isinstance(plan, str) and len(plan) <= MAX_TEXT_CHARS
        return CheckReply(ReplyKind.ALLOW, 0, lifetime_us, plan if is_valid_plan else "")
    status = response.denied_response.status.code if which else 0
    retry_after_us = _retry_after_us(response)
    if status in RETRYABLE_STATUSES or (not status and code in (EXHAUSTED, UNAVAILABLE)):
        return CheckReply(ReplyKind.RETRY_LATER, retry_after_us, lifetime_us)
    return CheckReply(ReplyKind.DENY, 0, lifetime_us)


def _dynamic_metadata(metadata: Struct) -> dict:
    """Return the numbers and strings of our namespace in the dynamic metadata."""
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


def _lifetime_us(metadata: Mapping) -> int:
    """Return ``cache_ms`` in microseconds; 0 where it is missing, no number or out of range."""
    value = metadata.get("cache_ms", 0)
    if not isinstance(value, float | int) or not 0 < value < 1e9:
        return 0
    return int(value * US_PER_MS)


def _retry_after_us(response: pb.CheckResponse) -> int:
    """Return the retry-after time, from RetryInfo or else a ``retry-after`` header in seconds.

    0 where neither states one.
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
                max(0, info.retry_delay.seconds * US_PER_S + info.retry_delay.nanos // 1000),
            )
    for option in response.denied_response.headers[:64]:
        if option.header.key.lower() == "retry-after":
            text = option.header.value or option.header.raw_value.decode("ascii", "replace")
            if text.isascii() and text.isdigit() and len(text) <= 9:
                return min(MAX_RETRY_AFTER_US, int(text) * US_PER_S)
    return 0


# -- the gateway as an authoriser ------------------------------------------------------------------


class InvalidCheckError(Exception):
    """A check can't be decided; the message names the malformed field."""


@dataclass(frozen=True, slots=True)
class AdmissionCheck:
    """A check that another proxy sent, with plan and class by their numbers."""

    customer: int
    plan: int
    kind: int
    units: float
    replica_set_first: int
    replica_set_size: int


@dataclass(frozen=True, slots=True)
class ContextExtensionNames:
    """Names of the context extensions that hold customer, plan and class."""

    customer: str = "customer"
    plan: str = "plan"
    request_class: str = "class"


CUSTOMER_BITS = 33
MAX_UNITS_CHARS = 18
MAX_REPLICA_DIGITS = 5


def parse_check(
    body: bytes,
    names: RequestNames,
    extension_names: ContextExtensionNames,
    gateway_count: int,
    max_units: float,
) -> AdmissionCheck:
    """Parse a check, whose values must have the same format as in a client's command.

    Raises ``InvalidCheckError`` that names the malformed field.
    """
    message = pb.CheckRequest()
    try:
        message.ParseFromString(body)
    except DecodeError as error:
        raise InvalidCheckError(f"not a CheckRequest: {error}") from None
    extensions = message.attributes.context_extensions
    customer = extensions.get(extension_names.customer) or message.attributes.source.principal
    customer_number = _customer_number(customer, extension_names.customer)
    plan, cls = (
        extensions.get(extension_names.plan, ""),
        extensions.get(extension_names.request_class, ""),
    )
    if plan not in names.plans:
        raise InvalidCheckError(f"{extension_names.plan} is no plan")
    if cls not in names.classes:
        raise InvalidCheckError(f"{extension_names.request_class} is no class")
    units = _units(extensions.get("units", "1"), max_units)
    replica_set_size = _replica_number("spread", extensions.get("spread", str(gateway_count)))
    replica_set_first = _replica_number("first", extensions.get("first", "0"))
    if not 1 <= replica_set_size <= gateway_count or not replica_set_first < gateway_count:
        raise InvalidCheckError("spread and first are out of range")
    return AdmissionCheck(
        customer_number,
        names.plans.index(plan),
        names.classes.index(cls),
        units,
        replica_set_first,
        replica_set_size,
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
    """Encode the response to an admitted check.

    It states no cache lifetime: each admission takes units from the quota, so each needs a check.
    """
    response = pb.CheckResponse()
    response.status.code = OK
    response.ok_response.SetInParent()
    return response.SerializeToString()


def rejected_response(retry_after_us: int) -> bytes:
    """Encode the response to a rejected check; 0 leaves the retry-after time out."""
    response = pb.CheckResponse()
    response.status.code = EXHAUSTED
    response.status.message = "over quota"
    response.denied_response.status.code = 429
    if retry_after_us:
        info = pb.RetryInfo()
        info.retry_delay.seconds, rest = divmod(retry_after_us, US_PER_S)
        info.retry_delay.nanos = rest * 1000
        detail = response.status.details.add()
        detail.type_url, detail.value = RETRY_INFO, info.SerializeToString()
        header = response.denied_response.headers.add().header
        header.key, header.value = "retry-after", str(-(-retry_after_us // US_PER_S))
    return response.SerializeToString()
