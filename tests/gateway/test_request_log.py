"""The request log: which events it has, and that it never disturbs requests."""

from __future__ import annotations

import errno

import pytest
from async_testing import asyncio_test, until
from fake_endpoint import FakeEndpoint, value
from loopback_rig import Rig

from saffrongw.gateway import request_log
from saffrongw.gateway.request_log import FILE_VARIABLE, RequestLog


def events(path) -> list[str]:
    """The lines of a log without time and process, the values of these being unknown."""
    return [line.split(" ", 2)[2] for line in path.read_text().splitlines()]


def logging_rig(monkeypatch, path, *endpoints) -> Rig:
    monkeypatch.setenv(FILE_VARIABLE, str(path))
    rig = Rig(*endpoints)
    rig.driver.request_log = RequestLog.from_environment(rig.driver.clock)
    return rig


@asyncio_test
async def test_a_served_request_is_logged_from_its_arrival_to_its_reply(monkeypatch, tmp_path):
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda _command: value(b"1")
    path = tmp_path / "log"
    caller = await logging_rig(monkeypatch, path, endpoint).caller()
    caller.call("bill", number=b"one")
    assert await caller.replied() == [b"1"]
    caller.transport.close()
    await until(lambda: events(path)[-1].startswith("closed"))
    names = [event.split()[0] for event in events(path)]
    assert names == ["received", "started", "attempt", "outcome", "ended", "written", "closed"]
    received, _, attempt, outcome, ended, written, closed = events(path)
    assert received == "received connection=1 id=one class=2 body_bytes=4"
    assert attempt == "attempt id=one number=0 endpoint=a"
    assert outcome == f"outcome {attempt.removeprefix('attempt ')} outcome=served sent=1"
    assert ended == "ended id=one reply=served by=endpoint may_have_run=1"
    assert written == "written connection=1 id=one"
    assert closed == "closed connection=1 reason=client_left unanswered=0"


@asyncio_test
async def test_refusals_retries_and_clients_that_leave_are_logged_with_their_reasons(
    monkeypatch, tmp_path
):
    endpoint = await FakeEndpoint("a").listen()
    endpoint.script = lambda command: None if command[2] == b"left" else b"-BUSY\r\n"
    path = tmp_path / "log"
    rig = logging_rig(monkeypatch, path, endpoint)
    caller = await rig.caller()
    caller.call("bill", number=b"busy", wait=300)
    await caller.replied()
    assert "outcome id=busy number=0 endpoint=a outcome=overloaded sent=1" in events(path)
    assert "ended id=busy reply=busy by=policy may_have_run=0" in events(path)
    rig.clients.shutdown.rejects_requests = True
    caller.call("bill", number=b"late")
    await caller.replied(2)
    assert "rejected connection=1 id=late reason=shutdown" in events(path)
    rig.clients.shutdown.rejects_requests = False
    caller.call("bill", number=b"left")
    await until(lambda: len(endpoint.commands) > 1 and endpoint.commands[-1][2] == b"left")
    caller.transport.close()
    await until(lambda: "closed connection=1 reason=client_left unanswered=0" in events(path))
    assert "abandoned id=left" in events(path)


class FailingFile:
    """A file that takes some writes, and then none."""

    def __init__(self, error: OSError | None = None, size: int = 0) -> None:
        self.error, self.size, self.lines, self.closed = error, size, [], False

    def write(self, line: bytes) -> None:
        if self.error:
            raise self.error
        self.lines.append(line)

    def tell(self) -> int:
        return self.size

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize(
    ("file", "cause"),
    [
        (FailingFile(OSError(errno.ENOSPC, "No space left on device")), "No space left"),
        (FailingFile(size=request_log.MAX_FILE_BYTES), "largest size"),
    ],
)
def test_a_file_that_can_not_be_written_or_is_full_ends_the_log_with_one_warning(
    caplog, file, cause
):
    log = RequestLog(file, lambda: 0)
    for _ in range(3):
        log.repeated(1, b"id")
    assert file.closed and len(file.lines) <= 1
    (record,) = caplog.records
    assert cause in record.getMessage()


def test_a_file_that_can_not_be_opened_means_no_log(monkeypatch, tmp_path, caplog):
    monkeypatch.setenv(FILE_VARIABLE, str(tmp_path / "none" / "log"))
    assert RequestLog.from_environment(lambda: 0) is None
    assert "request_log: unavailable" in caplog.text


def test_there_is_no_log_unless_it_is_asked_for(monkeypatch):
    monkeypatch.delenv(FILE_VARIABLE, raising=False)
    assert RequestLog.from_environment(lambda: 0) is None
