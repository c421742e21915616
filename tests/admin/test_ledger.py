"""The commands of ``saffrongw ledger``, with and without a running gateway."""

from __future__ import annotations

import asyncio

from async_testing import asyncio_test

from saffrongw.admin import cli
from saffrongw.ledger import writer
from saffrongw.ledger.entries import ExecutionStatus
from saffrongw.ledger.reader import LedgerReader
from tests.ledger.events_of_requests import store_with_entries
from tests.ledger.gateway_rig import LedgerRig

HEADER = "customer,request,host,issued_ms"


def test_each_command_prints_the_ledgers_entries(tmp_path, capsys):
    state = tmp_path / "state"
    store_with_entries(state, 6).close()

    def run(*words: str) -> tuple[int, str]:
        status = cli.main(["ledger", "--state", str(state), *words])
        return status, capsys.readouterr().out

    assert "6 entries, 2 answered, 2 may have run, 2 never sent" in run("show")[1]
    assert "1-3" in run("open")[1]
    assert "1 entries" in run("find", "id4")[1]
    assert "Whether it ran is not known here" in run("explain", "1-3")[1]
    assert run("explain", "none")[0] == 2
    assert len(run("export")[1].splitlines()) == 6
    assert run("verify") == (0, f"{state / 'ledger.sqlite'}: good\n")
    backup = tmp_path / "copy.sqlite"
    assert run("backup", str(backup))[0] == 0
    assert backup.stat().st_mode & 0o777 == 0o600
    (tmp_path / "list.csv").write_text(f"{HEADER}\n7,id3,h1,5\n")
    assert "1 entries settled as issued" in run("import", str(tmp_path / "list.csv"))[1]
    assert "1 entries, 1 may have run" in run("open")[1]
    status, printed = run("compact")
    # All entries are old enough (from 1970), but one may have run and is kept.
    assert (status, printed.split(",")[0]) == (0, "5 entries forgotten")
    assert "1 entries, 1 may have run" in run("show")[1]
    assert cli.main(["ledger", "--state", str(tmp_path / "none"), "show"]) == 2
    assert "there is no ledger" in capsys.readouterr().err


@asyncio_test
async def test_a_list_is_imported_while_the_gateway_runs(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(writer, "INBOX_INTERVAL_S", 0.05)
    store_with_entries(tmp_path / "state", 6).close()
    world = await LedgerRig().open(tmp_path / "state")
    (tmp_path / "list.csv").write_text(f"{HEADER}\n7,id3,h1,5\n7,id6,h9,5\n")
    words = ["ledger", "--state", str(tmp_path / "state"), "import", str(tmp_path / "list.csv")]
    assert await asyncio.get_running_loop().run_in_executor(None, cli.main, words) == 1
    printed = capsys.readouterr().out
    assert "1 entries settled as issued" in printed
    assert "contradiction: request id6" in printed
    caller = await world.rig.caller()
    caller.call("bill", number=b"new")
    assert await caller.replied() == [b"ok"]
    await world.ledger.stop()
    entries = LedgerReader(tmp_path / "state").entries().values()
    statuses = {entry.client_request_id: entry.status for entry in entries}
    assert (statuses["id3"], statuses["id6"], statuses["new"]) == (
        ExecutionStatus.RAN,
        ExecutionStatus.MAY_HAVE_RUN,
        ExecutionStatus.ANSWERED,
    )
    assert list((tmp_path / "state" / "inbox").iterdir()) == []
