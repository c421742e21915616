"""Leases of real gateway processes under faults: the lease rules hold, and the checker catches planted faults."""

from __future__ import annotations

import dataclasses

import pytest
import uvloop
from variants import LEASES

from testbed.checker.lease_rules import (
    LeaseStatement,
    Observations,
    ProcessPause,
    ReceivedCall,
    judge,
)
from testbed.model.lease_day import LeaseDay, LeaseFault, drawn
from testbed.runner.lease_world import LeaseWorld, line_of, play

CUT = LeaseFault("split", 3.0, 4.0)  # hits the gateway that holds the first task's lease then
ALONE = LeaseDay(11, 5, 3, faults=(CUT,), length_s=9.0, voters_stand=False)
PLANTED = {
    "believes-its-lease-for-ever": (ALONE, "one holder"),
    "works-without-asking-its-token": (ALONE, "call outside"),
    "lowers-its-fencing-token": (ALONE, "numbers"),
    "counts-a-voter-twice": (
        LeaseDay(
            12,
            *(6, 3),
            faults=(
                LeaseFault("double", 1.0, 8.0, size=1.0),
                LeaseFault("split", 2.0, 6.0, (0, 3, 4)),
            ),
            length_s=9.0,
            voters_stand=False,
        ),
        "one holder",
    ),
    "forgets-to-be-silent": (
        LeaseDay(
            13,
            *(8, 3),
            span_s=6.0,  # long enough that restarted voters are back before a lease expires, on slow machines too
            faults=(LeaseFault("split", 8.0, 6.0), LeaseFault("voters", 8.1, 0.05, (0, 1, 2))),
            length_s=14.5,
            voters_stand=False,
            settles=False,
        ),
        "one holder",
    ),
}


def played(day: LeaseDay, folder, lines=None, fences=True):
    verdict, world = uvloop.run(play(day, folder, lines, fences))
    assert not world.crashes()
    return verdict, world


@pytest.mark.parametrize("seed", range(8))
def test_no_two_holders_on_days_of_mixed_faults(seed, tmp_path):
    verdict, _ = played(drawn(seed), tmp_path)
    assert verdict.findings == []
    assert verdict.tenures >= 2
    assert verdict.calls > 20
    assert verdict.spans > 50


@pytest.mark.parametrize("variant", PLANTED)
def test_each_planted_fault_is_caught_and_named(variant, tmp_path):
    day, rule = PLANTED[variant]
    line = line_of("tests.faults.variants", variant)
    verdict, _ = played(day, tmp_path, dict.fromkeys(range(day.gateways), line), fences=False)
    assert rule in verdict.rules()
    named = [one for one in verdict.findings if one.rule == rule]
    assert all(one.what.count("n") >= 2 for one in named)
    # A gateway that works without a token is found when a lease first migrates, which needs no fault.
    assert variant == "works-without-asking-its-token" or any(
        "split" in one.during for one in named
    )


@pytest.mark.parametrize("variant", PLANTED)
def test_the_unmodified_gateway_passes_the_same_scenarios(variant, tmp_path):
    verdict, _ = played(PLANTED[variant][0], tmp_path)
    assert verdict.findings == []


def test_every_variant_is_tested():
    assert set(LEASES) == set(PLANTED)


class ArmedLeaseWorld(LeaseWorld):
    """Lets gateways be killed only after all of them answer; one killed earlier would fail the start of the run."""

    async def open(self) -> None:
        await super().open()
        (self.folder / "go").touch()


def test_when_a_gateway_is_killed_at_any_step_of_a_grant_another_takes_over(tmp_path):
    """Twelve gateways are each killed at a different step, and two run on."""
    steps = range(1, 13)
    day = LeaseDay(
        14, 3 + len(steps) + 2, 3, length_s=14.0, span_s=0.6, voters_stand=False, tasks=2
    )
    go = str(tmp_path / "go")
    lines = {
        3 + n: line_of("tests.faults.variants", "killed-at", str(step), go)
        for n, step in enumerate(steps)
    }

    async def run():
        world = ArmedLeaseWorld(day, tmp_path, lines)
        try:
            seen = await world.run()
            ended = [g.number for g in world.gateways if g.process.returncode is not None]
        finally:
            await world.close()
        return seen, ended

    seen, ended = uvloop.run(run())
    verdict = judge(seen)
    assert verdict.findings == []
    assert len(ended) >= 9
    assert set(ended) <= set(lines)


# -- the checker itself ------------------------------------------------------------------------


def stated(gateway: str, at: int, *held: tuple[str, int, int], given: int = 0) -> LeaseStatement:
    return LeaseStatement(at, at + 1_000, gateway, "1", held, given)


S = 1_000_000
HELD = [
    stated("n0", 10 * S, ("s0/1", 5, S)),
    stated("n0", 11 * S),
    stated("n1", 12 * S, ("s0/1", 6, S)),
    stated("n1", 13 * S, ("s0/1", 6, S)),
]


def test_the_checker_passes_holders_that_follow_each_other():
    assert judge(Observations(stated=HELD)).findings == []


def test_the_checker_finds_a_holding_that_lasts_while_its_holder_is_stopped():
    late = [stated("n0", 9 * S, ("s0/1", 5, 9 * S)), stated("n0", 14 * S), *HELD[2:]]
    found = judge(Observations(stated=late, faults=[(9 * S, 14 * S, "stop of n0")])).findings
    assert [one.rule for one in found] == ["one holder"]
    assert "n0" in found[0].what
    assert "n1" in found[0].what
    assert found[0].during == "stop of n0"
    back = [late[0], dataclasses.replace(late[1], given=1), *late[2:]]
    assert judge(Observations(stated=back)).findings == []


def test_the_checker_finds_tokens_that_fall_and_late_calls():
    fell = [*HELD[2:], stated("n2", 15 * S, ("s0/1", 4, S))]
    assert {one.rule for one in judge(Observations(stated=fell)).findings} == {"numbers"}
    seen = Observations(stated=HELD, lease_of={"t": "s0/1"})
    seen.calls = [
        ReceivedCall(13 * S, "t", 2, 6, "n1/1", True),
        ReceivedCall(13 * S + 1, "t", 2, 5, "n0/1", True),
    ]
    assert {one.rule for one in judge(seen).findings} == {"older number", "call outside"}
    seen.still = [ProcessPause("n0", 11 * S, 13 * S)]
    seen.calls[1] = dataclasses.replace(seen.calls[1], accepted=False)
    verdict = judge(seen)
    assert verdict.findings == []
    assert verdict.older_arrived == 1


def test_the_checker_finds_a_lease_without_holder_at_the_end():
    seen = Observations(stated=HELD, lease_of={"t": "s0/1"}, finished=20 * S)
    assert [one.rule for one in judge(seen).findings] == ["service"]
