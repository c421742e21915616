"""Replies and questions as bytes: every form that the page names, and rubbish, which is an error and never a yes."""

from __future__ import annotations

import contextlib

import pytest
from envoy.service.auth.v3 import external_auth_pb2 as published
from google.protobuf import any_pb2
from google.rpc import error_details_pb2
from hypothesis import given
from hypothesis import strategies as st

from saffrongw.authz.attributes import (
    BadReply,
    BadRequest,
    Fields,
    Names,
    asked_of,
    check_of,
    key_of,
    let_in,
    reply_of,
    turned_away,
)
from saffrongw.authz.checks import Kind, Reply
from saffrongw.gateway.extensions import FilteredRequest
from saffrongw.gateway.request_types import RequestTerms
from testbed.ext_authz_server.server import allow, deny

NAMES = Names(("read", "put"), ("team", "small"), (True, False))
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
        (allow(), Reply(Kind.ALLOW)),
        (published.CheckResponse(), Reply(Kind.ALLOW)),  # status OK and nothing else
        (allow(cache_ms=250, plan="small"), Reply(Kind.ALLOW, 0, 250_000, "small")),
        (deny(), Reply(Kind.DENY)),
        (deny(cache_ms=1000), Reply(Kind.DENY, 0, S)),
        (deny(429), Reply(Kind.LATER)),
        (deny(429, retry_after=3), Reply(Kind.LATER, 3 * S)),
        (deny(503, retry_after=3), Reply(Kind.LATER, 3 * S)),
        (deny(403, retry_after=3), Reply(Kind.DENY)),
        (response(7), Reply(Kind.DENY)),
        (response(8), Reply(Kind.LATER)),
        (response(14), Reply(Kind.LATER)),
        (response(16), Reply(Kind.DENY)),
        (response(9999), Reply(Kind.DENY)),
        (allow(cache_ms=-5), Reply(Kind.ALLOW)),
        (allow(cache_ms=float("nan")), Reply(Kind.ALLOW)),
        (allow(cache_ms=1e300), Reply(Kind.ALLOW)),
    ],
)
def test_answers_mean_what_the_page_says(answer, reply):
    assert reply_of(answer.SerializeToString()) == reply


def test_retry_info_goes_before_the_header_and_is_bounded():
    answer = deny(429, retry_after=3)
    info = error_details_pb2.RetryInfo()
    info.retry_delay.seconds, info.retry_delay.nanos = 1, 500_000_000
    detail = any_pb2.Any()
    detail.Pack(info)
    answer.status.details.append(detail)
    assert reply_of(answer.SerializeToString()).retry_after == 1_500_000
    info.retry_delay.seconds = 10**9
    answer.status.details[0].Pack(info)
    assert reply_of(answer.SerializeToString()).retry_after == 3600 * S
    answer.status.details[0].value = b"\xff\xff"
    assert reply_of(answer.SerializeToString()).retry_after == 3 * S


@pytest.mark.parametrize("text", ["", "-1", "1.5", "soon", "9" * 30, "\u0663"])
def test_a_header_that_is_no_time_says_nothing(text):
    answer = deny(429, retry_after=1)
    answer.denied_response.headers[0].header.value = text
    assert reply_of(answer.SerializeToString()) == Reply(Kind.LATER)


def test_an_answer_that_contradicts_itself_is_none():
    lie = deny()
    lie.status.code = 0
    other = allow()
    other.status.code = 7
    for answer in (lie, other):
        with pytest.raises(BadReply):
            reply_of(answer.SerializeToString())


@given(st.binary(max_size=300))
def test_no_bytes_give_anything_but_a_reply_or_a_bad_reply(body):
    with contextlib.suppress(BadReply):
        assert isinstance(reply_of(body), Reply)


@given(st.binary(max_size=300))
def test_no_bytes_give_anything_but_a_question_or_a_bad_request(body):
    with contextlib.suppress(BadRequest):
        asked_of(body, NAMES, Fields(), 3, 1.0)


TEXT = st.text(max_size=20)


@given(
    st.dictionaries(
        st.sampled_from(["customer", "plan", "class", "units", "spread", "first"]), TEXT
    )
)
def test_no_texts_give_anything_but_a_question_or_a_bad_request(extensions):
    request = published.CheckRequest()
    for name, value in (
        {"customer": "0" * 16, "plan": "team", "class": "read"} | extensions
    ).items():
        request.attributes.context_extensions[name] = value
    try:
        asked = asked_of(request.SerializeToString(), NAMES, Fields(), 3, 1.0)
    except BadRequest:
        return
    assert 0 < asked.units <= 1
    assert 1 <= asked.spread <= 3
    assert 0 <= asked.first < 3


def test_what_is_asked_is_read_by_the_published_message():
    read = published.CheckRequest()
    read.ParseFromString(check_of(REQUEST, NAMES, "gw", 1_700_000_000_250_000))
    http = read.attributes.request.http
    assert (http.id, http.method, http.path, http.size, http.protocol) == (
        "id-1",
        "POST",
        "/put",
        12,
        "RESP2",
    )
    assert (read.attributes.request.time.seconds, read.attributes.request.time.nanos) == (
        1_700_000_000,
        250_000_000,
    )
    assert dict(read.attributes.context_extensions)["retry"] == "1"


def test_a_gateways_question_is_one_that_a_gateway_can_answer():
    asked = asked_of(check_of(REQUEST, NAMES, "gw", 0), NAMES, Fields(), 3, 1.0)
    assert (asked.customer, asked.plan, asked.kind, asked.units, asked.first, asked.spread) == (
        7,
        0,
        1,
        1.0,
        1,
        2,
    )


def test_what_a_gateway_answers_is_what_a_gateway_reads():
    assert reply_of(let_in()) == Reply(Kind.ALLOW)
    assert reply_of(turned_away(1_500_000)) == Reply(Kind.LATER, 1_500_000)
    assert reply_of(turned_away(0)) == Reply(Kind.LATER)


def test_the_key_is_all_that_is_shown_but_id_time_and_wait():
    from dataclasses import replace

    base = key_of(REQUEST)
    same = replace(
        REQUEST, number=2, client_id=b"other", deadline_us=9, terms=TERMS._replace(timeout_us=5)
    )
    assert key_of(same) == base
    for name, value in (
        ("customer", 8),
        ("kind", 0),
        ("plan", 1),
        ("units", 0.5),
        ("replica_set_size", 1),
        ("replica_set_first", 0),
    ):
        assert key_of(replace(REQUEST, terms=TERMS._replace(**{name: value}))) != base
    assert key_of(replace(REQUEST, terms=TERMS._replace(is_retry=False))) != base
    assert key_of(replace(REQUEST, body_bytes=13)) != base
