"""Signed datagrams: forged, malformed, replayed, for another incarnation; key rotation; bounds."""

from __future__ import annotations

import random

import pytest

from saffrongw.channel.component import read_keys
from saffrongw.channel.signed_datagram import (
    MAX_INCARNATIONS,
    REPLAY_WINDOW,
    Accepted,
    DatagramCodec,
    InvalidKeyError,
    OtherIncarnation,
    ReplayWindow,
    SharedKey,
)

OLD, NEW = SharedKey(b"a" * 32), SharedKey(b"b" * 32)


def pair(ours=(OLD,), theirs=(OLD,)) -> tuple[DatagramCodec, DatagramCodec]:
    return DatagramCodec("a", 11, ours), DatagramCodec("b", 22, theirs)


def test_a_datagram_is_accepted_once():
    a, b = pair()
    data = a.pack("b", 22, 1, b"hello")
    found = b.open(data)
    assert isinstance(found, Accepted)
    assert found.datagram.payload == b"hello"
    assert (found.datagram.sender, found.datagram.incarnation) == ("a", 11)
    assert b.open(data) is None
    assert b.counters["repeated"] == 1


def test_a_datagram_for_another_incarnation_is_not_accepted():
    a, b = pair()
    for incarnation in (0, 21):
        assert isinstance(b.open(a.pack("b", incarnation, 1, b"x")), OtherIncarnation)
    assert not b.windows


def test_a_datagram_with_a_changed_bit_is_rejected_without_a_change_of_state():
    a, b = pair()
    data = a.pack("b", 22, 1, b"hello")
    for index in range(len(data)):
        for bit in range(8):
            changed = bytearray(data)
            changed[index] ^= 1 << bit
            assert b.open(bytes(changed)) is None
    assert not b.windows
    assert b.counters["foreign"] + b.counters["forged"] == 8 * len(data)
    assert isinstance(b.open(data), Accepted)


def test_random_bytes_are_rejected():
    _, b = pair()
    draw = random.Random(1)
    for size in (0, 1, 7, 23, 24, 100, 8_192, 8_193, 20_000):
        for head in (b"", b"sg\x01" + OLD.key_id):
            assert b.open((head + draw.randbytes(size))[:size]) is None


def test_an_authenticated_datagram_with_malformed_content_is_rejected():
    import hmac

    _, b = pair()
    head = b"sg\x01" + OLD.key_id + b"\x93\x01\x02\x03"
    assert b.open(head + hmac.digest(OLD.secret, head, "sha256")[:16]) is None


def test_key_rotation_in_steps_loses_no_datagram():
    steps = [
        ((OLD,), (OLD, NEW)),
        ((OLD, NEW), (NEW, OLD)),
        ((NEW, OLD), (NEW, OLD)),
        ((NEW,), (NEW, OLD)),
    ]
    a, b = pair()
    for ours, theirs in steps:
        a.rotate_keys(ours)
        b.rotate_keys(theirs)
        assert isinstance(b.open(a.pack("b", 22, 1, b"x")), Accepted)
        assert isinstance(a.open(b.pack("a", 11, 1, b"x")), Accepted)
    b.rotate_keys((NEW,))
    a.rotate_keys((OLD,))
    assert b.open(a.pack("b", 22, 1, b"x")) is None


def test_remembered_incarnations_are_bounded():
    _, b = pair()
    for n in range(MAX_INCARNATIONS + 500):
        assert isinstance(b.open(DatagramCodec(f"g{n}", 1, (OLD,)).pack("b", 22, 1, b"")), Accepted)
    assert len(b.windows) == MAX_INCARNATIONS


def test_sequence_numbers_may_arrive_out_of_order_within_the_window():
    window, draw = ReplayWindow(), random.Random(2)
    numbers = list(range(1, 400))
    for begin in range(0, 400, 50):
        part = numbers[begin : begin + 50]
        draw.shuffle(part)
        numbers[begin : begin + 50] = part
    assert all(window.accept(number) for number in numbers)
    assert not any(window.accept(number) for number in numbers)
    assert window.accept(10**9)
    assert not window.accept(10**9 - REPLAY_WINDOW)
    assert window.accept(10**9 - REPLAY_WINDOW + 1)


def test_a_key_file_that_can_not_be_used_is_named(tmp_path):
    good, open_, short = tmp_path / "good", tmp_path / "open", tmp_path / "short"
    for path, text in ((good, "ab" * 32), (open_, "cd" * 32), (short, "abc")):
        path.write_text(text)
        path.chmod(0o600)
    assert read_keys((str(good),))[0].secret == bytes.fromhex("ab" * 32)
    open_.chmod(0o644)
    for path, why in ((open_, "0600"), (short, "16 bytes"), (tmp_path / "none", "No such file")):
        with pytest.raises(ValueError, match=why):
            read_keys((str(good), str(path)))
    with pytest.raises(ValueError, match="same key"):
        read_keys((str(good), str(good)))
    with pytest.raises(InvalidKeyError):
        DatagramCodec("a", 1, ())


def test_a_datagram_has_the_bytes_of_released_versions_both_ways():
    """The bytes come from version 7ab00fb."""
    packed = bytes.fromhex(
        "736701dd7654f097a1610ba162160101c40568656c6c6f0e8344aafbbc28d67eaa707b7e50afbb"
    )
    sender, receiver = pair()
    assert sender.pack("b", 22, 1, b"hello") == packed
    opened = receiver.open(packed)
    assert isinstance(opened, Accepted)
    assert opened.datagram.payload == b"hello"
