"""The hand-over channel's messages: names and bytes that two versions share, and malformed ones."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffrongw.gateway.hot_restart import messages
from saffrongw.gateway.hot_restart.messages import MalformedMessageError, MessageKind
from saffrongw.gateway.recent_requests import RememberedRequest
from saffrongw.policy.events import EndpointEntry, EndpointState

ENTRY = EndpointEntry(b"\xffa", EndpointState.DRAINING, 1, 2, 3, 0.5)


def test_the_names_on_the_wire_are_those_of_every_version():
    assert [kind.value for kind in MessageKind] == [
        "sockets",
        "listed",
        "rows",
        "greeted",
        "ready",
        "go",
        "replaced",
        "client",
        "begun",
        "host",
        "exclusion",
        "quiesced",
        "recent",
    ]


def test_a_message_is_a_json_list_without_spaces():
    assert messages.encode((MessageKind.GO,)) == b'["go"]'
    assert messages.encode((MessageKind.UPSTREAM, "a", 7)) == b'["host","a",7]'
    assert messages.encode((MessageKind.QUIESCED, False)) == b'["quiesced",false]'


def test_an_endpoint_is_a_row_in_a_fixed_order_and_comes_back():
    row = messages.encode_endpoint(ENTRY, 3, ("10.0.0.1", 80))
    assert row == ["\xffa", ENTRY.state.value, 1, 2, 3, 0.5, "10.0.0.1", 80]
    found = messages.decode_endpoint(json.loads(json.dumps(row)))
    assert (found.entry, found.address) == (ENTRY, ("10.0.0.1", 80))


def test_a_request_that_may_have_run_is_a_row_in_a_fixed_order_and_comes_back():
    remembered = RememberedRequest(b"0000000000000007", b"id-1", 5_000)
    row = messages.encode_remembered(remembered)
    assert row == ["0000000000000007", "id-1", 5_000]
    assert messages.decode_remembered(json.loads(json.dumps(row))) == remembered


@pytest.mark.parametrize(
    "row", [[], ["a"], ["a", "b", "c"], ["a", "b", None], 5, ["\u1234", "b", 1]]
)
def test_a_malformed_row_of_a_request_that_may_have_run_is_named(row):
    with pytest.raises(MalformedMessageError):
        messages.decode_remembered(row)


@given(st.binary(max_size=300))
def test_bytes_of_a_partial_command_come_back(data):
    packet = messages.encode((MessageKind.PARTIAL_COMMAND, messages.encode_bytes(data)))
    assert messages.decode_bytes(messages.decode(packet)) == data


@given(st.lists(st.lists(st.text(max_size=3000), max_size=3), max_size=60))
def test_packed_rows_fit_a_packet_and_keep_their_order(rows):
    groups = messages.pack_rows(rows)
    assert [row for group in groups for row in group] == [
        row for row in rows if len(json.dumps(row, separators=(",", ":"))) < 32 * 1024 - 64
    ]
    for group in groups:
        assert 1 <= len(group) <= messages.MAX_PACKET_ROWS
        packet = messages.encode((MessageKind.STATE_ROWS, group))
        assert len(packet) <= messages.MAX_PACKET_BYTES


def test_a_row_that_alone_exceeds_a_packet_is_left_out_and_logged(caplog):
    assert messages.pack_rows([["a"], ["x" * 40_000], ["b"]]) == [[["a"], ["b"]]]
    assert "hot_restart: row left out: bytes=40005 max=32704" in caplog.text


@pytest.mark.parametrize("packet", [b"{", b"[]", b"[1]", b"{}", b"\xff", b"[" * 5000, b"null"])
def test_a_packet_that_is_no_message_is_rejected(packet):
    with pytest.raises(MalformedMessageError):
        messages.decode(packet)


@pytest.mark.parametrize(
    ("decode", "message"),
    [
        (messages.decode_exclusion, ["exclusion"]),
        (messages.decode_exclusion, ["exclusion", 1, True]),
        (messages.decode_exclusion, ["exclusion", "\u20ac", True]),
        (messages.decode_quiesced, ["quiesced"]),
        (messages.decode_upstream, ["host", "a", "b"]),
        (messages.decode_length, ["client", "x"]),
        (messages.decode_waited_us, ["client", 0, "x"]),
        (messages.decode_bytes, ["begun", 5]),
        (messages.decode_rows, ["rows", 5]),
    ],
)
def test_a_malformed_value_is_rejected_with_the_kind_of_its_message(decode, message):
    with pytest.raises(MalformedMessageError, match=f"^{message[0]}: "):
        decode(message)


@pytest.mark.parametrize(
    ("message", "waited_us"),
    [
        (["client", 0], 0),
        (["client", 0, 70], 70),
        (["client", 0, -1], 0),
        (["client", 0, 10**30], messages.MAX_WAITED_US),
    ],
)
def test_the_wait_of_commands_is_bounded_and_may_be_missing(message, waited_us):
    assert messages.decode_waited_us(message) == waited_us


@pytest.mark.parametrize("row", [[], ["a"] * 8, ["a", "no such state", 0, 0, 0, 1.0, "h", 1]])
def test_a_malformed_endpoint_row_is_rejected(row):
    with pytest.raises(MalformedMessageError, match=r"^listed: "):
        messages.decode_endpoint(row)
