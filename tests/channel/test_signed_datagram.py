"""Datagrams of the channel: forged, foreign, repeated, from another life; keys that turn; bounds."""

from __future__ import annotations

import random

import pytest

from saffrongw.channel.component import read_keys
from saffrongw.channel.signed_datagram import (
    LIVES_MOST,
    WINDOW,
    DatagramCodec,
    InvalidKeyError,
    Key,
    Opened,
    Unknown,
    Window,
)

OLD, NEW = Key(b"a" * 32), Key(b"b" * 32)


def pair(ours=(OLD,), theirs=(OLD,)) -> tuple[DatagramCodec, DatagramCodec]:
    return DatagramCodec("a", 11, ours), DatagramCodec("b", 22, theirs)


def test_a_letter_arrives_once():
    a, b = pair()
    data = a.pack("b", 22, 1, b"hello")
    found = b.open(data)
    assert isinstance(found, Opened) and found.letter.payload == b"hello"
    assert (found.letter.sender, found.letter.life) == ("a", 11)
    assert b.open(data) is None and b.counts["repeated"] == 1


def test_what_names_another_life_is_answered_and_not_taken():
    a, b = pair()
    for life in (0, 21):
        assert isinstance(b.open(a.pack("b", life, 1, b"x")), Unknown)
    assert not b.windows


def test_each_changed_bit_is_seen_and_changes_no_state():
    a, b = pair()
    data = a.pack("b", 22, 1, b"hello")
    for place in range(len(data)):
        for bit in range(8):
            spoilt = bytearray(data)
            spoilt[place] ^= 1 << bit
            assert b.open(bytes(spoilt)) is None
    assert not b.windows and b.counts["foreign"] + b.counts["forged"] == 8 * len(data)
    assert isinstance(b.open(data), Opened)


def test_noise_is_dropped():
    _, b = pair()
    draw = random.Random(1)
    for size in (0, 1, 7, 23, 24, 100, 8_192, 8_193, 20_000):
        for head in (b"", b"sg\x01" + OLD.id):
            assert b.open((head + draw.randbytes(size))[:size]) is None


def test_signed_by_a_member_but_no_letter():
    import hmac

    _, b = pair()
    head = b"sg\x01" + OLD.id + b"\x93\x01\x02\x03"
    assert b.open(head + hmac.digest(OLD.secret, head, "sha256")[:16]) is None


def test_keys_turn_in_two_steps_without_a_lost_letter():
    steps = [
        ((OLD,), (OLD, NEW)),
        ((OLD, NEW), (NEW, OLD)),
        ((NEW, OLD), (NEW, OLD)),
        ((NEW,), (NEW, OLD)),
    ]
    a, b = pair()
    for ours, theirs in steps:
        a.turn_keys(ours)
        b.turn_keys(theirs)
        assert isinstance(b.open(a.pack("b", 22, 1, b"x")), Opened)
        assert isinstance(a.open(b.pack("a", 11, 1, b"x")), Opened)
    b.turn_keys((NEW,))
    a.turn_keys((OLD,))
    assert b.open(a.pack("b", 22, 1, b"x")) is None


def test_lives_that_are_remembered_are_bounded():
    _, b = pair()
    for n in range(LIVES_MOST + 500):
        assert isinstance(b.open(DatagramCodec(f"g{n}", 1, (OLD,)).pack("b", 22, 1, b"")), Opened)
    assert len(b.windows) == LIVES_MOST


def test_numbers_may_come_out_of_order_within_the_window():
    window, draw = Window(), random.Random(2)
    numbers = list(range(1, 400))
    for begin in range(0, 400, 50):
        part = numbers[begin : begin + 50]
        draw.shuffle(part)
        numbers[begin : begin + 50] = part
    assert all(window.take(number) for number in numbers)
    assert not any(window.take(number) for number in numbers)
    assert (
        window.take(10**9) and not window.take(10**9 - WINDOW) and window.take(10**9 - WINDOW + 1)
    )


def test_keys_that_can_not_be_used_are_named(tmp_path):
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
