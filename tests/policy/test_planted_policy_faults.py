"""Faults planted in the policy's components: the component's tests must catch each of them."""

from __future__ import annotations

import pytest
import test_quota_counters
import test_request_lifecycle
import test_retry_policy
import test_slow_start
import test_token_grants
from conftest import GatewayHarness

from saffrongw.policy.customer_quota import CounterEntry
from saffrongw.policy.events import AttemptOutcome
from saffrongw.policy.quota_counters import QuotaCounters
from saffrongw.policy.request_lifecycle import RequestLifecycle
from saffrongw.policy.retry_policy import RetryPolicy
from saffrongw.policy.slow_start import SlowStart
from saffrongw.policy.token_grants import TokenGrants


@pytest.mark.parametrize("outcome", test_retry_policy.MAY_HAVE_RUN)
def test_a_retry_of_a_non_idempotent_request_that_may_have_run_is_caught(outcome, monkeypatch):
    check = test_retry_policy
    test = check.test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected
    test(GatewayHarness(), outcome)
    monkeypatch.setattr(RetryPolicy, "may_retry", lambda *_: True)
    monkeypatch.setattr(RetryPolicy, "may_send", lambda *_: True)
    with pytest.raises(AssertionError):
        test(GatewayHarness(), outcome)


def test_a_rejection_of_a_request_that_may_have_run_is_caught(monkeypatch):
    check = test_retry_policy
    test = check.test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected
    monkeypatch.setattr(RetryPolicy, "may_reject", lambda *_: True)
    with pytest.raises(AssertionError):
        test(GatewayHarness(), AttemptOutcome.CONNECTION_LOST)


def test_a_counter_merge_that_takes_the_smaller_value_is_caught(monkeypatch):
    plain = QuotaCounters.merge_counter

    def merge_smaller(self, quota, node_index, entry):
        known = quota.counters.get(node_index)
        if known is not None and entry.start_tick == known.start_tick:
            entry = CounterEntry(entry.start_tick, min(entry.units, known.units))
        return plain(self, quota, node_index, entry)

    monkeypatch.setattr(QuotaCounters, "merge_counter", merge_smaller)
    for test in (
        test_quota_counters.test_a_counter_takes_the_larger_value_of_one_incarnation,
        test_quota_counters.test_the_burst_is_admitted_until_it_is_nearly_spent_and_refills,
    ):
        with pytest.raises(AssertionError):
            test()


def test_a_grant_that_is_not_deducted_from_the_coordinators_part_is_caught(monkeypatch):
    plain = TokenGrants.grant

    def grant_without_deduction(self, quota, node_index, wanted, has_waiting):
        before = quota.ceiling_units
        granted = plain(self, quota, node_index, wanted, has_waiting)
        quota.ceiling_units = before
        return granted

    monkeypatch.setattr(TokenGrants, "grant", grant_without_deduction)
    with pytest.raises(AssertionError):
        test_token_grants.test_a_coordinator_grants_no_more_than_its_part_of_a_ceiling()


def test_a_warming_endpoint_that_is_taken_for_warm_is_caught(monkeypatch):
    monkeypatch.setattr(SlowStart, "is_warm", lambda *_: True)
    with pytest.raises(AssertionError):
        test_slow_start.test_a_warming_endpoint_gets_no_more_than_its_part_of_a_warm_ones_share()


def test_a_request_that_is_not_forgotten_after_its_answer_is_caught(monkeypatch):
    monkeypatch.setattr(RequestLifecycle, "_drop", lambda *_: None)
    with pytest.raises(AssertionError):
        test_request_lifecycle.test_nothing_follows_an_answer_or_a_disconnected_client(
            GatewayHarness()
        )
