"""Gateways with one planted fault each: ``python -m tests.faults.variants NAME`` in place of ``python -m saffrongw``.

Each breaks one rule as a real mistake in the code could. The checker must report that rule from outside observation.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from dataclasses import replace

from saffrongw.__main__ import main
from saffrongw.gateway import driver as driving
from saffrongw.gateway.driver import Driver
from saffrongw.gateway.request_types import UpstreamAttempt
from saffrongw.gateway.upstream import connection as upstream_connection
from saffrongw.policy.actions import FailRequest, RejectRequest
from saffrongw.policy.admission import Admission
from saffrongw.policy.events import EndpointState
from saffrongw.policy.gateway import Gateway
from saffrongw.policy.gossip import Gossip
from saffrongw.policy.load_balancer import LoadBalancer
from saffrongw.policy.quota_counters import QuotaCounters
from saffrongw.policy.rate_ceiling import RateCeiling
from saffrongw.policy.settings import DeduplicationScope, Idempotency
from saffrongw.policy.slow_start import SlowStart

VARIANTS: dict[str, Callable[[], None]] = {}


def variant(plant: Callable[[], None]) -> Callable[[], None]:
    """Register a planted fault under its function's name, with dashes."""
    VARIANTS[plant.__name__.replace("_", "-")] = plant
    return plant


def every(number: int) -> Callable[[], bool]:
    """A function that returns True at every ``number``-th call."""
    count = 0

    def due() -> bool:
        nonlocal count
        count += 1
        return count % number == 0

    return due


def change_settings(**changes) -> None:
    """Change settings for the gateway's policy only: each keyword maps a field's items to changed ones."""
    plain = Gateway.__init__

    def init(self, settings, seed, now) -> None:
        for name, change in changes.items():
            settings = replace(
                settings, **{name: tuple(change(item) for item in getattr(settings, name))}
            )
        plain(self, settings, seed, now)

    Gateway.__init__ = init


# -- exactly one final answer in time --------------------------------------------------------------------


@variant
def swallows_answers() -> None:
    due, plain = every(30), Driver._send_final_reply

    def finish(self, call, reply) -> None:
        if not call.is_finished and due():
            self._close_request(call)
        else:
            plain(self, call, reply)

    Driver._send_final_reply = finish


@variant
def answers_twice() -> None:
    due, plain = every(30), Driver._send_final_reply
    Driver._send_final_reply = lambda self, call, reply: plain(
        self, call, reply + reply if due() else reply
    )


@variant
def answers_late() -> None:
    """Sends an answer 0.2 s after its deadline."""
    due, plain = every(20), Driver._send_final_reply

    def finish(self, call, reply) -> None:
        if call.is_finished or not due():
            plain(self, call, reply)
            return
        self._close_request(call)
        self._call_after(max(0, call.deadline_us - self.clock()) + 200_000, call.send_reply, reply)

    Driver._send_final_reply = finish


@variant
def serves_foreign_values() -> None:
    due, plain, last = every(25), Driver.attempt_ended, [b"$1\r\nx\r\n"]

    def ended(self, attempt, outcome, value=None, report=()) -> None:
        if value is not None:
            last.append(value)
            value = last[-2] if due() else value
            del last[:-2]
        plain(self, attempt, outcome, value, report)

    Driver.attempt_ended = ended


@variant
def sends_after_the_answer() -> None:
    due, plain = every(15), Driver._send_final_reply

    def finish(self, call, reply) -> None:
        # The request drops its attempts when it has ended.
        first, attempts = not call.is_finished, tuple(call.attempts)
        plain(self, call, reply)
        if first and attempts and due():
            now = self.clock()
            again = UpstreamAttempt(
                call, len(attempts), attempts[0].endpoint_id, now, now + 2_000_000
            )
            self.loop.call_later(0.25, self.cluster.send, again)

    Driver._send_final_reply = finish


@variant
def closes_on_requests() -> None:
    """Closes the connection instead of answering a request that was sent to a host."""
    due, plain = every(30), Driver._send_final_reply

    def finish(self, call, reply) -> None:
        if not call.is_finished and call.attempts and due():
            self._close_request(call)
            call.send_reply.__self__.connection.transport.abort()
        else:
            plain(self, call, reply)

    Driver._send_final_reply = finish


# -- no effect twice -------------------------------------------------------------------------------------


@variant
def repeats_unsafe() -> None:
    safe = Idempotency.IDEMPOTENT
    change_settings(
        classes=lambda c: (
            replace(c, idempotency=safe) if c.idempotency is Idempotency.NON_IDEMPOTENT else c
        )
    )


@variant
def repeats_keyed_anywhere() -> None:
    change_settings(classes=lambda c: replace(c, deduplication_scope=DeduplicationScope.ALL))


@variant
def refuses_what_may_have_run() -> None:
    Driver._ACTION_HANDLERS[FailRequest] = lambda self, action: self._reject_request(
        RejectRequest(action.request, 0)
    )


# -- drains ----------------------------------------------------------------------------------------------


@variant
def deaf_to_drains() -> None:
    plain = Driver.endpoint_list_received

    def listed(self, told, cached=False) -> None:
        ready = EndpointState.READY
        hosts = tuple(
            replace(h, entry=replace(h.entry, state=ready))
            if h.entry.state is EndpointState.DRAINING
            else h
            for h in told.endpoints
        )
        plain(self, replace(told, endpoints=hosts), cached)

    Driver.endpoint_list_received = listed


@variant
def hears_of_drains_late() -> None:
    plain = Driver.endpoint_list_received

    def listed(self, told, cached=False) -> None:
        if cached:
            plain(self, told, cached)
        else:
            self.loop.call_later(2.5, plain, self, told)

    Driver.endpoint_list_received = listed


# -- cold hosts ------------------------------------------------------------------------------------------


@variant
def cold_hosts_first() -> None:
    def choose(self, request):
        warming = self._endpoints.warming.endpoints
        return next((e for e in warming if self._retry_policy.may_send(request, e)), None)

    SlowStart.choose = choose
    Admission.max_expected_latency_us = lambda self, request: float("inf")


@variant
def newest_host_gets_all() -> None:
    """Always chooses the host that started last."""

    def choose(self, request):
        pools = (*self._endpoints.warm.endpoints, *self._endpoints.warming.endpoints)
        usable = [e for e in pools if self._retry_policy.may_send(request, e)]
        return max(usable, key=lambda endpoint: endpoint.entry.started_at_us, default=None)

    LoadBalancer.choose = choose
    Admission.max_expected_latency_us = lambda self, request: float("inf")


# -- ceilings and quotas ---------------------------------------------------------------------------------


@variant
def no_limits() -> None:
    change_settings(plans=lambda p: replace(p, rate=0.0, ceiling_rate=0.0))


@variant
def whole_ceiling_each() -> None:
    change_settings(plans=lambda p: replace(p, rate=0.0))
    RateCeiling.local_part = lambda self, quota: 1.0


@variant
def deaf_to_peers() -> None:
    Gossip.receive = lambda self, event: None
    QuotaCounters.share = lambda self, quota: 1.0


@variant
def doubles_the_quota() -> None:
    """Grants twice the quota's rate; the ceiling is unchanged."""
    change_settings(plans=lambda p: replace(p, rate=2 * p.rate))


# -- external authorisation ----------------------------------------------------------------------------


@variant
def ignores_denials() -> None:
    from saffrongw.authz.request_filter import CheckClient
    from saffrongw.gateway.extensions import Continue

    CheckClient._verdict = lambda self, request, reply: Continue()


@variant
def sends_before_the_check() -> None:
    """Sends every fourth request on without asking the authoriser."""
    from saffrongw.authz.request_filter import AuthzFilter
    from saffrongw.gateway.extensions import Continue

    due, plain = every(4), AuthzFilter.on_request
    AuthzFilter.on_request = lambda self, request: Continue() if due() else plain(self, request)


# -- running, form ---------------------------------------------------------------------------------------


@variant
def ends_by_itself() -> None:
    due, plain = every(150), Driver.request_arrived

    def arrived(self, *given):
        if due():
            os._exit(3)
        return plain(self, *given)

    Driver.request_arrived = arrived


@variant
def ignores_sigterm() -> None:
    from saffrongw.gateway.downstream.graceful_shutdown import GracefulShutdown

    async def drain(self, accept_for) -> None:
        import asyncio

        await asyncio.sleep(60)

    GracefulShutdown.drain = drain


@variant
def garbles_commands() -> None:
    due, plain = every(30), upstream_connection.pack_request

    def pack(attempt, now) -> bytes:
        packed = plain(attempt, now)
        return packed.replace(b"units=1", b"units=0") if due() else packed

    upstream_connection.pack_request = pack


# -- leases: each breaks a rule of ``testbed.checker.lease_rules`` -------------------------------------------------

LEASES: dict[str, Callable[[], None]] = {}


def lease_variant(plant: Callable[[], None]) -> Callable[[], None]:
    """Register a planted fault of leases under its function's name, with dashes."""
    LEASES[plant.__name__.replace("_", "-")] = plant
    return plant


@lease_variant
def believes_its_lease_for_ever() -> None:
    from saffrongw.leases.proposer import Proposer

    plain = Proposer._on_accept

    def accepted(self, now, voter, claim):
        out = plain(self, now, voter, claim)
        if claim.held_until_us:
            claim.held_until_us = now + 3_600_000_000
        return out

    Proposer._on_accept = accepted


@lease_variant
def works_without_asking_its_token() -> None:
    """Continues its tasks after it has lost the lease."""
    from saffrongw.leases.claim import FencingToken
    from saffrongw.leases.node_driver import NodeDriver
    from saffrongw.leases.task_schedule import TaskSchedule

    plain = NodeDriver.token
    known = {}

    def token(self, lease):
        found = plain(self, lease)
        if found:
            known[lease] = found
        return known.get(lease)

    FencingToken.remaining_us = lambda self: 3_600_000_000
    NodeDriver.token = token
    NodeDriver.remaining_us = lambda self, lease: 3_600_000_000
    TaskSchedule.lease_lost = lambda self, lease: []


@lease_variant
def counts_a_voter_twice() -> None:
    """Counts every copy of a voter's answer."""
    from benchmarks.fleet.lease_planted_faults import CountedAnswers
    from saffrongw.channel.signed_datagram import ReplayWindow
    from saffrongw.leases.proposer import Proposer

    plain = Proposer._start_round

    def begin(self, now, claim, stage):
        out = plain(self, now, claim, stage)
        claim.agreeing = CountedAnswers()
        return out

    Proposer._start_round = begin
    ReplayWindow.accept = lambda self, sequence_number: True


@lease_variant
def forgets_to_be_silent() -> None:
    from saffrongw.leases.acceptor import Acceptor

    plain = Acceptor.__init__

    def init(self, name, timing, candidates, suspensions, now, *rest) -> None:
        plain(self, name, timing, candidates, suspensions, now, *rest)
        self.silent_until_us = now

    Acceptor.__init__ = init


@lease_variant
def lowers_its_fencing_token() -> None:
    """Proposes each lease with a lower fencing token than before, and accepts tokens that don't increase."""
    from saffrongw.leases import acceptor
    from saffrongw.leases.messages import NackReason
    from saffrongw.leases.proposer import Proposer

    plain_start, plain_reject = Proposer._start_propose, acceptor.reject_outdated

    def start_propose(self, now, claim):
        if not claim.held_until_us:
            claim.fencing_token = (1 << 50) - now // 1_000
        return plain_start(self, now, claim)

    def reject_outdated(request, record, token_floor):
        rejected = plain_reject(request, record, token_floor)
        return None if rejected and rejected.reason == NackReason.TOKEN else rejected

    Proposer._start_propose, acceptor.reject_outdated = start_propose, reject_outdated


def killed_at(step: str, go: str) -> None:
    """Kills itself at the ``step``-th lease message sent or received after the file ``go`` exists."""
    import signal

    from saffrongw.leases import node_driver
    from saffrongw.leases.messages import (
        Accept,
        Prepare,
        ProgressStored,
        Promise,
        Propose,
        ReportProgress,
    )

    left, armed = int(step), False

    def count(packet) -> None:
        nonlocal left, armed
        armed = armed or os.path.exists(go)
        for message in packet.messages:
            kinds = Prepare | Promise | Propose | Accept | ReportProgress | ProgressStored
            if armed and isinstance(message, kinds):
                left -= 1
                if left == 0:
                    os.kill(os.getpid(), signal.SIGKILL)

    process = node_driver.NodeDriver.process

    def send(self, packets):
        for _, packet in packets:
            count(packet)
        return process(self, packets)

    plain = node_driver._decode

    def decode(payload):
        packet = plain(payload)
        count(packet)
        return packet

    node_driver.NodeDriver.process, node_driver._decode = send, decode


if __name__ == "__main__":
    assert driving
    if sys.argv[1] == "killed-at":
        killed_at(*sys.argv[2:])
    else:
        {**VARIANTS, **LEASES}[sys.argv[1]]()
    sys.exit(main())
