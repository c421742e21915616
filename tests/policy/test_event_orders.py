"""Every order of two and three events behind a first send, for each effect: one final answer, nothing more after it."""

from __future__ import annotations

import itertools

import pytest
from conftest import SECOND, Bench, entry, listed

from saffrongw.policy import interface as api
from saffrongw.policy.interface import Effect, Outcome

NEVER_RAN = (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)
KINDS = {0: "safe", 1: "keyed by cell", 2: "unsafe", 3: "keyed by all", 4: "keyed by zone"}
EVENTS = ("deadline", "window over", "drains", "gone", "cell empties", "client", "peer", "timer")
OUTCOMES = tuple(Outcome)


class Case:
    """One request at one gateway, and what the rules make of each action."""

    def __init__(self, kind: int) -> None:
        self.bench = Bench(servers=0, connect_timeout=50_000)
        # Two cells and two zones of two hosts each.
        self.bench.feed(listed(*(entry(n, cell=n % 2, zone=n // 2) for n in range(4))))
        self.cls = self.bench.settings.classes[kind]
        self.sent: list[tuple[bytes, int]] = []
        self.outcomes: dict[int, Outcome] = {}
        self.drained: set[bytes] = set()
        self.finals = 0
        self.over = False
        self._read(self.bench.ask(1, kind=kind, left=4 * SECOND))
        assert len(self.sent) == 1

    def _read(self, actions) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                assert not self.over, "a send after the end"
                assert action.server not in self.drained, "a send to a host that drains or is gone"
                self._may_repeat(action.server)
                self.sent.append((action.server, self.bench.now))
            elif isinstance(action, (api.Refuse, api.Fail)):
                assert not self.over, "a second final answer"
                self.over, self.finals = True, self.finals + 1
                ran = [n for n in range(len(self.sent)) if self.outcomes.get(n) not in NEVER_RAN]
                if isinstance(action, api.Refuse) and ran:
                    assert self.cls.effect is Effect.SAFE or (
                        self.cls.effect is Effect.KEYED and self.cls.group is api.Group.ALL
                    ), "a refusal of what may have run"

    def _may_repeat(self, server: bytes) -> None:
        ran = [place for place in range(len(self.sent)) if self.outcomes.get(place) not in NEVER_RAN]
        if not ran or self.cls.effect is Effect.SAFE:
            return
        assert self.cls.effect is Effect.KEYED, "an unsafe request that may have run"
        first, at = self.sent[ran[0]]
        assert self.bench.now + 50_000 < at + self.cls.window, "behind its window"
        if self.cls.group is api.Group.CELL:
            assert first[3] % 2 == server[3] % 2, "another cell"
        elif self.cls.group is api.Group.ZONE:
            assert first[3] // 2 == server[3] // 2, "another zone"

    def ends(self, outcome: Outcome) -> None:
        """The attempt that is out ends so."""
        place = len(self.sent) - 1
        if place in self.outcomes:
            return
        self.outcomes[place] = outcome
        served = outcome is Outcome.SERVED and not self.over
        self.over = self.over or served
        self.finals += served
        self._read(self.bench.outcome(1, self.sent[place][0], outcome, attempt=place, answered=self.over))

    def happens(self, name: str) -> None:
        """One event."""
        bench, host = self.bench, self.sent[-1][0]
        if name == "deadline":
            bench.now += 4 * SECOND
            self.ends(Outcome.TIMED_OUT)
        elif name == "window over":
            bench.now += SECOND
        elif name in ("drains", "gone"):
            phase = api.Phase.DRAINING if name == "drains" else api.Phase.GONE
            self.drained.add(host)
            gone = entry(host[3], phase, cell=host[3] % 2, zone=host[3] // 2)
            self._read(bench.feed(listed(gone, kind=api.ListKind.CHANGES)))
        elif name == "cell empties":
            rest = [n for n in range(4) if n % 2 != host[3] % 2]
            self.drained = {
                entry(n).server for n in range(4) if n not in rest
            }  # the others are listed as ready
            self._read(bench.feed(listed(*(entry(n, cell=n % 2, zone=n // 2) for n in rest))))
        elif name == "client":
            if not self.over:
                self.over = True
                self.finals += 1  # nothing is owed any more
                self._read(bench.feed(api.ClientGone(1)))
        elif name == "peer":
            self._read(bench.feed(api.PeerMessage(1, b"\xff" * 30)))
        elif name == "timer":
            self._read(bench.feed(api.TimerFired(2)))
        else:
            self.ends(Outcome[name])


@pytest.mark.parametrize("kind", KINDS, ids=KINDS.values())
def test_in_every_order_one_answer_and_no_send_against_the_rules(kind):
    names = EVENTS + tuple(outcome.name for outcome in OUTCOMES)
    for order in (*itertools.permutations(names, 2), *itertools.permutations(names, 3)):
        case = Case(kind)
        try:
            for name in order:
                case.happens(name)
            for _ in range(6):  # what is still out ends, one way and the other
                case.ends(Outcome.BROKEN)
                case._read(case.bench.run(SECOND))
            case.ends(Outcome.TIMED_OUT)
            assert case.finals == 1, "not one final answer"
            assert not case.bench.gateway.requests and not case.bench.gateway.attempts
        except AssertionError as wrong:
            raise AssertionError(f"{order}: {wrong}") from wrong


@pytest.mark.parametrize("kind", [1, 2, 4])
def test_a_rule_forgotten_is_seen(kind, monkeypatch):
    """The planted fault: what may have run goes anywhere, at any time."""
    monkeypatch.setattr("saffrongw.policy.rules.Gateway._may_send", lambda self, request, host: True)
    monkeypatch.setattr(
        "saffrongw.policy.rules.Gateway._attempt_ended",
        lambda self, event: (
            self.ended(event.request, event.attempt),
            self._advance(request) if (request := self.requests.get(event.request)) else None,
        ),
    )
    with pytest.raises(AssertionError):
        test_in_every_order_one_answer_and_no_send_against_the_rules(kind)
