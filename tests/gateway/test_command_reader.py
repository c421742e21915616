"""Commands that arrive in pieces: how they are put together, and what is held of them."""

from __future__ import annotations

import itertools

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffrongw.gateway.resp import (
    MAX_VALUE_BYTES,
    MIN_COLLECTED_BODY_BYTES,
    CommandReader,
    MalformedMessageError,
)

HEAD = (b"CALL.POST", b"%016x" % 7, b"id", b"c=put,t=team,d=2000")


def packed(body: bytes, request_id: bytes = HEAD[2]) -> bytes:
    return hiredis.pack_command((*HEAD[:2], request_id, HEAD[3], body))


def read_all(reader: CommandReader, pieces: list[bytes]) -> list[list[bytes]]:
    commands = []
    for piece in pieces:
        reader.feed(piece)
        while (command := reader.next()) is not None:
            commands.append(command)
        reader.release_consumed()
    return commands


@given(
    sizes=st.lists(st.integers(0, 3 * MIN_COLLECTED_BODY_BYTES), min_size=1, max_size=4),
    cuts=st.lists(st.integers(0, 40_000), max_size=12),
    kept=st.booleans(),
)
def test_any_pieces_give_the_same_commands(sizes, cuts, kept):
    bodies = [bytes([65 + number]) * size for number, size in enumerate(sizes)]
    stream = b"".join(packed(body) for body in bodies)
    places = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    pieces = [stream[start:end] for start, end in itertools.pairwise(places)]
    asked = []
    reader = CommandReader(lambda length: (asked.append(length), kept)[1])
    commands = read_all(reader, pieces)
    assert [tuple(command[:4]) for command in commands] == [HEAD] * len(bodies)
    for command, body in zip(commands, bodies, strict=True):
        assert command[4] in ((body,) if kept else (body, b""))
    assert len(reader) == 0 and not reader.data
    assert all(length >= MIN_COLLECTED_BODY_BYTES for length in asked)


@given(
    sizes=st.lists(st.integers(0, 3 * MIN_COLLECTED_BODY_BYTES), min_size=1, max_size=5),
    cuts=st.lists(st.integers(0, 60_000), max_size=12),
    kept=st.booleans(),
)
def test_who_looks_for_a_command_before_asking_for_the_next_one_keeps_their_order(
    sizes, cuts, kept
):
    """As connections do, which have a faster parser for common commands."""
    commands = [packed(b"x" * size, b"id%d" % number) for number, size in enumerate(sizes)]
    stream, ids = b"".join(commands), []
    reader = CommandReader(lambda _length: kept)
    places = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    for start, end in itertools.pairwise(places):
        reader.feed(stream[start:end])
        while True:
            rest = reader.data[reader.position :]
            if found := [each for each in commands if rest.startswith(each)]:
                reader.position += len(found[0])
                ids.append(b"id%d" % commands.index(found[0]))
            elif (command := reader.next()) is not None:
                ids.append(command[2])
            else:
                break
        reader.release_consumed()
    assert ids == [b"id%d" % number for number in range(len(sizes))]
    assert len(reader) == 0 and not reader.data


@given(cut=st.integers(1, 60_000), behind=st.integers(0, 3_000))
def test_what_has_arrived_behind_a_body_is_handed_over_in_its_place(cut, behind):
    upload, following = packed(b"x" * 60_000, b"upload"), packed(b"y" * 2_500, b"behind")
    stream = upload + following[:behind]
    reader, successor = CommandReader(), CommandReader()
    reader.feed(stream[:cut])
    assert reader.next() is None
    reader.feed(stream[cut:])
    assert len(reader) == len(stream) and reader.unprocessed() == stream
    commands = read_all(successor, [reader.unprocessed(), following[behind:]])
    assert [command[2] for command in commands] == [b"upload", b"behind"]


@given(cut=st.integers(1, 60_000))
def test_what_has_arrived_of_a_command_can_be_handed_over(cut):
    stream = packed(b"x" * 60_000)
    reader, successor = CommandReader(), CommandReader()
    assert read_all(reader, [stream[: cut // 2], stream[cut // 2 : cut]]) == []
    assert len(reader) == cut
    assert read_all(successor, [reader.unprocessed(), stream[cut:]]) == [[*HEAD, b"x" * 60_000]]


def test_a_dropped_body_holds_nothing_and_the_next_command_is_read():
    reader = CommandReader(lambda _length: False)
    assert read_all(reader, [packed(b"x" * MAX_VALUE_BYTES)[:50_000]]) == []
    assert reader.is_dropping and not reader.data
    rest = packed(b"x" * MAX_VALUE_BYTES)[50_000:]
    assert read_all(reader, [rest[:-1]]) == []
    reader.feed(rest[-1:] + b"*1\r\n$4\r\nPING\r\n")
    assert reader.next() == [*HEAD, b""] and reader.is_body_dropped
    assert reader.next() == [b"PING"] and not reader.is_body_dropped


@pytest.mark.parametrize("kept", [True, False])
def test_a_body_whose_length_does_not_fit_is_malformed(kept):
    reader = CommandReader(lambda _length: kept)
    reader.feed(packed(b"x" * 8_000)[:5_000])
    assert reader.next() is None
    reader.feed(packed(b"x" * 9_000)[5_000:])
    with pytest.raises(MalformedMessageError):
        reader.next()


def test_consumed_commands_are_not_held():
    reader = CommandReader()
    assert len(read_all(reader, [packed(b"x" * 60_000)])) == 1
    assert not reader.data
