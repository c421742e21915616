"""The public names of leases: metrics, state fields and replies of admin commands.

Operators' tools match them, so they must not change.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from async_testing import asyncio_test

from saffrongw.leases.component import LeasesComponent
from saffrongw.leases.table import LeasesTable, TaskTable, VoterTable
from saffrongw.leases.task_schedule import CallOutcome, TaskPhase

METRICS = {
    "leases": "held oldest_confirmation_ms since_majority_ms our_clock_is_wrong voters_not_believed"
    " set set_seen set_is_sealed holds asked gained renewed lost given_back refused late"
    " from_other_sets strange malformed queue_full",
    "tasks": "begun done failed unknown outrun late missed left_out clock_behind running waiting",
    "voter": "silent_ms standing turned_away granted refused expired released offered dropped",
}
STATE = (
    "gateway life set set_seen sealed voters is_voter silent_ms since_majority_ms standing clock"
    " not_believed given_back held leases tasks holds"
)
LEASE_ROW = "lease holder number left_ms tasks hold"
TASK_ROW = "task lease ours phase turn_now last_turn last_number last_end detail"


class FakeChannel:
    """A channel that loses every datagram."""

    def __init__(self) -> None:
        self.handlers: dict[int, Callable[[str, int, bytes], None]] = {}

    def set_addresses(self, _addresses: dict[str, tuple[str, int]]) -> None:
        """Ignore addresses."""

    def send(self, _receiver: str, _kind: int, _payload: bytes) -> None:
        """Lose a payload."""


def with_component(check: Callable[[LeasesComponent], None]) -> None:
    """Call ``check`` with the started component of a fleet of one voter and one task."""

    @asyncio_test
    async def run() -> None:
        table = LeasesTable(
            voter=(VoterTable("a", "127.0.0.1:1"),),
            task=(TaskTable(name="t", every_s=5.0, call="http://127.0.0.1:9/x"),),
        )
        channel = SimpleNamespace(
            table=SimpleNamespace(name="a"), incarnation=5, channel=FakeChannel()
        )
        component = LeasesComponent(table, channel)
        loop = asyncio.get_running_loop()
        await component.start(
            SimpleNamespace(loop=loop, is_successor=False, is_overloaded=lambda: False)
        )
        try:
            check(component)
        finally:
            await component.stop()

    run()


def test_metrics_have_the_names_of_released_versions_in_their_order():
    names = [f"{part}.{name}" for part, text in METRICS.items() for name in text.split()]
    with_component(lambda component: _equal([name for name, _ in component.metrics()], names))


def test_the_state_has_the_fields_of_released_versions():
    def check(component: LeasesComponent) -> None:
        state = component.state()
        assert list(state) == STATE.split()
        assert list(state["leases"][0]) == LEASE_ROW.split()
        assert list(state["tasks"][0]) == TASK_ROW.split()
        _, get = component.admin_commands()[b"/admin/leases"]
        assert list(json.loads(get(b"")[1])) == STATE.split()

    with_component(check)


def test_phases_and_outcomes_have_the_words_of_released_versions():
    assert [phase.value for phase in TaskPhase] == ["waiting", "noting", "running", "ending"]
    words = ["done", "failed", "unknown", "outrun", "late"]
    assert [outcome.value for outcome in CallOutcome] == words


@pytest.mark.parametrize(
    ("path", "body", "answer"),
    [
        ("release", "zz", (404, "no lease or task is called 'zz'")),
        (
            "release",
            "t",
            (409, "s14/16: held by nobody that this gateway knows of, not by this gateway"),
        ),
        ("hold", "{}", (400, "not a hold: KeyError('lease')")),
        ("hold", {"for_s": -5, "who": "z"}, (400, "not a hold: ValueError('for_s is no span')")),
        ("hold", {"for_s": 90, "who": "z"}, (200, "s14/16: on hold for 90 s; the voters are told")),
        ("hold", {"for_s": 0, "who": "z"}, (200, "s14/16: no longer on hold; the voters are told")),
        ("hold", {"for_s": 1e8, "who": "z"}, (400, "a hold ends within 7 days")),
    ],
)
def test_a_command_answers_in_the_words_of_released_versions(path, body, answer):
    text = body if isinstance(body, str) else json.dumps({"lease": "t", **body})
    status, line = answer

    def check(component: LeasesComponent) -> None:
        _, command = component.admin_commands()[f"/admin/leases/{path}".encode()]
        assert command(text.encode()) == (status, f"{line}\n".encode())

    with_component(check)


def _equal(found: list[str], expected: list[str]) -> None:
    assert found == expected
