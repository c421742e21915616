"""The ledger's file and thread when they break: torn ends, flipped bits, full and read-only disks, a second process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import random
import shutil
import sqlite3
import threading
import time
from pathlib import Path

import pytest
from conftest import FakeHost, Rig, asyncio_test, error, until, value

from saffrongw.admin import cli
from saffrongw.gateway.extensions import Extensions
from saffrongw.gateway.filtering_driver import FilteringDriver
from saffrongw.ledger import writer as writing
from saffrongw.ledger.entries import Entry, Event, Kind, Meaning, Try, entries_of, explain, recover
from saffrongw.ledger.reconcile import ListError, parse, reconcile
from saffrongw.ledger.request_filter import LedgerFilter
from saffrongw.ledger.store import FILE, Reader, Store, StoreError

S = 1_000_000


def intent(life: int, number: int, ordinal=0, host="h1", at=10 * S, first=True) -> Event:
    data = {"ordinal": ordinal, "host": host, "born": 0}
    if first:
        data |= {"customer": 7, "id": f"id{number}", "plan": "team", "class": "bill"}
        data |= {"bytes": 4, "digest": "d", "taken": at}
    return Event(life, number, Kind.INTENT, at, data)


def outcome(life: int, number: int, what: str, ordinal=0) -> Event:
    return Event(life, number, Kind.OUTCOME, 11 * S, {"ordinal": ordinal, "outcome": what})


def answer(life: int, number: int, what="served") -> Event:
    return Event(life, number, Kind.ANSWER, 12 * S, {"answer": what})


def filled(folder: Path, number: int) -> Store:
    """A store in its first life with entries: a third open, a third answered, a third never sent."""
    store = Store(folder)
    store.open()
    for n in range(1, number + 1):
        more = [[], [outcome(1, n, "served"), answer(1, n)], [outcome(1, n, "not connected")]][
            n % 3
        ]
        store.commit([intent(1, n), *more])
    return store


# -- meanings --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("outcomes", "said", "meaning"),
    [
        ([], "", Meaning.NEVER_SENT),
        ([""], "", Meaning.MAY_HAVE_RUN),
        (["not connected"], "", Meaning.NEVER_SENT),
        (["full"], "refused", Meaning.NEVER_SENT),
        (["never sent"], "", Meaning.NEVER_SENT),
        (["timed out"], "failed", Meaning.MAY_HAVE_RUN),
        (["broken"], "", Meaning.MAY_HAVE_RUN),
        (["error"], "failed", Meaning.MAY_HAVE_RUN),
        (["cancelled"], "", Meaning.MAY_HAVE_RUN),
        (["served"], "", Meaning.RAN),
        (["served"], "served", Meaning.ANSWERED),
        ([""], "served", Meaning.ANSWERED),
        (["full", ""], "", Meaning.MAY_HAVE_RUN),
        (["not connected", "served"], "", Meaning.RAN),
        (["full", "not connected"], "refused", Meaning.NEVER_SENT),
    ],
)
def test_the_truth_table(outcomes, said, meaning):
    tries = {n: Try(n, "h", 0, 1, 0, o) for n, o in enumerate(outcomes)}
    assert Entry(1, 1, tries=tries, answer=said).meaning is meaning


def test_recovery_classes_what_older_lives_left_open_once_and_sends_nothing():
    entries = entries_of([intent(1, 1), intent(1, 2), answer(1, 2), intent(2, 3)])
    events = recover(entries.values(), 2, 99)
    assert [(e.life, e.number, e.kind, e.data["meaning"]) for e in events] == [
        (1, 1, Kind.CLASSED, "may have run")
    ]
    for event in events:
        entries[event.life, event.number].add(event)
    assert recover(entries.values(), 3, 99) == recover([entries[2, 3]], 3, 99)


def test_an_explanation_says_what_is_known_and_what_is_not():
    entry = entries_of([intent(1, 1), outcome(1, 1, "full"), intent(1, 1, 1, "h2", first=False)])[
        1, 1
    ]
    text = explain(entry, lambda at: f"{at // S} s")
    assert (
        "Attempt 1 to h1 was written down at 10 s and ended full at 11 s, so it did not run."
        in text
    )
    assert "Attempt 2 to h2" in text
    assert "may have been sent and may have run" in text
    assert text.endswith("import the host's list of issued reports to tell.")


# -- the file --------------------------------------------------------------------------------------------


def test_lives_are_counted_and_open_entries_of_old_ones_classed(tmp_path):
    filled(tmp_path, 9).close()
    store = Store(tmp_path)
    assert store.open() == 6
    assert store.life == 2
    store.close()
    again = Store(tmp_path)
    assert again.open() == 0
    again.close()
    found = {n: e.meaning for (_, n), e in Reader(tmp_path).entries().items()}
    assert [found[n] for n in (1, 2, 3)] == [
        Meaning.ANSWERED,
        Meaning.NEVER_SENT,
        Meaning.MAY_HAVE_RUN,
    ]


def test_five_thousand_open_entries_are_classed_at_start(tmp_path):
    store = Store(tmp_path)
    store.open()
    store.commit([intent(1, n) for n in range(5000)])
    store.close()
    again = Store(tmp_path)
    assert again.open() == 5000
    again.close()


def test_the_same_client_id_in_two_lives_is_two_entries_also_when_the_clock_went_back(tmp_path):
    for life, at in ((1, 100 * S), (2, 50 * S)):
        store = Store(tmp_path)
        store.open()
        store.commit([intent(life, 1, at=at)])
        store.close()
    entries = Reader(tmp_path).entries()
    assert list(entries) == [(1, 1), (2, 1)]
    assert entries[1, 1].client_id == entries[2, 1].client_id


def test_files_are_for_their_owner_alone(tmp_path):
    filled(tmp_path / "l", 1).close()
    assert {p.name: p.stat().st_mode & 0o777 for p in (tmp_path / "l").iterdir()} == {
        "ledger.sqlite": 0o600,
        "ledger.lock": 0o600,
    }
    assert (tmp_path / "l").stat().st_mode & 0o777 == 0o700


def test_a_second_process_and_an_unknown_schema_are_refused_and_change_nothing(tmp_path):
    store = filled(tmp_path, 3)
    with pytest.raises(StoreError, match="another process holds"):
        Store(tmp_path).open()
    store.close()
    with sqlite3.connect(tmp_path / FILE) as db:
        db.execute("PRAGMA user_version=9")
    db.close()
    before = (tmp_path / FILE).read_bytes()
    with pytest.raises(
        StoreError, match="its schema is 9, this program knows 1; it was left as it is"
    ):
        Store(tmp_path).open()
    assert (tmp_path / FILE).read_bytes() == before
    with pytest.raises(StoreError, match="its schema is 9"):
        Reader(tmp_path)


def torn(tmp_path: Path) -> tuple[Path, dict]:
    """A file with its WAL as a kill leaves them, and the entries that were written."""
    source = tmp_path / "source"
    store = filled(source, 30)
    reader = Reader(source)
    whole = {key: dataclasses.asdict(entry) for key, entry in reader.entries().items()}
    reader.db.close()
    copy = tmp_path / "copy"
    shutil.copytree(source, copy)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    return copy, whole


def checked(folder: Path, whole: dict) -> tuple[int, bool]:
    """How many entries are read as they were written, and whether damage is named; none may be invented."""
    try:
        reader = Reader(folder)
        found = reader.entries()
        named = bool(reader.verify())
        reader.db.close()
    except StoreError:
        return 0, True
    good = 0
    for key, entry in found.items():
        assert key in whole, f"invented: {key}"
        mine, true = dataclasses.asdict(entry), whole[key]
        if mine == true:
            good += 1
        else:  # fewer events than were written, never others
            assert entry.customer in (0, 7)
            assert set(mine["tries"]) <= set(true["tries"])
            assert mine["answer"] in ("", true["answer"])
    return good, named


def test_a_wal_torn_at_every_byte_of_its_last_4_kib(tmp_path):
    copy, whole = torn(tmp_path)
    wal = copy / f"{FILE}-wal"
    data, database = wal.read_bytes(), (copy / FILE).read_bytes()
    counts = set()
    for cut in range(1, 4097):
        for name in (f"{FILE}-shm", FILE, f"{FILE}-wal"):
            (copy / name).unlink(missing_ok=True)
        (copy / FILE).write_bytes(database)
        wal.write_bytes(data[:-cut])
        good, named = checked(copy, whole)
        assert (
            not named
        )  # a torn end is what a kill leaves: all that was committed before it is whole
        counts.add(good)
    assert max(counts) <= 30
    assert min(counts) >= 28  # 4 KiB hold the last commit or two


def test_seeded_bit_flips_are_named_or_harmless_and_invent_nothing(tmp_path):
    copy, whole = torn(tmp_path)
    for name in (f"{FILE}-wal", f"{FILE}-shm"):
        (copy / name).unlink()
    source = tmp_path / "source"
    plain = (source / FILE).read_bytes()  # closed and checkpointed: all is in the database
    (copy / FILE).write_bytes(plain)
    assert checked(copy, whole) == (30, False)
    lots, named, less = random.Random(5), 0, 0
    for _ in range(300):
        data = bytearray(plain)
        place = lots.randrange(len(data))
        data[place] ^= 1 << lots.randrange(8)
        for name in (f"{FILE}-wal", f"{FILE}-shm"):
            (copy / name).unlink(missing_ok=True)
        (copy / FILE).write_bytes(data)
        good, said = checked(copy, whole)
        named += said
        less += good < 30
        assert said or good == 30  # what is missing is named
    assert named > 20
    assert less > 5


def test_a_wal_without_its_database_is_no_entry(tmp_path):
    copy, _ = torn(tmp_path)
    (copy / FILE).unlink()
    with pytest.raises(StoreError, match="there is no ledger"):
        Reader(copy)
    store = Store(copy)
    store.open()
    assert store.open_entries() == {}
    store.close()


def test_a_damaged_file_is_not_written_to(tmp_path):
    filled(tmp_path, 30).close()
    data = bytearray((tmp_path / FILE).read_bytes())
    place = data.find(b'"id":"id24"')
    data[place + 7] ^= 1
    (tmp_path / FILE).write_bytes(data)
    with pytest.raises(StoreError, match="damaged: row"):
        Store(tmp_path).open()
    reader = Reader(tmp_path)
    assert any("checksum" in text for text in reader.verify())
    assert cli.main(["ledger", "--state", str(tmp_path), "verify"]) == 1


def test_trimming_never_drops_what_is_open(tmp_path):
    store = filled(tmp_path, 30)
    assert store.trim(before=0, most=1 << 40) == 0
    assert (
        store.trim(before=99 * S, most=1 << 40) == 10
    )  # the answered ones; those never sent are not classed yet
    store.close()
    store.open()
    assert store.trim(before=0, most=1) == 10  # beyond the bound: those never sent too, by now
    left = entries_of(store.rows())
    assert [e.meaning for e in left.values()] == [Meaning.MAY_HAVE_RUN] * 10
    assert store.trim(before=99 * S, most=1) == 0
    store.close()


def test_trimming_looks_at_a_few_entries_at_a_time_and_comes_to_all(tmp_path, monkeypatch):
    from saffrongw.ledger import store as storing

    monkeypatch.setattr(storing, "LOOK_AT", 7)
    store = filled(tmp_path, 30)
    assert sum(store.trim(before=99 * S, most=1 << 40) for _ in range(5)) == 10
    assert store.trim(before=99 * S, most=1 << 40) == 0
    assert len(entries_of(store.rows())) == 20
    store.close()


def test_a_start_looks_at_the_last_life_alone(tmp_path):
    """What lives before it left was classed when the next one began; a start must not read all of a long past."""
    for life in (1, 2, 3):
        store = Store(tmp_path)
        assert store.open() == (1 if life > 1 else 0)
        store.commit([intent(life, 1)])
        store.close()
    with sqlite3.connect(tmp_path / FILE) as db:
        db.execute("UPDATE events SET sum=x'00' WHERE life=1")  # damage there is for verify to find
    db.close()
    store = Store(tmp_path)
    assert store.open() == 1
    store.close()
    assert len(Reader(tmp_path).verify()) == 2


# -- the thread and the gate -----------------------------------------------------------------------------


class World:
    """A gateway with a ledger and a host."""

    async def open(self, folder: Path, queue_most=100) -> World:
        self.host = await FakeHost("a").listen()
        names = (("read", "put", "bill"), ("team",))
        self.ledger = LedgerFilter(folder, frozenset({2}), *names, queue_most, 1e6, 1 << 30, False)
        plugs = Extensions((self.ledger,), (self.ledger,), (self.ledger,))
        self.rig = Rig(self.host, driver=lambda *given: FilteringDriver(*given, plugs), sockets=600)
        await self.ledger.start(self.rig.driver)
        return self


@asyncio_test
async def test_nothing_is_sent_before_it_is_on_the_disk(tmp_path):
    world = await World().open(tmp_path)
    seen, plain = [], Store.commit

    def commit(self, events):
        seen.append(len(world.host.commands))
        time.sleep(0.1)
        plain(self, events)
        seen.append(len(world.host.commands))

    Store.commit = commit
    try:
        caller = await world.rig.caller()
        caller.call("bill")
        assert await caller.replied() == [b"ok"]
        assert seen[:2] == [0, 0]
        await until(lambda: not world.ledger.entered)
    finally:
        Store.commit = plain
        await world.ledger.stop()
    (entry,) = Reader(tmp_path).entries().values()
    assert entry.meaning is Meaning.ANSWERED
    assert (entry.client_id, entry.body_bytes, entry.body) == ("id1", 4, "")


@asyncio_test
async def test_the_time_of_the_last_byte_is_recorded_also_on_a_new_connection(tmp_path):
    world = await World().open(tmp_path)
    world.host.script = lambda command: None
    caller = await world.rig.caller()
    caller.call("bill", wait=500)
    await until(lambda: world.host.commands)
    assert error((await caller.replied())[0]) == "ERR failed"
    await until(lambda: not world.ledger.entered)
    await world.ledger.stop()
    (entry,) = Reader(tmp_path).entries().values()
    (one,) = entry.tries.values()
    assert one.intended <= one.whole <= one.ended
    assert (one.outcome, entry.answer, entry.meaning) == (
        "timed out",
        "failed",
        Meaning.MAY_HAVE_RUN,
    )


@asyncio_test
async def test_what_belongs_to_an_entry_stays_with_it_when_the_store_is_opened_anew(
    tmp_path, monkeypatch
):
    """Else its answer would stand in the new life, as an entry of nobody's."""
    monkeypatch.setattr(writing, "AGAIN", 0.05)
    world = await World().open(tmp_path)
    world.host.script = lambda command: None
    caller = await world.rig.caller()
    caller.call("bill", wait=20_000)
    await until(lambda: world.host.commands)
    world.ledger.writer._down(OSError("disk I/O error"))
    await until(lambda: world.ledger.writer.life == 2)
    world.host.connections[0].transport.write(value(b"done"))
    assert await caller.replied() == [b"done"]
    await until(lambda: not world.ledger.entered)
    await world.ledger.stop()
    (entry,) = Reader(tmp_path).entries().values()
    assert (entry.life, entry.client_id, entry.meaning) == (1, "id1", Meaning.ANSWERED)


@asyncio_test
async def test_safe_requests_pay_nothing_and_write_nothing(tmp_path):
    world = await World().open(tmp_path)
    caller = await world.rig.caller()
    caller.call("read")
    caller.call("put", number=b"id2")
    assert await caller.replied(2) == [b"ok", b"ok"]
    await world.ledger.stop()
    assert world.ledger.writer.written == 0


@asyncio_test
async def test_a_disk_that_fails_refuses_unsafe_requests_at_once_until_it_is_back(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(writing, "AGAIN", 0.05)
    world = await World().open(tmp_path)
    broken, plain, opened = [True], Store.commit, Store.open

    def commit(self, events):
        if broken:
            self.close()
            raise StoreError("disk I/O error")
        plain(self, events)

    def open_(self):
        if broken:
            raise StoreError("database or disk is full")
        return opened(self)

    monkeypatch.setattr(Store, "commit", commit)
    monkeypatch.setattr(Store, "open", open_)
    caller = await world.rig.caller()
    for number in range(3):
        caller.call("bill", number=b"b%d" % number)
        assert error((await caller.replied(2 * number + 1))[-1]) == "BUSY"
        caller.call("read", number=b"r%d" % number)
        assert (await caller.replied(2 * number + 2))[-1] == b"ok"
    assert [command[2][:1] for command in world.host.commands] == [b"r"] * 3
    assert (
        world.rig.driver.gateway.quota_counters.customers[7].spent_units <= 3 + 1
    )  # at most the first took units before it failed
    broken.clear()
    await until(lambda: world.ledger.writer.up)
    caller.call("bill", number=b"again")
    assert (await caller.replied(7))[-1] == b"ok"
    await world.ledger.stop()
    assert [e.client_id for e in Reader(tmp_path).entries().values()] == ["again"]


def ask(caller, customer: int) -> None:
    """An unsafe request of a customer of its own: no quota is in its way."""
    terms = b"c=bill,t=team,d=2000,units=1,spread=1,first=0"
    caller.ask(b"CALL.POST", b"%016x" % customer, b"c%d" % customer, terms, b"BODY")


@asyncio_test
async def test_a_real_full_disk_is_met_by_the_database_itself(tmp_path, monkeypatch):
    monkeypatch.setattr(writing, "AGAIN", 0.05)
    world = await World().open(tmp_path)
    caller = await world.rig.caller()
    caller.call("bill", number=b"one")
    assert await caller.replied() == [b"ok"]
    await until(lambda: world.ledger.writer.written >= 3)
    replies = 1
    for number in range(400):
        # As small as it can be: no page can be added. Set each time, as a record that follows may be what fails:
        # the store is then opened anew without it.
        with contextlib.suppress(sqlite3.Error, AttributeError):
            world.ledger.writer.store.db.execute("PRAGMA max_page_count=1")
        ask(caller, number + 100)
        replies += 1
        if (await caller.replied(replies))[-1] != b"ok":
            break
    assert error(caller.replies[-1]) == "BUSY"
    await until(lambda: world.ledger.writer.up)  # opened anew, without that limit
    ask(caller, 99)
    assert (await caller.replied(replies + 1))[-1] == b"ok"
    await world.ledger.stop()
    assert Reader(tmp_path).verify() == []


@asyncio_test
async def test_a_folder_that_cannot_be_made_refuses_unsafe_requests_only(tmp_path):
    (tmp_path / "file").write_text("")
    world = await World().open(tmp_path / "file" / "below")
    caller = await world.rig.caller()
    caller.call("bill")
    assert error((await caller.replied())[0]) == "BUSY"
    caller.call("read", number=b"id2")
    assert (await caller.replied(2))[1] == b"ok"
    assert not world.ledger.writer.up
    await world.ledger.stop()


def held(monkeypatch) -> threading.Event:
    """A disk that takes nothing until the event is set."""
    release, plain = threading.Event(), Store.commit

    def commit(self, events):
        release.wait(30)
        plain(self, events)

    monkeypatch.setattr(Store, "commit", commit)
    return release


@asyncio_test
async def test_a_slow_disk_leaves_no_unsafe_request_unanswered_and_safe_ones_notice_nothing(
    tmp_path, monkeypatch
):
    world = await World().open(tmp_path, queue_most=15)
    release = held(monkeypatch)
    callers = [await world.rig.caller() for _ in range(40)]
    for number, caller in enumerate(callers):
        caller.call("bill" if number % 2 else "read", wait=1500, number=b"n%d" % number)
    for caller in callers[::2]:
        assert await caller.replied() == [b"ok"]  # and nothing is on the disk yet
    assert world.ledger.writer.commits == 0
    refused = [caller for caller in callers[1::2] if caller.replies]
    assert len(refused) == 5  # beyond the queue: at once
    for caller in callers[1::2]:
        (reply,) = await caller.replied()
        assert error(reply) in ("BUSY", "ERR failed")
    assert len(world.host.commands) == 20
    release.set()
    await until(lambda: not world.rig.driver.requests and not world.ledger.entered)
    assert len(world.host.commands) == 20  # what was late is not sent
    await world.ledger.stop()


@asyncio_test
async def test_a_client_that_leaves_while_its_intent_is_written_is_never_sent(
    tmp_path, monkeypatch
):
    world = await World().open(tmp_path)
    release = held(monkeypatch)
    caller = await world.rig.caller()
    caller.call("bill")
    await until(lambda: world.ledger.writer.pending)
    caller.transport.close()
    await until(lambda: not world.rig.driver.requests)
    release.set()
    await until(lambda: not world.ledger.writer.pending)
    assert world.host.commands == []
    assert not world.ledger.entered
    await world.ledger.stop()
    (entry,) = Reader(tmp_path).entries().values()
    assert entry.meaning is Meaning.NEVER_SENT


# -- reconciliation, the command line --------------------------------------------------------------------


HEADER = "customer,request,host,issued_ms"


def test_a_hosts_list_settles_what_may_have_run_and_names_contradictions():
    events = [intent(1, n) for n in (1, 2, 3, 4, 5)]
    events += [outcome(1, 2, "not connected"), outcome(1, 3, "served"), answer(1, 3)]
    entries = entries_of(events)
    lines = [
        HEADER,
        "7,id1,h1,5",
        "7,id2,h1,5",
        "7,id3,h1,5",
        "7,id4,h1,5",
        "7,id4,h2,6",
        "7,id5,h9,5",
        "8,id1,h1,5",
    ]
    result = reconcile(entries, parse(lines, "list"), 99)
    assert [(e.number, e.kind, e.data["host"]) for e in result.settled] == [
        (1, Kind.IMPORTED, "h1")
    ]
    assert result.known == 1
    said = "\n".join(result.contradictions)
    assert (
        "request id2 of customer 0000000000000007 was issued by h1 (line 3) and was never sent"
        in said
    )
    assert (
        "request id4 of customer 0000000000000007 was issued 2 times: h1 (line 5), h2 (line 6)"
        in said
    )
    assert (
        "request id5 of customer 0000000000000007 was issued by h9 (line 7), to which entry 1-5 sent nothing"
        in said
    )
    assert (
        "request id1 of customer 0000000000000008 was issued by h1 (line 8) and stands in no entry"
        in said
    )
    entries[1, 1].add(result.settled[0])
    assert entries[1, 1].meaning is Meaning.RAN
    assert entries[1, 1].settled


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([], "l:1: the header must be customer,request,host,issued_ms"),
        (["a,b"], "l:1: the header must be"),
        ([HEADER, "7,id1,h1"], "l:2: 4 columns are needed, not 3"),
        ([HEADER, "7,id1,h1,5", "x,id1,h1,5"], "l:3: customer is no hex number"),
    ],
)
def test_a_wrong_list_is_named_by_line(lines, expected):
    with pytest.raises(ListError) as wrong:
        parse(lines, "l")
    assert expected in str(wrong.value)


def test_the_command_line_shows_finds_explains_exports_backs_up_and_imports(tmp_path, capsys):
    state = tmp_path / "state"
    filled(state, 6).close()

    def run(*words: str) -> tuple[int, str]:
        status = cli.main(["ledger", "--state", str(state), *words])
        return status, capsys.readouterr().out

    assert "6 entries, 2 answered, 2 may have run, 2 never sent" in run("show")[1]
    assert "1-3" in run("open")[1]
    assert "1 entries" in run("find", "id4")[1]
    assert "Whether it ran is not known here" in run("explain", "1-3")[1]
    assert run("explain", "none")[0] == 2
    assert len(run("export")[1].splitlines()) == 6
    assert run("verify") == (0, f"{state / FILE}: good\n")
    assert run("backup", str(tmp_path / "copy.sqlite"))[0] == 0
    assert os.stat(tmp_path / "copy.sqlite").st_mode & 0o777 == 0o600
    (tmp_path / "list.csv").write_text(f"{HEADER}\n7,id3,h1,5\n")
    assert "1 entries settled as issued" in run("import", str(tmp_path / "list.csv"))[1]
    assert "1 entries, 1 may have run" in run("open")[1]
    status, said = run("compact")
    assert (status, said.split(",")[0]) == (
        0,
        "5 entries forgotten",
    )  # they are of 1970; one may have run
    assert "1 entries, 1 may have run" in run("show")[1]
    assert cli.main(["ledger", "--state", str(tmp_path / "none"), "show"]) == 2
    assert "there is no ledger" in capsys.readouterr().err


@asyncio_test
async def test_a_list_is_imported_while_the_gateway_runs(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(writing, "LOOK", 0.05)
    filled(tmp_path / "state", 6).close()
    world = await World().open(tmp_path / "state")
    (tmp_path / "list.csv").write_text(f"{HEADER}\n7,id3,h1,5\n7,id6,h9,5\n")
    words = ["ledger", "--state", str(tmp_path / "state"), "import", str(tmp_path / "list.csv")]
    assert await asyncio.get_running_loop().run_in_executor(None, cli.main, words) == 1
    said = capsys.readouterr().out
    assert "1 entries settled as issued" in said
    assert "contradiction: request id6" in said
    caller = await world.rig.caller()
    caller.call("bill", number=b"new")
    assert await caller.replied() == [b"ok"]
    await world.ledger.stop()
    found = {e.client_id: e.meaning for e in Reader(tmp_path / "state").entries().values()}
    assert (found["id3"], found["id6"], found["new"]) == (
        Meaning.RAN,
        Meaning.MAY_HAVE_RUN,
        Meaning.ANSWERED,
    )
    assert list((tmp_path / "state" / "inbox").iterdir()) == []


def test_what_is_handed_in_is_checked_again_and_rubbish_is_set_aside(tmp_path):
    store = filled(tmp_path, 6)
    inbox = tmp_path / "inbox"
    inbox.mkdir()
    (inbox / "1.jsonl").write_text(
        '{"life": 1, "number": 1, "host": "h1", "issued": 5}\n'
    )  # is answered
    (inbox / "2.jsonl").write_text(
        '{"life": 1, "number": 3, "host": "h9", "issued": 5}\n'
    )  # was not sent there
    (inbox / "3.jsonl").write_text("rubbish\n")
    (inbox / "4.jsonl").write_text('{"life": 1, "number": 3, "host": "h1", "issued": 5}\n')
    assert store.take_inbox() == 1
    assert sorted(p.name for p in inbox.iterdir()) == ["1.done", "2.done", "3.bad", "4.done"]
    store.close()


@asyncio_test
async def test_keyed_classes_and_bodies_are_written_where_the_operators_ask(tmp_path):
    host = await FakeHost("a").listen()
    ledger = LedgerFilter(
        tmp_path, frozenset({1, 2}), ("read", "put", "bill"), ("team",), 100, 1e6, 1 << 30, True
    )
    plugs = Extensions((ledger,), (ledger,), (ledger,))
    rig = Rig(host, driver=lambda *given: FilteringDriver(*given, plugs))
    await ledger.start(rig.driver)
    caller = await rig.caller()
    caller.call("put")
    assert await caller.replied() == [b"ok"]
    await ledger.stop()
    (entry,) = Reader(tmp_path).entries().values()
    assert (entry.cls, bytes.fromhex(entry.body)) == ("put", b"BODY")
