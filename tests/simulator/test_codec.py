"""The simulator's binary protocol: byte layouts, malformed input, and the process."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from saffrongw.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpointList,
)
from saffrongw.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointEntry,
    EndpointListKind,
    EndpointState,
    RequestArrived,
    SharedCounterAnswered,
    TimerFired,
)
from saffrongw.policy.settings_schema import SettingsError, parse_settings
from saffrongw.simulator import __main__ as process
from saffrongw.simulator import codec

ROOT = Path(__file__).parent.parent.parent

SETTINGS = {
    "balancers": 3,
    "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
    "classes": [
        {
            "credit": 1.0,
            "deadline": 2000000,
            "dedupWindow": 5000000,
            "effect": "repeatable",
            "group": "all",
            "lateWorth": 0.0,
            "target": 500000,
        }
    ],
    "discovery": "pushed",
    "familyInfo": {"peerIntake": 40.0, "sharedCounter": False},
    "loadReport": {"how": "off", "names": []},
    "locality": 0,
    "packages": [
        {
            "beyondEarns": 0.0,
            "capDepth": 0.0,
            "capSlack": 0.0,
            "hardRate": 0.0,
            "open": 0,
            "overrunCost": 1.0,
            "pays": 1.0,
            "peakUnits": 8.0,
            "perSecond": 2.0,
        }
    ],
    "permissions": {
        "cancel": True,
        "maxAttempts": 4,
        "maxRetryAfter": 1000000,
        "peers": True,
        "probes": True,
        "retryAfter": True,
        "secondCopies": True,
    },
    "rank": 0,
    "rules": {
        "askWithin": 10000000,
        "coldFrom": 0.25,
        "drainGrace": 1000000,
        "fallMultiple": 3.0,
        "overloadFor": 3000000,
        "warmWithin": 18000000,
    },
}

ENDPOINT_ID = bytes.fromhex("0a124a072b23")


def hex_record(text: str, size: int = codec.EVENT_SIZE) -> bytes:
    """Return a record from the hexadecimal text of the protocol page, padded to its size."""
    return bytes.fromhex(text.replace(" ", "")).ljust(size, b"\0")


def decode(*records: bytes, tail: bytes = b""):
    """Decode the events of one frame."""
    return codec.Decoder().frame(len(records), b"".join(records) + tail)


def encode(*actions: Action) -> bytes:
    """Return the reply to these actions without its header."""
    encoder = codec.Encoder()
    for action in actions:
        encoder.add(3, action)
    return encoder.reply()[8:]


def frame(*records: bytes, tail: bytes = b"", now: int = 1) -> bytes:
    """Return a frame."""
    body = b"".join(records) + tail
    return struct.pack("<IIQ", len(records), len(body), now) + body


def start_record(gateway: int, settings: dict, at: int = 0, seed: int = 5) -> tuple[bytes, bytes]:
    """Return a start record and the settings for the tail, as JSON."""
    text = json.dumps(settings).encode()
    return struct.pack("<BHQII", 7, gateway, seed, at, len(text)).ljust(48, b"\0"), text


def replies_to(*frames: bytes) -> bytes:
    """Return the process's replies to these frames."""
    sink = io.BytesIO()
    process.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_empty_batch_has_an_empty_reply():
    assert replies_to(bytes.fromhex("00000000000000005a5c800000000000")) == bytes(8)


def test_events_of_the_protocol_page():
    request = hex_record(
        "05 0300 c4913a5d 00 0000 640ad2557c3bf091 80a90300 00000040 00004040 0000803f 0100"
    )
    timer = hex_record("01 0300 4d00000000000000")
    disconnected = hex_record("03 0500 192b6f0e")
    answer = hex_record(
        "06 0300 c4913a5d 0000 0a124a07 2b23 6400 44480000 01 5600 0300"
        " 0352b81e3f 00006841 0000e040 00000000"
    )
    shared_counter_answered = hex_record("0a 0300 00001842 66080000 6400 90f6890000000000")
    events = decode(request, timer, disconnected, answer, shared_counter_answered)
    assert events[0] == (
        3,
        RequestArrived(0x5D3A91C4, 0x91F03B7C55D20A64, 0, 0, 2.0, 240000, 1, 3, False),
    )
    assert events[1] == (3, TimerFired(77))
    assert events[2] == (5, ClientDisconnected(0x0E6F2B19))
    ended = events[3][1]
    assert ended.endpoint_id == ENDPOINT_ID
    assert (ended.request, ended.attempt, ended.duration_us) == (0x5D3A91C4, 0, 18500)
    assert (ended.outcome, ended.is_answered, ended.use) == (AttemptOutcome.SERVED, True, 0x56)
    assert ended.actual_units == 3.0
    assert ended.report == pytest.approx((0.62, 14.5, 7.0))
    assert events[4] == (3, SharedCounterAnswered(0x89F690, AttemptOutcome.SERVED, 38.0, 0x866))


def test_an_endpoint_list_of_the_protocol_page():
    tail = bytes.fromhex(
        "0000803f000a124a072b2300000000000000000001000000"[:46]
        + "0000c03f 00 0a9011f2 5423 01 20145d0000000000 01 0000".replace(" ", "")
    )
    events = decode(
        hex_record("0c 0000 00000000 02000000"),
        hex_record("09 0300 02 0000 2900000000000000"),
        tail=tail,
    )
    listed = events[0][1]
    assert (listed.kind, listed.version, len(listed.entries)) == (EndpointListKind.CACHED, 41, 2)
    assert listed.entries[0] == EndpointEntry(ENDPOINT_ID, EndpointState.READY, 0, 0, 0, 1.0)
    assert listed.entries[1].started_at_us == 0x5D1420
    assert (listed.entries[1].zone, listed.entries[1].size) == (1, 1.5)


def test_actions_of_the_protocol_page():
    send = SendAttempt(0x5D3A91C4, ENDPOINT_ID, 0x8194DA)
    assert encode(send) == hex_record("41 0300 c4913a5d 0a124a07 2b23 da94810000000000", 24)
    assert encode(SetTimer(0x07A120, 77)) == hex_record("45 0300 20a10700 4d00000000000000", 24)
    gossip = encode(SendGossip(0xFFFF, bytes.fromhex("68692037")))
    assert gossip == hex_record("48 0300 ffff 00000000 04000000", 24) + b"hi 7"
    assert encode(RejectRequest(7, 9)) == hex_record("42 0300 07000000 09000000", 24)
    assert encode(FailRequest(7)) == hex_record("43 0300 07000000", 24)
    assert encode(CancelAttempt(7, 2)) == hex_record("44 0300 07000000 0200", 24)
    assert encode(CheckHealth(ENDPOINT_ID)) == hex_record("46 0300 0a124a07 2b23", 24)
    assert encode(SubscribeEndpointList()) == hex_record("4b 0300 01", 24)
    assert encode(FetchEndpointList()) == hex_record("4c 0300", 24)


def test_gateways_in_one_process_decide_as_in_separate_processes():
    one, text = start_record(1, SETTINGS)
    two, _ = start_record(2, SETTINGS, seed=6)
    requests = [
        struct.pack("<BHIBHQIfffH", 5, g, i, 0, 0, i % 3, 900000, 1.0, 3.0, 0.0, 0).ljust(48, b"\0")
        for i in range(20)
        for g in (1, 2)
    ]
    together = replies_to(frame(one, two, tail=text), frame(*requests, now=9))
    alone = [
        replies_to(frame(start, tail=text), frame(*(r for r in requests if r[1] == g), now=9))
        for g, start in ((1, one), (2, two))
    ]

    def records(reply: bytes, gateway: int) -> list[bytes]:
        found, at = [], 0
        while at < len(reply):
            count, length = struct.unpack_from("<II", reply, at)
            found += [reply[at + 8 + 24 * i : at + 32 + 24 * i] for i in range(count)]
            at += 8 + length
        return [r for r in found if r[1] == gateway]

    assert records(alone[0], 1) == records(together, 1) != []
    assert records(alone[1], 2) == records(together, 2) != []


def without(*path: str) -> dict:
    """Return the settings without the key at this path."""
    settings = json.loads(json.dumps(SETTINGS))
    inner = settings
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return settings


MALFORMED_INPUT = {
    "a truncated header": b"\1\0\0",
    "a truncated frame": frame(hex_record("01 0300"))[:-3],
    "too few records": struct.pack("<IIQ", 2, 48, 1) + bytes(48),
    "an unknown record": frame(hex_record("63 0300")),
    "an offset outside the tail": frame(hex_record("02 0300 0100 10000000 10000000")),
    "an unknown outcome": frame(hex_record("06 0300 c4913a5d 0000 0a124a07 2b23 0900")),
    "a list never sent": frame(hex_record("09 0300 01 0400")),
    "a gateway never started": frame(hex_record("01 0300")),
    "settings that are not JSON": frame(
        struct.pack("<BHQII", 7, 1, 1, 0, 3).ljust(48, b"\0"), tail=b"{x}"
    ),
    "settings that are no object": frame(
        struct.pack("<BHQII", 7, 1, 1, 0, 2).ljust(48, b"\0"), tail=b"[]"
    ),
    "settings without a key": frame(
        start_record(1, without("rules", "coldFrom"))[0], tail=start_record(1, without("rules"))[1]
    ),
}


@pytest.mark.parametrize("malformed", MALFORMED_INPUT.values(), ids=MALFORMED_INPUT.keys())
def test_malformed_input_causes_one_line_on_standard_error(malformed):
    done = subprocess.run(
        [sys.executable, "-m", "saffrongw.simulator"],
        input=malformed,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode != 0
    assert done.stdout == b""
    assert done.stderr.count(b"\n") == 1
    assert b"Traceback" not in done.stderr


@pytest.mark.parametrize("path", [("rank",), ("rules", "coldFrom"), ("familyInfo", "peerIntake")])
def test_a_missing_key_is_named(path):
    with pytest.raises(SettingsError, match=path[-1]):
        parse_settings(json.dumps(without(*path)).encode())


def test_unknown_keys_are_ignored():
    more = {**SETTINGS, "new": 1, "rules": {**SETTINGS["rules"], "newer": 2}}
    assert parse_settings(json.dumps(more).encode()) == parse_settings(
        json.dumps(SETTINGS).encode()
    )


def test_an_exception_of_the_policy_becomes_a_record_of_the_reply(monkeypatch):
    start, text = start_record(1, SETTINGS)

    def broken(*_):
        raise RuntimeError("no such thing")

    monkeypatch.setattr(process.Gateway, "handle", broken)
    reply = replies_to(frame(start, tail=text), frame(hex_record("01 0100")))
    assert b"RuntimeError: no such thing" in reply
    assert reply[-24 - len("RuntimeError: no such thing")] == 74


def test_a_stopped_gateway_may_restart_in_the_same_batch():
    start, text = start_record(1, SETTINGS)
    reply = replies_to(frame(start, hex_record("08 0100"), start, tail=text))
    assert struct.unpack_from("<I", reply)[0] == 2
