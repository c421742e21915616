"""Attempts are sent only after they are durably recorded, even if the disk is slow, full or fails."""

from __future__ import annotations

import contextlib
import sqlite3
import time
from typing import Any

from async_testing import asyncio_test, until
from client_rig import error
from fake_endpoint import value

from saffrongw.ledger import writer
from saffrongw.ledger.entries import ExecutionStatus
from saffrongw.ledger.reader import LedgerReader
from saffrongw.ledger.schema import LedgerStoreError
from saffrongw.ledger.store import LedgerStore
from tests.ledger.gateway_rig import LedgerRig, block_commits


@asyncio_test
async def test_no_attempt_is_sent_before_its_record_is_durable(tmp_path, monkeypatch):
    world = await LedgerRig().open(tmp_path)
    sent_counts = []
    commit = LedgerStore.commit

    def slow_commit(store: LedgerStore, events: list) -> None:
        sent_counts.append(len(world.host.commands))
        time.sleep(0.1)
        commit(store, events)
        sent_counts.append(len(world.host.commands))

    monkeypatch.setattr(LedgerStore, "commit", slow_commit)
    caller = await world.rig.caller()
    caller.call("bill")
    assert await caller.replied() == [b"ok"]
    assert sent_counts[:2] == [0, 0]
    await until(lambda: not world.ledger.entries)
    await world.ledger.stop()
    (entry,) = LedgerReader(tmp_path).entries().values()
    assert entry.status is ExecutionStatus.ANSWERED
    assert (entry.client_request_id, entry.body_bytes, entry.body_hex) == ("id1", 4, "")


@asyncio_test
async def test_the_time_of_the_last_byte_is_recorded_even_on_a_new_connection(tmp_path):
    world = await LedgerRig().open(tmp_path)
    world.host.script = lambda _command: None
    caller = await world.rig.caller()
    caller.call("bill", wait=500)
    await until(lambda: world.host.commands)
    assert error((await caller.replied())[0]) == "ERR failed"
    await until(lambda: not world.ledger.entries)
    await world.ledger.stop()
    (entry,) = LedgerReader(tmp_path).entries().values()
    (attempt,) = entry.attempts.values()
    assert attempt.intended_at_us <= attempt.fully_sent_at_us <= attempt.ended_at_us
    assert (attempt.outcome, entry.answer, entry.status) == (
        "timed out",
        "failed",
        ExecutionStatus.MAY_HAVE_RUN,
    )


def fail_next_step(ledger_writer) -> None:
    """Let the writer's thread fail once, as a disk does, so that it closes the store and opens it anew."""

    def fail() -> bool:
        del ledger_writer._process_inbox
        raise OSError("disk I/O error")

    ledger_writer._process_inbox = fail


@asyncio_test
async def test_an_entry_stays_in_its_incarnation_when_the_store_is_reopened(tmp_path, monkeypatch):
    """Otherwise its answer would be recorded for a request that the new incarnation never had."""
    monkeypatch.setattr(writer, "REOPEN_INTERVAL_S", 0.05)
    world = await LedgerRig().open(tmp_path)
    world.host.script = lambda _command: None
    caller = await world.rig.caller()
    caller.call("bill", wait=20_000)
    await until(lambda: world.host.commands)
    fail_next_step(world.ledger.writer)
    await until(lambda: world.ledger.writer.incarnation == 2)
    world.host.connections[0].transport.write(value(b"done"))
    assert await caller.replied() == [b"done"]
    await until(lambda: not world.ledger.entries)
    await world.ledger.stop()
    (entry,) = LedgerReader(tmp_path).entries().values()
    assert (entry.incarnation, entry.client_request_id, entry.status) == (
        1,
        "id1",
        ExecutionStatus.ANSWERED,
    )


@asyncio_test
async def test_idempotent_requests_are_not_recorded(tmp_path):
    world = await LedgerRig().open(tmp_path)
    caller = await world.rig.caller()
    caller.call("read")
    caller.call("put", number=b"id2")
    assert await caller.replied(2) == [b"ok", b"ok"]
    await world.ledger.stop()
    assert world.ledger.writer.written == 0


@asyncio_test
async def test_while_the_disk_fails_non_idempotent_requests_are_rejected_at_once(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(writer, "REOPEN_INTERVAL_S", 0.05)
    world = await LedgerRig().open(tmp_path)
    is_broken = [True]
    commit = LedgerStore.commit
    open_store = LedgerStore.open

    def failing_commit(store: LedgerStore, events: list) -> None:
        if is_broken:
            store.close()
            raise LedgerStoreError("disk I/O error")
        commit(store, events)

    def failing_open(store: LedgerStore) -> int:
        if is_broken:
            raise LedgerStoreError("database or disk is full")
        return open_store(store)

    monkeypatch.setattr(LedgerStore, "commit", failing_commit)
    monkeypatch.setattr(LedgerStore, "open", failing_open)
    caller = await world.rig.caller()
    for number in range(3):
        caller.call("bill", number=b"b%d" % number)
        assert error((await caller.replied(2 * number + 1))[-1]) == "BUSY"
        caller.call("read", number=b"r%d" % number)
        assert (await caller.replied(2 * number + 2))[-1] == b"ok"
    assert [command[2][:1] for command in world.host.commands] == [b"r"] * 3
    # At most the first one took units before the disk failed.
    assert world.rig.driver.gateway.quota_counters.customers[7].spent_units <= 3 + 1
    is_broken.clear()
    await until(lambda: world.ledger.writer.is_open)
    caller.call("bill", number=b"again")
    assert (await caller.replied(7))[-1] == b"ok"
    await world.ledger.stop()
    entries = LedgerReader(tmp_path).entries().values()
    assert [entry.client_request_id for entry in entries] == ["again"]


def call_of_customer(caller: Any, customer: int) -> None:
    """Send a non-idempotent request of a separate customer, whose quota is unused."""
    terms = b"c=bill,t=team,d=2000,units=1,spread=1,first=0"
    caller.ask(b"CALL.POST", b"%016x" % customer, b"c%d" % customer, terms, b"BODY")


@asyncio_test
async def test_a_full_database_rejects_requests_until_it_is_reopened(tmp_path, monkeypatch):
    monkeypatch.setattr(writer, "REOPEN_INTERVAL_S", 0.05)
    world = await LedgerRig().open(tmp_path)
    caller = await world.rig.caller()
    caller.call("bill", number=b"one")
    assert await caller.replied() == [b"ok"]
    await until(lambda: world.ledger.writer.written >= 3)
    reply_count = 1
    for number in range(400):
        # The smallest limit, so no page can be added. It is set for each request, because the write
        # that fails may be an event without a callback, after which the store is reopened without
        # the limit.
        with contextlib.suppress(sqlite3.Error, AttributeError):
            world.ledger.writer.store.db.execute("PRAGMA max_page_count=1")
        call_of_customer(caller, number + 100)
        reply_count += 1
        if (await caller.replied(reply_count))[-1] != b"ok":
            break
    assert error(caller.replies[-1]) == "BUSY"
    # The reopened store has no such limit.
    await until(lambda: world.ledger.writer.is_open)
    call_of_customer(caller, 99)
    assert (await caller.replied(reply_count + 1))[-1] == b"ok"
    await world.ledger.stop()
    assert LedgerReader(tmp_path).verify() == []


@asyncio_test
async def test_a_folder_that_cannot_be_created_rejects_non_idempotent_requests_only(tmp_path):
    (tmp_path / "file").write_text("")
    world = await LedgerRig().open(tmp_path / "file" / "below")
    caller = await world.rig.caller()
    caller.call("bill")
    assert error((await caller.replied())[0]) == "BUSY"
    caller.call("read", number=b"id2")
    assert (await caller.replied(2))[1] == b"ok"
    assert not world.ledger.writer.is_open
    await world.ledger.stop()


@asyncio_test
async def test_on_a_slow_disk_every_request_is_answered_and_idempotent_ones_are_not_delayed(
    tmp_path, monkeypatch
):
    world = await LedgerRig().open(tmp_path, max_pending=15)
    release = block_commits(monkeypatch)
    callers = [await world.rig.caller() for _ in range(40)]
    for number, caller in enumerate(callers):
        caller.call("bill" if number % 2 else "read", wait=1500, number=b"n%d" % number)
    for caller in callers[::2]:
        # Idempotent requests are answered although nothing is committed yet.
        assert await caller.replied() == [b"ok"]
    assert world.ledger.writer.commits == 0
    rejected = [caller for caller in callers[1::2] if caller.replies]
    # Those beyond ``max_pending`` are rejected at once.
    assert len(rejected) == 5
    for caller in callers[1::2]:
        (reply,) = await caller.replied()
        assert error(reply) in ("BUSY", "ERR failed")
    assert len(world.host.commands) == 20
    release.set()
    await until(lambda: not world.rig.driver.requests and not world.ledger.entries)
    # Attempts whose records became durable after their deadlines are not sent.
    assert len(world.host.commands) == 20
    await world.ledger.stop()


@asyncio_test
async def test_a_request_whose_client_left_while_its_intent_was_written_is_never_sent(
    tmp_path, monkeypatch
):
    world = await LedgerRig().open(tmp_path)
    release = block_commits(monkeypatch)
    caller = await world.rig.caller()
    caller.call("bill")
    await until(lambda: world.ledger.writer.pending)
    caller.transport.close()
    await until(lambda: not world.rig.driver.requests)
    release.set()
    await until(lambda: not world.ledger.writer.pending)
    assert world.host.commands == []
    assert not world.ledger.entries
    await world.ledger.stop()
    (entry,) = LedgerReader(tmp_path).entries().values()
    assert entry.status is ExecutionStatus.NEVER_SENT


@asyncio_test
async def test_keyed_classes_and_bodies_are_recorded_if_configured(tmp_path):
    world = await LedgerRig().open(tmp_path, request_classes=frozenset({1, 2}), with_bodies=True)
    caller = await world.rig.caller()
    caller.call("put")
    assert await caller.replied() == [b"ok"]
    await world.ledger.stop()
    (entry,) = LedgerReader(tmp_path).entries().values()
    assert (entry.request_class, bytes.fromhex(entry.body_hex)) == ("put", b"BODY")
