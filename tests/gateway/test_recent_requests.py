"""Requests that may have run are remembered by customer and id, for a bounded time and number."""

from __future__ import annotations

import json

from loopback_rig import SITE

from saffrongw.gateway import recent_requests
from saffrongw.gateway.config import parse_config
from saffrongw.gateway.recent_requests import RecentRequests, RememberedRequest
from saffrongw.gateway.request_types import ClientRequest, UpstreamAttempt
from saffrongw.policy.events import RequestArrived

READ, KEYED, BILL = range(3)
CUSTOMER, OTHER_CUSTOMER = b"0000000000000007", b"0000000000000008"
SETTINGS = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "01"}
SETTINGS |= {"limits": {"sockets": 64}, "settings": SITE}


class Recent(RecentRequests):
    """The remembered requests of a process whose clock the test sets."""

    def __init__(self) -> None:
        self.now_us = 0
        classes = parse_config(json.dumps(SETTINGS)).settings.classes
        super().__init__(classes, lambda: self.now_us)

    def ended(self, now_us: int, ended: ClientRequest) -> None:
        """A request ends at this time."""
        self.now_us = now_us
        self.request_ended(ended)

    def forbids(self, now_us: int, kind: int, customer: bytes, request_id: bytes) -> bool:
        """Whether a request may not run at this time."""
        self.now_us = now_us
        return self.may_not_run(kind, customer, request_id)


def recent() -> Recent:
    return Recent()


def request(kind: int, request_id: bytes = b"id", may_have_run: bool = True) -> ClientRequest:
    event = RequestArrived(1, 7, 0, kind, 1.0, 2_000_000, 0, 1, False)
    made = ClientRequest(event, (b"CALL.POST", CUSTOMER, request_id, b"", b""), 0, print)
    made.has_possibly_run = may_have_run
    return made


def test_a_request_that_may_have_run_may_not_run_again_until_it_is_forgotten():
    remembered = recent()
    remembered.ended(0, request(BILL))
    assert remembered.forbids(remembered.memory_us - 1, BILL, CUSTOMER, b"id")
    assert not remembered.forbids(remembered.memory_us, BILL, CUSTOMER, b"id")


def test_others_may_run():
    remembered = recent()
    remembered.ended(0, request(BILL))
    assert not remembered.forbids(1, BILL, CUSTOMER, b"other id")
    assert not remembered.forbids(1, BILL, OTHER_CUSTOMER, b"id")
    assert not remembered.forbids(1, READ, CUSTOMER, b"id")


def test_only_requests_that_may_have_run_and_may_not_run_twice_are_remembered():
    remembered = recent()
    remembered.ended(0, request(READ))
    remembered.ended(0, request(BILL, may_have_run=False))
    assert remembered.count == 0
    remembered.ended(0, request(KEYED))
    assert remembered.count == 1


def test_an_attempt_in_flight_may_run():
    made = request(BILL, may_have_run=False)
    attempt = UpstreamAttempt(made, 0, b"a", 0, 10)
    made.attempts.append(attempt)
    assert made.may_have_run
    attempt.is_ended = True
    assert not made.may_have_run


def test_memory_is_bounded_in_number_and_time(monkeypatch):
    monkeypatch.setattr(recent_requests, "MAX_REMEMBERED", 100)
    remembered = recent()
    for number in range(1_000):
        remembered.ended(number, request(BILL, b"%d" % number))
        assert remembered.count <= 100
    assert not remembered.forbids(1_000, BILL, CUSTOMER, b"899")
    assert remembered.forbids(1_000, BILL, CUSTOMER, b"900")
    remembered.ended(1_000 + remembered.memory_us, request(BILL, b"late"))
    assert remembered.count == 1


def test_a_successor_remembers_what_is_left_and_what_is_in_flight():
    old, new = recent(), recent()
    old.ended(0, request(BILL, b"forgotten"))
    old.ended(1_000_000, request(BILL, b"ended"))
    in_flight, not_sent = request(BILL, b"in flight"), request(BILL, b"not sent")
    in_flight.attempts.append(UpstreamAttempt(in_flight, 0, b"a", 0, 10))
    old.now_us = old.memory_us
    for row in old.rows((in_flight, not_sent)):
        new.restore(row)
    assert new.count == 2
    assert new.forbids(999_999, BILL, CUSTOMER, b"ended")
    assert not new.forbids(1_000_000, BILL, CUSTOMER, b"ended")
    assert new.forbids(new.memory_us - 1, BILL, CUSTOMER, b"in flight")


def test_a_row_with_an_impossible_time_is_bounded():
    remembered = recent()
    remembered.restore(RememberedRequest(CUSTOMER, b"id", 10**15))
    assert not remembered.forbids(remembered.memory_us, BILL, CUSTOMER, b"id")
