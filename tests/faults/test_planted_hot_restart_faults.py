"""The hot restart tests fail for each planted fault and pass without one."""

from __future__ import annotations

import contextlib
import os
import signal
from pathlib import Path

import pytest

from tests.faults import test_hot_restart as hot_restart
from tests.faults import test_hot_restart_admin_calls as admin_calls
from tests.faults.hot_restart_rig import GatewayProcess
from tests.faults.hot_restart_variants import VARIANTS

# variant -> the test that catches it, and how that test fails
PLANTED = {
    "forgets-quota-counters": (
        hot_restart.test_quota_counters_and_exclusions_survive_a_hot_restart,
        AssertionError,
    ),
    "drops-partial-commands": (
        hot_restart.test_idle_busy_and_partly_read_connections_survive_a_hot_restart_and_none_is_refused,
        AssertionError,
    ),
    "serves-although-replaced": (
        hot_restart.test_a_replaced_successor_ends_without_serving,
        TimeoutError,
    ),
    "keeps-calls-from-the-old-process": (
        admin_calls.test_the_old_process_retries_at_no_endpoint_excluded_at_its_successor,
        AssertionError,
    ),
    "relays-no-calls": (
        admin_calls.test_calls_pass_the_serving_process_in_both_directions_of_two_hot_restarts_in_a_row,
        TimeoutError,
    ),
}


@pytest.fixture
def run_variant(monkeypatch):
    """Have the rig start a variant in place of the program, and kill the started processes after the test."""
    started: list[GatewayProcess] = []
    monkeypatch.setattr(GatewayProcess, "started", started)

    def select(name: str) -> None:
        command = ("-m", "tests.faults.hot_restart_variants", name)
        monkeypatch.setattr(GatewayProcess, "COMMAND", command)

    yield select
    for gateway in started:
        # The test's event loop is closed, so asyncio can't end and reap the process.
        if gateway.process.returncode is None:
            os.kill(gateway.process.pid, signal.SIGKILL)
            with contextlib.suppress(ChildProcessError):
                os.waitpid(gateway.process.pid, 0)


@pytest.mark.parametrize("variant", PLANTED)
def test_each_planted_fault_fails_the_test_that_is_for_it(variant, run_variant, tmp_path: Path):
    catching_test, failure = PLANTED[variant]
    run_variant(variant)
    with pytest.raises(failure):
        catching_test(tmp_path)


@pytest.mark.parametrize("variant", PLANTED)
def test_the_same_tests_pass_without_a_fault(variant, run_variant, tmp_path: Path):
    run_variant("no-fault")
    PLANTED[variant][0](tmp_path)


def test_every_variant_is_run():
    assert set(VARIANTS) == {*PLANTED, "no-fault"}
