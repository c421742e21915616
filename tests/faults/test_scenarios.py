"""The gateway passes every scenario, and stalls of the machine are never attributed to it."""

from __future__ import annotations

import asyncio
import shlex
import sys
import time

import pytest
import uvloop

import toml_schema
from testbed.checker.rules import judge
from testbed.model.scenario import Scenario, load, named
from testbed.runner import runs
from testbed.runner.world import World


@pytest.mark.parametrize("name", runs.names(only_ci=True))
def test_the_gateway_passes(name, tmp_path):
    done = runs.run(load(named(name)), tmp_path)
    assert [f for f in done.verdict.findings if f.certain] == []
    assert done.verdict.outcome == "passed"
    assert done.verdict.totals["served"] > 0


SHORT = 'name = "stolen"\nlength_s = 6\n'


async def run_with_stall(scenario: Scenario, folder, line: str | None):
    """A run in which the testbed's event loop is blocked for a second."""
    folder.mkdir(exist_ok=True)
    world = World(scenario, folder, line)

    async def block_event_loop() -> None:
        await asyncio.sleep(2.5)
        time.sleep(1.0)

    try:
        blocker = asyncio.ensure_future(block_event_loop())
        log = await world.run()
        await blocker
    finally:
        await world.close()
    return log


@pytest.mark.parametrize(
    "text", [SHORT, SHORT + '[[fault]]\nat = 1\nkind = "deploy"\nfor_s = 3\ndrain_s = 2\n']
)
def test_a_stall_of_the_testbed_is_no_fault_of_the_gateway(text, tmp_path):
    scenario = toml_schema.loads(Scenario, text)
    verdict = judge(scenario, uvloop.run(run_with_stall(scenario, tmp_path, None)))
    assert verdict.late > 900_000
    assert verdict.outcome in ("passed", "inconclusive")


def test_a_real_fault_is_found_despite_a_stall_of_the_testbed(tmp_path):
    scenario = toml_schema.loads(Scenario, SHORT)
    line = f"exec {shlex.quote(sys.executable)} -m tests.faults.variants serves-foreign-values"
    verdict = judge(scenario, uvloop.run(run_with_stall(scenario, tmp_path, line)))
    assert verdict.outcome == "broken"
    assert verdict.rules() == {"answer"}


def test_a_run_that_is_inconclusive_is_played_again_a_few_times_at_most(tmp_path, monkeypatch):
    asked = []

    def always(scenario, log):
        verdict = judge(scenario, log)
        verdict.outcome = "inconclusive"
        asked.append(verdict)
        return verdict

    monkeypatch.setattr(runs, "judge", always)
    scenario = toml_schema.loads(Scenario, 'name = "short"\nlength_s = 1\n')
    assert runs.run(scenario, tmp_path).tries == len(asked) == runs.MAX_TRIES


def test_a_gateway_that_does_not_start_is_reported_in_one_line(tmp_path):
    scenario = toml_schema.loads(Scenario, 'name = "short"\nlength_s = 1\n')
    with pytest.raises(RuntimeError, match=r"gateway n. ended with 7: no such thing"):
        runs.run(scenario, tmp_path, "echo no such thing; exit 7")


@pytest.mark.parametrize(
    "faults",
    [
        # Two overlapping deploys, and hosts that die during them.
        '[[fault]]\nat = 0.5\nkind = "deploy"\nfor_s = 2\ndrain_s = 1\n'
        '[[fault]]\nat = 1\nkind = "deploy"\nfor_s = 2\ndrain_s = 1\n'
        '[[fault]]\nat = 1.2\nkind = "host_dies"\nshare = 0.5\nfor_s = 1\n',
        # A gateway is killed while another fault restarts it.
        '[[fault]]\nat = 0.5\nkind = "kill"\ngateways = [0]\nfor_s = 1\n'
        '[[fault]]\nat = 0.7\nkind = "restart"\ngateways = [0, 1]\nfor_s = 0.3\n'
        '[[fault]]\nat = 0.9\nkind = "kill"\ngateways = [0, 1]\nfor_s = 0.3\n',
    ],
)
def test_faults_that_overlap_are_played(faults, tmp_path):
    done = runs.run(
        toml_schema.loads(Scenario, 'name = "overlap"\nlength_s = 6\n' + faults), tmp_path
    )
    assert [f for f in done.verdict.findings if f.certain] == []
    assert done.verdict.totals["served"] > 0
