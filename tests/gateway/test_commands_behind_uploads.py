"""Commands that arrive with the rest of an upload whose start came before: order, rejections, memory."""

from __future__ import annotations

import hiredis
import pytest
from async_testing import asyncio_test, until
from client_rig import Caller, error
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway.resp import MIN_COLLECTED_BODY_BYTES

BODY = b"x" * (5 * MIN_COLLECTED_BODY_BYTES)
FIRST_PIECE_BYTES = 2 * MIN_COLLECTED_BODY_BYTES
OTHER_CUSTOMER = b"0000000000000008"


def upload(number: bytes = b"upload") -> bytes:
    terms = b"c=put,t=team,d=2000,k=key7,units=1,spread=2,first=0"
    return hiredis.pack_command((b"CALL.POST", b"0000000000000007", number, terms, BODY))


def read(number: bytes = b"behind") -> bytes:
    terms = b"c=read,t=team,d=2000,units=1,spread=2,first=0"
    return hiredis.pack_command((b"CALL.GET", OTHER_CUSTOMER, number, terms))


async def naming_rig() -> Rig:
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: value(b"value of " + command[2])
    return Rig(endpoint)


async def send_start_of_upload(rig: Rig, caller: Caller) -> None:
    """Send the start of an upload, and wait until the gateway has read it."""
    caller.transport.write(upload()[:FIRST_PIECE_BYTES])
    await until(lambda: rig.clients.held_input_bytes == FIRST_PIECE_BYTES)


async def rested(rig: Rig) -> None:
    """Wait until all reservations are given back."""
    await until(lambda: rig.clients.in_flight_memory.used_bytes == 0)


@pytest.mark.parametrize("count", [1, 5])
@asyncio_test
async def test_commands_behind_an_upload_in_pieces_are_answered_after_it(count):
    rig = await naming_rig()
    caller = await rig.caller()
    await send_start_of_upload(rig, caller)
    behind = [b"behind%d" % number for number in range(count)]
    caller.transport.write(upload()[FIRST_PIECE_BYTES:] + b"".join(map(read, behind)))
    expected = [b"value of " + number for number in (b"upload", *behind)]
    assert await caller.replied(1 + count) == expected
    await rested(rig)


@asyncio_test
async def test_a_rejection_without_parsing_is_not_written_before_the_reply_to_an_upload():
    rig = await naming_rig()
    caller = await rig.caller()
    await send_start_of_upload(rig, caller)
    rig.clients.admission_queue.saturated.add(OTHER_CUSTOMER)
    caller.transport.write(upload()[FIRST_PIECE_BYTES:] + read())
    uploaded, behind = await caller.replied(2)
    assert uploaded == b"value of upload"
    assert error(behind).startswith("BUSY")
    await rested(rig)


@asyncio_test
async def test_a_malformed_command_does_not_take_the_upload_before_it_along():
    rig = await naming_rig()
    caller = await rig.caller()
    rig.clients.open_request_ids.add(b"open_elsewhere")
    await send_start_of_upload(rig, caller)
    caller.transport.write(upload()[FIRST_PIECE_BYTES:] + read(b"open_elsewhere"))
    await until(lambda: caller.closed)
    uploaded, behind = caller.replies
    assert uploaded == b"value of upload"
    assert error(behind).startswith("ERR")


@asyncio_test
async def test_the_refusal_of_an_upload_without_room_is_not_given_to_the_command_behind_it():
    rig = await naming_rig()
    memory = rig.clients.in_flight_memory
    caller = await rig.caller()
    memory.used_bytes = memory.greedy_limit_bytes
    caller.transport.write(upload()[:FIRST_PIECE_BYTES])
    (connection,) = await opened(rig)
    await until(lambda: connection.reader.is_dropping)
    caller.transport.write(upload()[FIRST_PIECE_BYTES:] + read())
    uploaded, behind = await caller.replied(2)
    assert error(uploaded).startswith("BUSY")
    assert behind == b"value of behind"
    assert memory.used_bytes == memory.greedy_limit_bytes


async def opened(rig: Rig) -> tuple:
    await until(lambda: len(rig.clients.connections) == 1)
    return tuple(rig.clients.connections)


@asyncio_test
async def test_memory_reserved_for_an_upload_is_not_given_to_the_command_behind_it():
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda _command: None
    rig = Rig(endpoint)
    caller = await rig.caller()
    await send_start_of_upload(rig, caller)
    caller.transport.write(upload()[FIRST_PIECE_BYTES:] + read())
    (connection,) = await opened(rig)
    await until(lambda: len(connection.slots) == 2)
    of_upload, of_read = (slot.reserved_bytes for slot in connection.slots)
    assert of_upload - of_read == len(BODY)
    caller.transport.close()
    await rested(rig)
