"""The checker on hand-made records: limits of each rule, accepted explanations, and stalls of the testbed."""

from __future__ import annotations

import pytest

from testbed.checker.record import (
    Answered,
    Attempt,
    Began,
    Closed,
    Effect,
    Extra,
    Finished,
    GatewayEvent,
    HostEvent,
    Late,
    Log,
    Made,
    Sent,
    Starved,
    Told,
    Turned,
)
from testbed.checker.rules import SOCKET_ALLOWANCE_US, judge
from testbed.model.scenario import Hosts, Plan, Scenario, slack

MS, S = 1_000, 1_000_000
# Customer 1 has the plan "free", customer 2 the plan "bound".
SCENARIO = Scenario(
    "by-hand",
    length_s=60,
    plan=(
        Plan("free", 1, 0.01, 1000.0, use=(0.0, 0.0), full=0.0),
        Plan("bound", 1, 1.0, 5.0, ceiling=2.0, use=(0.0, 0.0), full=0.0),
    ),
    hosts=Hosts(count=3, cold_s=10.0, fall_s=2.0, fall_multiple=3.0),
)
SAFE, KEYED, UNSAFE = "sheet-read", "test-upload", "report-issue"


class Day:
    """The log of a run with one running gateway, to which a test adds its records."""

    def __init__(self, *records, scenario=SCENARIO) -> None:
        self.scenario = scenario
        self.records = [
            GatewayEvent(0, 0, "start"),
            Told(1, 0, 1, True, (("h1", "SERVING", 0), ("h2", "SERVING", 0), ("h3", "SERVING", 0))),
            GatewayEvent(2, 0, "ready"),
            Began(10),
            *records,
        ]

    def judged(self):
        return judge(self.scenario, Log([*self.records, Finished(50 * S)]))

    def found(self) -> list[tuple[str, bool]]:
        return [(f.rule, f.certain) for f in self.judged().findings]


def sent(at=S, request="r1", wait=2 * S, conn=1, reused=False, cls=SAFE, customer=1, plan="free"):
    return Sent(at, request, 1, 0, 0, conn, reused, customer, plan, cls, 1.0, wait, "k", 0, 1)


def attempt(
    at=S + MS, request="r1", host="h1", rack=0, cls=SAFE, conn=7, customer=1, plan="free", **more
):
    fields = {"life": 1, "work": 0.05, "capacity": 2.0, "gateway": 0, "began": at} | more
    began = fields.pop("began")
    return Attempt(
        began, at, request, fields["gateway"], host, fields["life"], rack, cls, "k", customer, plan, 1.0,
        fields["work"], fields["capacity"], conn,
    )  # fmt: skip


def served(at=S + 100 * MS, request="r1", conn=1, value="v"):
    return Answered(at, request, 0, conn, "served", value)


def refused(at=S + 100 * MS, request="r1", conn=1):
    return Answered(at, request, 0, conn, "refused")


def made(at=S + 90 * MS, request="r1", host="h1", value="v"):
    return Made(at, request, host, value)


def test_a_served_request_is_good():
    assert Day(sent(), attempt(), made(), served()).judged().outcome == "passed"


# -- exactly one final answer in time --------------------------------------------------------------------


def test_an_answer_counts_as_late_only_past_the_sockets_allowance():
    due = S + 2 * S
    assert Day(sent(), refused(due + SOCKET_ALLOWANCE_US)).found() == []
    assert Day(sent(), refused(due + SOCKET_ALLOWANCE_US + 1)).found() == [("answer", True)]


@pytest.mark.parametrize(
    "slow", [Late(2 * S, 2 * S + 500 * MS), Starved(2 * S, 2 * S + 500 * MS, 0, 400 * MS)]
)
def test_lateness_that_the_machine_may_have_caused_is_inconclusive(slow):
    late = refused(S + 2 * S + SOCKET_ALLOWANCE_US + 300 * MS)
    assert Day(sent(), slow, late).judged().outcome == "inconclusive"
    assert Day(sent(), late).judged().outcome == "broken"


def test_lateness_beyond_the_machines_delay_is_certain():
    slow = Late(2 * S, 2 * S + 100 * MS)
    assert (
        Day(sent(), slow, refused(S + 2 * S + SOCKET_ALLOWANCE_US + 300 * MS)).judged().outcome
        == "broken"
    )


def test_a_delay_at_another_time_excuses_nothing():
    slow = Late(20 * S, 22 * S)
    assert (
        Day(sent(), refused(S + 2 * S + SOCKET_ALLOWANCE_US + 300 * MS), slow).judged().outcome
        == "broken"
    )


def test_another_gateways_wait_for_a_core_excuses_nothing():
    slow = Starved(2 * S, 3 * S, 1, S)
    assert (
        Day(sent(), slow, refused(S + 2 * S + SOCKET_ALLOWANCE_US + 300 * MS)).judged().outcome
        == "broken"
    )


def test_no_answer_is_found():
    gave_up = Closed(S + 2 * S + 400 * MS, "r1", 0, 1, "gave_up", False, False)
    assert Day(sent(), gave_up).found() == [("answer", True)]


def test_a_gateway_that_was_stopped_is_not_blamed_and_one_that_went_on_in_time_is():
    gave_up = Closed(S + 2 * S + 400 * MS, "r1", 0, 1, "gave_up", False, False)
    stop = GatewayEvent(S + 500 * MS, 0, "stop")
    assert Day(sent(), stop, GatewayEvent(4 * S, 0, "cont"), gave_up).found() == []
    assert Day(sent(), stop, GatewayEvent(S + 600 * MS, 0, "cont"), gave_up).found() == [
        ("answer", True)
    ]


def test_a_client_that_disconnected_needs_no_answer():
    assert (
        Day(sent(), attempt(), Closed(S + 5 * MS, "r1", 0, 1, "left", False, False)).found() == []
    )


def test_an_answer_sent_while_the_client_closes_is_no_fault():
    """The gateway answered while the client closed the connection, so the client recorded only its own close."""
    day = Day(sent(), attempt(), made(), Closed(S + 95 * MS, "r1", 0, 1, "left", False, False))
    assert day.found() == []


def test_a_request_sent_while_an_idle_connection_closes_may_be_sent_again():
    crossed = Closed(S + MS, "r1", 0, 1, "gateway", True, False)
    day = Day(
        sent(reused=True),
        crossed,
        sent(S + 2 * MS, conn=2),
        attempt(S + 3 * MS),
        made(),
        served(conn=2),
    )
    assert day.found() == []


def test_a_close_after_the_request_went_to_a_host_is_found():
    closed = Closed(S + 50 * MS, "r1", 0, 1, "gateway", True, False)
    assert Day(sent(reused=True), attempt(), closed).found() == [("answer", True)]


def test_a_close_on_the_first_request_of_a_connection_loses_it():
    assert Day(sent(), Closed(S + MS, "r1", 0, 1, "gateway", False, False)).found() == [
        ("answer", True)
    ]


def test_what_a_killed_gateway_held_is_the_clients_to_retry():
    day = Day(
        sent(),
        attempt(),
        GatewayEvent(S + 20 * MS, 0, "kill"),
        Closed(S + 21 * MS, "r1", 0, 1, "gateway", False, False),
        GatewayEvent(S + 22 * MS, 0, "exit", "-9"),
    )
    assert day.found() == []


def test_what_a_gateway_left_behind_on_sigterm_is_lost():
    day = Day(
        sent(),
        attempt(),
        GatewayEvent(S + 20 * MS, 0, "term"),
        GatewayEvent(S + 500 * MS, 0, "exit", "0"),
        Closed(S + 500 * MS, "r1", 0, 1, "gateway", False, False),
    )
    assert day.found() == [("answer", True)]


def test_a_kill_before_the_request_excuses_nothing():
    day = Day(
        GatewayEvent(100, 0, "kill"),
        GatewayEvent(200, 0, "exit", "-9"),
        GatewayEvent(300, 0, "start"),
        sent(),
        Closed(S + MS, "r1", 0, 1, "gateway", False, False),
    )
    assert day.found() == [("answer", True)]


def test_two_answers_and_bytes_behind_one_are_found():
    day = Day(sent(), attempt(), made(), served(), Extra(S + 200 * MS, 0, 1, "r1", "x"))
    assert day.found() == [("answer", True)]
    assert Day(sent(), attempt(), made(), served(), served(S + 150 * MS)).found() == [
        ("answer", True)
    ]


def test_a_value_that_no_host_made_for_the_request_is_found():
    assert Day(sent(), attempt(), made(request="r2"), served()).found() == [("answer", True)]
    assert Day(sent(), attempt(), made(value="w"), served()).found() == [("answer", True)]
    assert Day(sent(), attempt(), served(), made(at=S + 200 * MS)).found() == [("answer", True)]


def test_a_send_after_the_final_answer_is_found_past_the_allowance():
    assert Day(sent(), attempt(), refused(), attempt(S + 140 * MS, conn=8)).found() == []
    assert Day(sent(), attempt(), refused(), attempt(S + 160 * MS, conn=8)).found() == [
        ("answer", True)
    ]


# -- no effect twice -------------------------------------------------------------------------------------


def test_an_unsafe_request_goes_again_only_after_it_was_turned_away():
    first, second = attempt(cls=UNSAFE), attempt(S + 50 * MS, cls=UNSAFE, host="h2", conn=8)
    assert Day(sent(cls=UNSAFE), first, Turned(S + 2 * MS, "r1", "h1", 7), second).found() == []
    assert Day(sent(cls=UNSAFE), first, second).found() == [("effect", True)]


def test_an_attempt_that_never_came_whole_never_ran():
    part = attempt(-1, cls=UNSAFE, began=S)
    assert Day(sent(cls=UNSAFE), part, attempt(S + 50 * MS, cls=UNSAFE, conn=8)).found() == []


def test_two_copies_of_a_keyed_request_in_different_racks_are_found():
    first = attempt(cls=KEYED, rack=1)
    assert Day(sent(cls=KEYED), first, attempt(S + 9 * MS, cls=KEYED, rack=1, conn=8)).found() == []
    assert Day(sent(cls=KEYED), first, attempt(S + 9 * MS, cls=KEYED, rack=2, conn=8)).found() == [
        ("effect", True)
    ]


def test_the_window_of_a_keyed_request_closes_with_the_allowance_of_the_sockets():
    window = 5 * S
    for over, found in (
        (-1, []),
        (SOCKET_ALLOWANCE_US - 1, []),
        (SOCKET_ALLOWANCE_US, [("effect", True)]),
    ):
        again = attempt(S + MS + window + over, cls=KEYED, conn=8)
        assert Day(sent(cls=KEYED, wait=9 * S), attempt(cls=KEYED), again).found() == found


def test_a_refusal_of_what_may_have_run_is_found_unless_repeats_are_harmless():
    for cls, found in ((UNSAFE, [("effect", True)]), (KEYED, [("effect", True)]), (SAFE, [])):
        assert Day(sent(cls=cls), attempt(cls=cls), refused()).found() == found
    assert Day(sent(cls=UNSAFE), refused()).found() == []


def test_an_effect_seen_twice_is_found_whatever_the_attempts_say():
    twice = [Effect(S + n, "r1", f"h{n}", 1, UNSAFE, "") for n in (1, 2)]
    assert Day(sent(cls=UNSAFE), *twice).found() == [("effect", True)]
    assert Day(sent(), *(Effect(S + n, "r1", f"h{n}", 1, SAFE, "") for n in (1, 2))).found() == []


# -- drains ----------------------------------------------------------------------------------------------


def told(at, state="DRAINING", seq=5, host="h1"):
    return Told(at, 0, seq, False, ((host, state, 0),))


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_drains_have_one_second_of_grace(state):
    day = [told(S, state), sent()]
    assert Day(*day, attempt(S)).found() == []  # sent at the moment of the update
    assert Day(*day, attempt(2 * S + SOCKET_ALLOWANCE_US)).found() == []
    assert Day(*day, attempt(2 * S + SOCKET_ALLOWANCE_US + 1)).found() == [("drain", True)]


def test_a_send_counts_from_its_first_byte():
    assert Day(told(S), sent(), attempt(3 * S, began=2 * S)).found() == []


def test_a_host_left_out_of_a_whole_list_is_gone():
    whole = Told(S, 0, 5, True, (("h2", "SERVING", 0),))
    assert Day(whole, sent(), attempt(3 * S)).found() == [("drain", True)]
    assert Day(whole, sent(), attempt(3 * S, host="h2")).found() == []


def test_a_host_that_serves_again_may_be_used():
    assert Day(told(S), told(2 * S, "SERVING", 6), sent(), attempt(4 * S)).found() == []


def test_older_updates_are_ignored():
    assert Day(told(S), told(2 * S, "SERVING", 4), sent(), attempt(4 * S)).found() == [
        ("drain", True)
    ]


def test_a_restarted_gateway_knows_only_its_initial_list():
    day = Day(
        told(S),
        GatewayEvent(2 * S, 0, "kill"),
        GatewayEvent(2 * S + 1, 0, "exit", "-9"),
        GatewayEvent(3 * S, 0, "start"),
        Told(3 * S + 1, 0, 1, True, (("h1", "SERVING", 0),)),
        sent(6 * S),
        attempt(6 * S),
    )
    assert day.found() == []
    assert Day(*day.records[4:], attempt(7 * S, host="h2")).found() == [("drain", True)]


def test_a_stall_of_the_testbed_makes_a_drain_uncertain():
    late = Late(2 * S, 2 * S + 600 * MS)
    assert Day(told(S), late, sent(), attempt(2 * S + SOCKET_ALLOWANCE_US + 500 * MS)).found() == [
        ("drain", False)
    ]


def test_a_host_that_was_never_named_is_found():
    assert Day(sent(), attempt(host="h9")).found() == [("drain", True)]


# -- cold hosts ------------------------------------------------------------------------------------------


def cold_day(work, known=True):
    news = [Told(S, 0, 5, False, (("h4", "SERVING", 1000),))] if known else []
    up = HostEvent(S, "h4", 1, "up", "rack 0 cold")
    # Capacity 0.5 times fall_multiple 3 over 2 s: the host may get 3 s of work in any 2 s.
    loads = [
        attempt(S + n * 100 * MS, f"q{n}", "h4", conn=n, work=work, capacity=0.5)
        for n in range(1, 11)
    ]
    return Day(up, *news, *loads)


def test_a_cold_host_may_get_its_budget_and_not_more():
    assert cold_day(0.3).found() == []
    assert cold_day(0.31).found() == [("cold", True)]


def test_a_gateway_that_was_not_told_of_a_start_is_not_blamed():
    assert "cold" not in {rule for rule, _ in cold_day(0.5, known=False).found()}


def test_a_warm_host_may_be_loaded():
    up = HostEvent(S, "h1", 1, "up", "rack 0")
    loads = [attempt(S + n * MS, f"q{n}", conn=n, work=5.0, capacity=2.0) for n in range(1, 11)]
    assert Day(up, *loads).found() == []


# -- ceilings and quotas ---------------------------------------------------------------------------------


def use_of(number, gap=0, **more):
    return [
        record
        for n in range(number)
        for record in (
            sent(S + n * gap, f"q{n}", customer=2, plan="bound"),
            attempt(S + n * gap + 1, f"q{n}", customer=2, plan="bound", conn=n, **more),
        )
    ]


def test_a_ceiling_has_its_burst_and_its_slack():
    plan = SCENARIO.plan[1]
    most = int(plan.burst * plan.ceiling + slack(plan) + 0.15 * plan.rate * plan.ceiling)
    assert "ceiling" not in Day(*use_of(most)).judged().rules()
    assert "ceiling" in Day(*use_of(most + 1)).judged().rules()


def test_a_ceiling_fills_at_its_rate():
    assert "ceiling" not in Day(*use_of(40, gap=S // 2)).judged().rules()
    assert "ceiling" in Day(*use_of(60, gap=S // 4)).judged().rules()


def test_lateness_excuses_a_small_overdraft_of_a_ceiling_and_not_a_large_one_after_it():
    """The first overdraft of a gateway without limits is small; only later ones are larger than delays explain."""
    late = Late(S - 500 * MS, S)
    small = Day(late, *use_of(12)).judged()
    assert [(f.rule, f.certain) for f in small.findings if f.rule == "ceiling"] == [
        ("ceiling", False)
    ]
    large = Day(late, *use_of(30)).judged()
    assert [(f.rule, f.certain) for f in large.findings if f.rule == "ceiling"] == [
        ("ceiling", True)
    ]


def test_lateness_long_ago_still_excuses_an_overdraft_that_lasts():
    """While a customer keeps using its full rate, its token bucket can't recover from an earlier overdraft."""
    late = Late(S - 500 * MS, S)
    at_its_rate = [
        record
        for n in range(1, 25)
        for record in (
            sent(S + n * S // 2, f"r{n}", customer=2, plan="bound"),
            attempt(S + n * S // 2 + 1, f"r{n}", customer=2, plan="bound", conn=100 + n),
        )
    ]
    lasting = Day(late, *use_of(12), *at_its_rate).judged()
    assert [(f.rule, f.certain) for f in lasting.findings if f.rule == "ceiling"] == [
        ("ceiling", False)
    ]


def test_further_attempts_take_no_units():
    day = Day(
        *use_of(8),
        *(attempt(S + 99, "q1", customer=2, plan="bound", conn=90 + n) for n in range(30)),
    )
    assert "ceiling" not in day.judged().rules()


def test_a_quota_is_broken_beyond_the_stated_slack_and_use_inside_it_is_not():
    slow = Day(*use_of(40, gap=S)).judged()
    assert slow.rules() == set()
    use = next(u for u in slow.uses if u.customer == 2)
    assert (use.sent, use.beyond) == (40, 0)
    fast = Day(*use_of(70, gap=S // 2)).judged()
    assert fast.rules() == {"quota"}


def test_a_restart_allows_one_burst_more():
    lives = [GatewayEvent(3 * S, 0, "kill"), GatewayEvent(3 * S + 1, 0, "exit", "-9")]
    again = [GatewayEvent(4 * S, 0, "start"), Told(4 * S, 0, 1, True, (("h1", "SERVING", 0),))]
    plain = next(u for u in Day(*use_of(1)).judged().uses if u.customer == 2)
    restarted = next(u for u in Day(*use_of(1), *lives, *again).judged().uses if u.customer == 2)
    assert restarted.allowed_beyond == plain.allowed_beyond + SCENARIO.plan[1].burst


def test_records_after_the_end_of_a_run_are_not_judged():
    """The testbed closes its connections after a run; these closes were once attributed to the gateway."""
    day = Day(
        sent(49 * S),
        attempt(49 * S),
        Finished(50 * S),
        Closed(50 * S + 1, "r1", 0, 1, "gateway", True, False),
    )
    assert day.found() == []


# -- running, form, evidence -----------------------------------------------------------------------------


def test_a_crash_is_found_and_what_it_held_is_not_counted_twice():
    day = Day(
        sent(),
        Closed(S + 2, "r1", 0, 1, "gateway", False, False),
        GatewayEvent(S + 3, 0, "exit", "crashed with 1: boom"),
    )
    assert day.found() == [("running", True)]


def test_sigkill_after_sigterm_is_found():
    day = Day(
        GatewayEvent(S, 0, "term"),
        GatewayEvent(5 * S, 0, "kill"),
        GatewayEvent(5 * S, 0, "exit", "-9"),
    )
    assert day.found() == [("running", True)]


def test_a_malformed_command_is_found():
    assert Day(HostEvent(S, "h1", 1, "syntax", "[]")).found() == [("form", True)]


def test_a_finding_names_request_time_host_and_evidence():
    (found,) = Day(told(S), sent(), attempt(3 * S)).judged().findings
    assert (found.request, found.gateway, found.host, found.at) == ("r1", 0, "h1", 3 * S)
    assert "told at 1000000" in found.evidence
    assert "2.00 s after hearing" in found.what


def test_findings_are_bounded_and_still_counted():
    day = Day(*(HostEvent(S + n, "h1", 1, "syntax", "") for n in range(1000))).judged()
    assert day.counts["form"] == 1000
    assert len(day.findings) == 200


def test_evidence_that_was_kept_gives_the_same_verdict(tmp_path):
    seen = (
        told(S),
        sent(),
        attempt(3 * S),
        made(),
        served(),
        Starved(1, 2, 0, 3),
        HostEvent(1, "h", 1, "up"),
    )
    log = Log([*Day(*seen).records, Finished(50 * S)])
    log.save(tmp_path / "e.jsonl")
    again = Log.load(tmp_path / "e.jsonl")
    assert again.records == log.records
    assert judge(SCENARIO, again).findings == judge(SCENARIO, log).findings


@pytest.mark.parametrize("line", ["{", '{"record": "None"}', '{"record": "Late", "at": 1}', "[]"])
def test_damaged_evidence_names_its_line(tmp_path, line):
    (tmp_path / "e.jsonl").write_text('{"record": "Began", "at": 1}\n' + line + "\n")
    with pytest.raises(ValueError, match=r"e\.jsonl:2: not a record"):
        Log.load(tmp_path / "e.jsonl")
