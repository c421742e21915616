"""Checks and replies as bytes: every documented form, and malformed ones, which never allow a request."""

from __future__ import annotations

import contextlib

import pytest
from envoy.service.auth.v3 import external_auth_pb2 as published
from google.protobuf import any_pb2
from google.rpc import error_details_pb2
from hypothesis import given
from hypothesis import strategies as st

from saffrongw.authz.attributes import (
    ContextExtensionNames,
    InvalidCheckError,
    InvalidReplyError,
    RequestNames,
    admitted_response,
    cache_key,
    encode_check,
    parse_check,
    parse_reply,
    rejected_response,
)
from saffrongw.authz.checks import CheckReply, ReplyKind
from saffrongw.gateway.extensions import FilteredRequest
from saffrongw.gateway.request_types import RequestTerms
from testbed.ext_authz_server.server import allow, deny

NAMES = RequestNames(("read", "put"), ("team", "small"), (True, False))
TERMS = RequestTerms(7, 1, 0, 900_000, 1.0, 2, 1, True)
REQUEST = FilteredRequest(1, b"id-1", TERMS, 12, 0)
S = 1_000_000


def response(code: int, **more) -> published.CheckResponse:
    found = published.CheckResponse(**more)
    found.status.code = code
    return found


@pytest.mark.parametrize(
    ("answer", "reply"),
    [
        (allow(), CheckReply(ReplyKind.ALLOW)),
        (published.CheckResponse(), CheckReply(ReplyKind.ALLOW)),  # status OK and nothing else
        (allow(cache_ms=250, plan="small"), CheckReply(ReplyKind.ALLOW, 0, 250_000, "small")),
        (deny(), CheckReply(ReplyKind.DENY)),
        (deny(cache_ms=1000), CheckReply(ReplyKind.DENY, 0, S)),
        (deny(429), CheckReply(ReplyKind.RETRY_LATER)),
        (deny(429, retry_after=3), CheckReply(ReplyKind.RETRY_LATER, 3 * S)),
        (deny(503, retry_after=3), CheckReply(ReplyKind.RETRY_LATER, 3 * S)),
        (deny(403, retry_after=3), CheckReply(ReplyKind.DENY)),
        (response(7), CheckReply(ReplyKind.DENY)),
        (response(8), CheckReply(ReplyKind.RETRY_LATER)),
        (response(14), CheckReply(ReplyKind.RETRY_LATER)),
        (response(16), CheckReply(ReplyKind.DENY)),
        (response(9999), CheckReply(ReplyKind.DENY)),
        (allow(cache_ms=-5), CheckReply(ReplyKind.ALLOW)),
        (allow(cache_ms=float("nan")), CheckReply(ReplyKind.ALLOW)),
        (allow(cache_ms=1e300), CheckReply(ReplyKind.ALLOW)),
    ],
)
def test_each_documented_form_of_a_reply_is_parsed(answer, reply):
    assert parse_reply(answer.SerializeToString()) == reply


def test_retry_info_takes_precedence_over_the_header_and_is_bounded():
    answer = deny(429, retry_after=3)
    info = error_details_pb2.RetryInfo()
    info.retry_delay.seconds, info.retry_delay.nanos = 1, 500_000_000
    detail = any_pb2.Any()
    detail.Pack(info)
    answer.status.details.append(detail)
    assert parse_reply(answer.SerializeToString()).retry_after_us == 1_500_000
    info.retry_delay.seconds = 10**9
    answer.status.details[0].Pack(info)
    assert parse_reply(answer.SerializeToString()).retry_after_us == 3600 * S
    answer.status.details[0].value = b"\xff\xff"
    assert parse_reply(answer.SerializeToString()).retry_after_us == 3 * S


@pytest.mark.parametrize("text", ["", "-1", "1.5", "soon", "9" * 30, "\u0663"])
def test_a_malformed_retry_after_header_is_ignored(text):
    answer = deny(429, retry_after=1)
    answer.denied_response.headers[0].header.value = text
    assert parse_reply(answer.SerializeToString()) == CheckReply(ReplyKind.RETRY_LATER)


def test_a_reply_that_contradicts_itself_is_invalid():
    denied_with_ok_status = deny()
    denied_with_ok_status.status.code = 0
    allowed_with_error_status = allow()
    allowed_with_error_status.status.code = 7
    for answer in (denied_with_ok_status, allowed_with_error_status):
        with pytest.raises(InvalidReplyError):
            parse_reply(answer.SerializeToString())


@given(st.binary(max_size=300))
def test_any_bytes_give_a_reply_or_an_invalid_reply_error(body):
    with contextlib.suppress(InvalidReplyError):
        assert isinstance(parse_reply(body), CheckReply)


@given(st.binary(max_size=300))
def test_any_bytes_give_a_check_or_an_invalid_check_error(body):
    with contextlib.suppress(InvalidCheckError):
        parse_check(body, NAMES, ContextExtensionNames(), 3, 1.0)


TEXT = st.text(max_size=20)


@given(
    st.dictionaries(
        st.sampled_from(["customer", "plan", "class", "units", "spread", "first"]), TEXT
    )
)
def test_any_texts_give_a_valid_check_or_an_invalid_check_error(extensions):
    request = published.CheckRequest()
    for name, value in (
        {"customer": "0" * 16, "plan": "team", "class": "read"} | extensions
    ).items():
        request.attributes.context_extensions[name] = value
    try:
        check = parse_check(request.SerializeToString(), NAMES, ContextExtensionNames(), 3, 1.0)
    except InvalidCheckError:
        return
    assert 0 < check.units <= 1
    assert 1 <= check.replica_set_size <= 3
    assert 0 <= check.replica_set_first < 3


def test_an_encoded_check_is_parsed_by_the_published_message():
    parsed = published.CheckRequest()
    parsed.ParseFromString(encode_check(REQUEST, NAMES, "gw", 1_700_000_000_250_000))
    http = parsed.attributes.request.http
    assert (http.id, http.method, http.path, http.size, http.protocol) == (
        "id-1",
        "POST",
        "/put",
        12,
        "RESP2",
    )
    assert (parsed.attributes.request.time.seconds, parsed.attributes.request.time.nanos) == (
        1_700_000_000,
        250_000_000,
    )
    assert dict(parsed.attributes.context_extensions)["retry"] == "1"


def test_a_gateway_parses_the_check_of_another_gateway():
    check = parse_check(
        encode_check(REQUEST, NAMES, "gw", 0), NAMES, ContextExtensionNames(), 3, 1.0
    )
    assert (
        check.customer,
        check.plan,
        check.kind,
        check.units,
        check.replica_set_first,
        check.replica_set_size,
    ) == (7, 0, 1, 1.0, 1, 2)


def test_a_gateway_parses_the_reply_of_another_gateway():
    assert parse_reply(admitted_response()) == CheckReply(ReplyKind.ALLOW)
    assert parse_reply(rejected_response(1_500_000)) == CheckReply(ReplyKind.RETRY_LATER, 1_500_000)
    assert parse_reply(rejected_response(0)) == CheckReply(ReplyKind.RETRY_LATER)


def test_the_cache_key_is_every_attribute_except_id_time_and_timeout():
    from dataclasses import replace

    base = cache_key(REQUEST)
    same = replace(
        REQUEST, number=2, client_id=b"other", deadline_us=9, terms=TERMS._replace(timeout_us=5)
    )
    assert cache_key(same) == base
    for name, value in (
        ("customer", 8),
        ("kind", 0),
        ("plan", 1),
        ("units", 0.5),
        ("replica_set_size", 1),
        ("replica_set_first", 0),
    ):
        assert cache_key(replace(REQUEST, terms=TERMS._replace(**{name: value}))) != base
    assert cache_key(replace(REQUEST, terms=TERMS._replace(is_retry=False))) != base
    assert cache_key(replace(REQUEST, body_bytes=13)) != base
