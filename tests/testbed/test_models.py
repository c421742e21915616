"""The models of the testbed: arrivals, the host model, the registry and its agents, scenario files."""

from __future__ import annotations

import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

import toml_schema
from testbed.model import scenario
from testbed.model.arrivals import customers_of, digest, draw
from testbed.model.endpoint_model import Acceptance, HostModel, Job, Rack
from testbed.model.registry import Agent, Change, Line, Registry
from testbed.model.scenario import FAULTS, Fault, Hosts, Plan, Scenario, settings_of
from testbed.runner import runs

S, MS = 1_000_000, 1_000
FIGURES = Hosts(
    cores=2, speed=(1.0, 1.0), slots=4, queue=2, thrash=0.0, cold_from=0.25, cold_s=4.0, fall_s=2.0
)


def model(cold=False, rack=None, now=0, **changes) -> HostModel:
    return HostModel(dataclasses.replace(FIGURES, **changes), rack or Rack(), "seed", cold, now)


def job(request="r", work=1.0, key="", window=5 * S) -> Job:
    return Job(request, "c", key, window, work)


# -- arrivals --------------------------------------------------------------------------------------------


def test_equal_scenarios_give_equal_arrivals_and_another_seed_gives_others():
    day = Scenario("x", length_s=5)
    assert digest(draw(day)) == digest(draw(Scenario("x", length_s=5)))
    assert digest(draw(day)) != digest(draw(dataclasses.replace(day, seed=2)))


def test_the_arrivals_of_a_scenario_are_the_same_on_every_machine():
    """The digest is pinned: if it changes, the load of every scenario changes."""
    day = Scenario("pinned", seed=5, length_s=3, plan=(Plan("one", 5, 2.0, 5.0),))
    assert digest(draw(day)) == "cbe7c48a41d1f40b"


def test_a_heavy_customer_requests_the_configured_multiple_of_its_quota():
    day = Scenario(
        "x", length_s=200, plan=(Plan("p", 3, 5.0, 10.0, heavy=1, use=(0.2, 0.2), full=0.0),)
    )
    asked = [sum(a.customer.number == n for a in draw(day)) / 200 / 5.0 for n in (1, 2, 3)]
    assert asked[0] == pytest.approx(4.4, rel=0.1)
    assert asked[1:] == [pytest.approx(0.2, rel=0.35)] * 2


def test_a_burst_raises_the_rate_only_while_it_lasts():
    plan = (Plan("p", 50, 1.0, 5.0, use=(1.0, 1.0), full=0.0),)
    day = Scenario("x", length_s=30, plan=plan, fault=(Fault(10, "burst", for_s=10, times=2.5),))
    counts = [sum(lo * S <= a.at < (lo + 10) * S for a in draw(day)) for lo in (0, 10, 20)]
    assert counts[1] / counts[0] == pytest.approx(2.5, rel=0.2)
    assert counts[2] / counts[0] == pytest.approx(1.0, rel=0.2)


def test_requests_use_only_the_gateways_of_their_customer():
    day = Scenario("x", length_s=5, gateways=4)
    for arrival in draw(day):
        own = {(arrival.customer.first + n) % 4 for n in range(arrival.customer.spread)}
        assert {this.gateway for this in arrival.tries} <= own


def test_a_shift_changes_the_gateways_that_customers_prefer():
    plan = (Plan("p", 30, 20.0, 50.0, use=(1.0, 1.0), full=0.0, spread=(3, 3)),)
    slow = scenario.Clients(shift_s=(900.0, 900.0), skew=2.0)
    day = Scenario(
        "x", length_s=20, plan=plan, clients=slow, fault=(Fault(10, "shift", share=1.0),)
    )

    def shares(lo, hi):
        found = {}
        for a in draw(day):
            if lo * S <= a.at < hi * S:
                found.setdefault(a.customer.number, []).append(a.tries[0].gateway)
        return {n: max(map(g.count, set(g))) and max(set(g), key=g.count) for n, g in found.items()}

    before, mid, after = shares(0, 5), shares(5, 10), shares(10, 20)
    assert sum(before[n] != mid[n] for n in before) < sum(mid[n] != after[n] for n in mid)


def test_customer_numbers_are_unique_over_all_plans():
    numbers = [c.number for c in customers_of(Scenario("x"))]
    assert numbers == list(range(1, len(numbers) + 1))


# -- the host model --------------------------------------------------------------------------------------


def test_running_jobs_share_the_cores():
    host = model()
    for n in range(4):
        assert host.arrive(0, job(str(n), 1.0), False)[0] is Acceptance.STARTED
    assert host.advance(1_900 * MS) == []
    assert len(host.advance(2_001 * MS)) == 4


def test_jobs_wait_when_the_slots_are_full_and_are_refused_when_the_queue_is_full():
    host = model()
    outcomes = [host.arrive(0, job(str(n)), False)[0] for n in range(7)]
    assert outcomes == [Acceptance.STARTED] * 4 + [Acceptance.QUEUED] * 2 + [Acceptance.REFUSED]
    host.take_started_jobs()
    host.advance(2_100 * MS)
    assert [j.request for j in host.take_started_jobs()] == ["4", "5"]


def test_a_draining_host_refuses_new_jobs_and_finishes_running_ones():
    host = model()
    host.arrive(0, job("a"), False)
    assert host.arrive(0, job("b"), True)[0] is Acceptance.REFUSED
    assert [j.request for j in host.advance(2 * S)] == ["a"]


def test_the_capacity_of_a_cold_host_rises_linearly():
    host = model(cold=True)
    assert [host.ramp(n * S) for n in range(6)] == [0.25, 0.4375, 0.625, 0.8125, 1.0, 1.0]
    assert model().ramp(0) == 1.0


def test_overload_crashes_a_cold_host_but_not_a_warm_one():
    # Limit: capacity 0.5/s x fall_multiple 3 x fall_s 2 s = 3 s of work.
    cold, warm = model(cold=True), model()
    for n in range(7):
        for host in (cold, warm):
            host.arrive(0, job(str(n), 0.5), False)
        assert cold.crashed is (n >= 6)
    assert not warm.crashed


def test_refused_work_counts_towards_the_overload_of_a_cold_host():
    host = model(cold=True, slots=1, queue=0)
    for n in range(8):
        host.arrive(0, job(str(n), 0.5), False)
    assert host.crashed


def test_a_keyed_repeat_is_deduplicated_within_its_rack_and_window():
    rack = Rack()
    one, two, far = model(rack=rack), model(rack=rack), model()
    assert one.arrive(0, job("a", key="k"), False)[0] is Acceptance.STARTED
    assert two.arrive(S, job("b", key="k"), False) == (Acceptance.REPEAT, None)
    assert far.arrive(S, job("c", key="k"), False)[0] is Acceptance.STARTED
    (done,) = one.advance(1_100 * MS)
    one.record_value(done, 1_100 * MS, "value")
    assert [f.request for f in done.followers] == ["b"]
    assert two.arrive(5 * S - 1, job("d", key="k"), False) == (Acceptance.REPEAT, "value")
    assert two.arrive(5 * S, job("e", key="k"), False)[0] is Acceptance.STARTED


def test_a_queued_job_whose_connection_ended_never_runs_and_its_key_is_forgotten():
    host = model(slots=1)
    host.arrive(0, job("a"), False)
    waiting = job("b", key="k")
    host.arrive(0, waiting, False)
    assert host.cancel(waiting)
    host.advance(5 * S)
    assert [j.request for j in host.take_started_jobs()] == ["a"]
    assert host.arrive(5 * S, job("c", key="k"), False)[0] is Acceptance.STARTED


def test_a_running_job_continues_when_its_connection_ends():
    host = model()
    running = job("a")
    host.arrive(0, running, False)
    assert not host.cancel(running)
    assert host.advance(2 * S) == [running]


def test_load_reports_are_refreshed_once_a_period():
    host = model(report_period_ms=(500.0, 500.0))
    before = host.report
    host.arrive(0, job("a", 10.0), False)
    host.advance(400 * MS)
    assert host.report == before
    host.advance(501 * MS)
    assert "inflight=1" in host.report


@given(st.lists(st.tuples(st.integers(0, 300), st.floats(0.001, 0.5)), max_size=40), st.booleans())
def test_every_accepted_job_finishes_exactly_once(jobs, cold):
    host, now, done, taken = model(cold=cold, fall_multiple=1e9), 0, [], 0
    for number, (gap, work) in enumerate(jobs):
        now += gap * MS
        done += host.advance(now)
        taken += host.arrive(now, job(str(number), work), False)[0] is not Acceptance.REFUSED
    done += host.advance(now + 600 * S)
    assert len(done) == taken == len({j.request for j in done})
    assert host.due() is None


# -- registry --------------------------------------------------------------------------------------------


def test_a_watch_gets_changes_that_arrived_after_its_last_answer_even_older_versions():
    registry, agent = Registry(), Agent()
    agent.receive(registry.put(Line("a", "z", 1)))
    assert agent.whole()[0] == 1
    assert not agent.news(1)
    late, newer = registry.put(Line("b", "z", 1)), registry.health("a", "DRAINING")
    agent.receive(newer)
    seq, whole, lines = agent.since(1)
    assert (seq, whole, [line.health for line in lines]) == (3, False, ["DRAINING"])
    agent.receive(late)
    assert agent.news(3)
    assert [line.host for line in agent.since(3)[2]] == ["b"]


def test_a_deleted_host_is_reported_to_watches_and_missing_from_whole_lists():
    registry, agent = Registry(), Agent()
    agent.receive(registry.put(Line("a", "z", 1)))
    agent.whole()
    agent.receive(registry.health("a", "DELETED"))
    assert agent.since(1)[2][0].health == "DELETED"
    assert agent.whole()[2] == ()
    assert registry.lines == {}


def test_an_unknown_index_gets_the_whole_list():
    agent = Agent()
    agent.receive(Change(4, Line("a", "z", 1)))
    assert agent.since(99)[1] is True


def test_a_shrunk_list_is_whole_and_omits_the_hidden_hosts():
    agent = Agent()
    for number, name in enumerate("ab", 1):
        agent.receive(Change(number, Line(name, "z", 1)))
    agent.whole()
    agent.hidden, agent.shrunk = frozenset("a"), True
    assert agent.news(2)
    assert [line.host for line in agent.since(2)[2]] == ["b"]


def test_an_agents_log_is_bounded():
    agent = Agent()
    for number in range(5000):
        agent.receive(Change(number, Line("a", "z", 1)))
    assert len(agent.log) == 2000
    assert agent.count == 5000


# -- scenarios -------------------------------------------------------------------------------------------


def test_every_scenario_of_the_repository_loads_and_every_fault_kind_occurs():
    loaded = [scenario.load(scenario.named(name)) for name in runs.names()]
    assert len(loaded) >= 14
    played = {fault.kind for s in loaded for fault in s.fault}
    assert played == set(FAULTS)
    assert all(s.name == path.stem for s in loaded for path in [scenario.named(s.name)])


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "s.toml:1: the key 'name' is missing"),
        ('name = "x"\nlength = 3\n', "s.toml:2: length: unknown key; did you mean 'length_s'?"),
        (
            'name = "x"\n[[fault]]\nat = 1\nkind = "kil"\n',
            "s.toml:4: fault[0].kind: 'kil' is not one of kill,",
        ),
        (
            'name = "x"\nlength_s = 5\n[[fault]]\nat = 9\nkind = "kill"\n',
            "fault[0] begins at 9 s, after the end",
        ),
        (
            'name = "x"\n[[fault]]\nat = 1\nkind = "kill"\ngateways = [3]\n',
            "fault[0] names gateway 3, there are 3",
        ),
        (
            'name = "x"\n[[fault]]\nat = 1\nkind = "host_dies"\nhosts = [10]\n',
            "fault[0] names host 10",
        ),
        ('name = "x"\n[hosts]\ncores = 0\n', "s.toml:3: hosts.cores: 0 is out of range"),
        ('name = "x"\nplan = []\n', "at least one class and one plan"),
    ],
)
def test_an_invalid_scenario_gives_a_one_line_error(tmp_path, text, expected):
    (tmp_path / "s.toml").write_text(text)
    with pytest.raises(toml_schema.SchemaError) as wrong:
        scenario.load(tmp_path / "s.toml")
    assert expected in str(wrong.value)
    assert "\n" not in str(wrong.value)


def test_an_unknown_scenario_name_gives_an_error_that_lists_the_known_ones():
    with pytest.raises(toml_schema.SchemaError, match=r"there are: .*calm"):
        scenario.named("calmm")


def test_a_gateway_can_parse_the_settings_of_a_scenario():
    from saffrongw.policy.settings_schema import parse_settings

    day = Scenario("x")
    read = parse_settings(json.dumps(settings_of(day, 1)).encode())
    assert (read.node_index, read.node_count, len(read.classes), len(read.plans)) == (1, 3, 3, 2)
    amplio, plan = read.plans[1], day.plan[1]
    assert amplio.ceiling_rate == plan.rate * plan.ceiling
    assert amplio.ceiling_slack == scenario.slack(plan)
    assert read.slow_start_duration_us == day.hosts.cold_s * S
    assert settings_of(day, 0)["rank"] == 0
