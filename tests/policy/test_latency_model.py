"""The typical latency of request classes."""

from __future__ import annotations

from conftest import IDEMPOTENT, GatewayHarness
from policy_rig import (
    serve_one,
)

from saffrongw.policy.latency_model import MAX_TYPICAL_OBJECTIVE_FRACTION, LatencyModel


def test_a_new_gateway_learns_the_typical_latency_from_the_first_answers():
    """The initial estimate made it shed a burst at idle endpoints: 259 of 12,000 requests."""
    harness = GatewayHarness(endpoints=3)
    estimate = harness.gateway.latency.typical_us[0]
    for request in range(1, 20):
        serve_one(harness, request, lambda _: 5_000)
    assert harness.gateway.latency.typical_us[0] < estimate / 10


def test_the_initial_estimate_weighs_as_much_as_one_sample():
    model = LatencyModel((IDEMPOTENT,))
    estimate_us = model.typical_us[0]
    model.add_sample(0, 5_000)
    assert model.typical_us[0] == (estimate_us + 5_000) / 2
    assert model.sample_counts == [1]


def test_the_typical_latency_stays_within_its_fraction_of_the_objective():
    model = LatencyModel((IDEMPOTENT,))
    for _ in range(100):
        model.add_sample(0, 10 * IDEMPOTENT.latency_objective_us)
    assert model.typical_us[0] == MAX_TYPICAL_OBJECTIVE_FRACTION * IDEMPOTENT.latency_objective_us
