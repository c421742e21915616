"""The wire format of lease messages: the bytes that released versions send and accept."""

from __future__ import annotations

import msgspec
import pytest

from saffrongw.leases import messages

BALLOT = (7, "gw-1", 1234567890123)
PROGRESS = (bytes(range(1, 9)), 28333333, 1700000000123, 3)
SUSPENSION = ("s0/1", 1700003600.5, "night shift", "wrong table", 1700000000.25)

# A packet of voter set 2 and clock 5,000,000 with one message, as encoded by version 7ab00fb.
ON_THE_WIRE = {
    1: "9302ce004c4b40919501a473302f319307a467772d31cf0000011f71fb04cbc329",
    2: "9302ce004c4b40919702a473302f319307a467772d31cf0000011f71fb04cb03ce009896802ac2",
    3: "9302ce004c4b40919303a473302f319307a467772d31cf0000011f71fb04cb",
    4: "9302ce004c4b40919404a473302f31099194c4080102030405060708ce01b05515cf0000018bcfe5687b03",
    5: "9302ce004c4b409199051091a763657274733a78c3c29195a473302f31cb41d954ffc4200000ab"
    "6e69676874207368696674ab77726f6e67207461626c65cb41d954fc4010000029ce000f4241ce001e8482",
    6: "9302ce004c4b40919606a473302f319307a467772d31cf0000011f71fb04cb29cf00060a24181e4000"
    "9194c4080102030405060708ce01b05515cf0000018bcfe5687b03",
    7: "9302ce004c4b40919407a473302f319307a467772d31cf0000011f71fb04cb03",
    8: "9302ce004c4b40919808a473302f319307a467772d31cf0000011f71fb04cb030208cd01f4a467772d32",
    9: "9302ce004c4b40919309a473302f3109",
    10: "9302ce004c4b4091940aa473302f31cd753008",
    11: "9302ce004c4b4091980bce0089544091a473312f319195a473302f31cb41d954ffc4200000ab"
    "6e69676874207368696674ab77726f6e67207461626c65cb41d954fc40100000001029ce000f4241",
    12: "9302ce004c4b4091920c02",
    13: "9302ce004c4b4091920d03",
}


def message_of(tag: int) -> messages.Message:
    """Return the message whose bytes are pinned above."""
    ballot = messages.Ballot(*BALLOT)
    progress = (messages.TaskProgress(*PROGRESS),)
    suspensions = (messages.Suspension(*SUSPENSION),)
    return {
        1: messages.Prepare("s0/1", ballot, True, 41),
        2: messages.Propose("s0/1", ballot, 3, 10_000_000, 42, False),
        3: messages.Release("s0/1", ballot),
        4: messages.ReportProgress("s0/1", 9, progress),
        5: messages.Announce(16, ("certs:x",), True, False, suspensions, 41, 1_000_001, 2_000_002),
        6: messages.Promise("s0/1", ballot, 41, 1_700_000_000_000_000, progress),
        7: messages.Accept("s0/1", ballot, 3),
        8: messages.Nack("s0/1", ballot, 3, 2, 8, 500, "gw-2"),
        9: messages.ProgressStored("s0/1", 9),
        10: messages.Offer("s0/1", 30_000, 8),
        11: messages.AnnounceReply(9_000_000, ("s1/1",), suspensions, 0, 16, 41, 1_000_001),
        12: messages.SealQuery(2),
        13: messages.SealReply(3),
    }[tag]


@pytest.mark.parametrize("tag", ON_THE_WIRE)
def test_a_message_has_the_bytes_of_released_versions_both_ways(tag):
    packet = messages.Packet(2, 5_000_000, (message_of(tag),))
    encoded = bytes.fromhex(ON_THE_WIRE[tag])
    assert msgspec.msgpack.encode(packet) == encoded
    assert msgspec.msgpack.decode(encoded, type=messages.Packet) == packet


def test_every_kind_of_message_is_pinned():
    kinds = {type(message_of(tag)) for tag in ON_THE_WIRE}
    assert kinds == set(messages.Message.__args__)


@pytest.mark.parametrize("ballot", [(7, "gw-1"), (7, "gw-1", 1, 1), (7, 1, 1), ("7", "gw-1", 1), 7])
def test_a_ballot_of_another_form_is_a_malformed_packet(ballot):
    encoded = msgspec.msgpack.encode([2, 0, [[3, "s0/1", ballot]]])
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(encoded, type=messages.Packet)
