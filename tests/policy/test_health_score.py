"""Health scores: exponential decay towards the prior latency score and zero failures."""

from __future__ import annotations

import math

import pytest
from conftest import SECOND, T0

from saffrongw.policy.health_score import HealthScore


def test_a_score_that_was_just_updated_has_not_decayed():
    score = HealthScore(T0, latency_score=4.0, failure_score=2.0)
    assert score.decayed_latency(T0, SECOND) == 4.0
    assert score.decayed_failures(T0, SECOND) == 2.0


def test_scores_decay_towards_the_prior_and_zero():
    score = HealthScore(T0, latency_score=4.0, failure_score=2.0)
    left = math.exp(-1)
    assert score.decayed_latency(T0 + SECOND, SECOND) == pytest.approx(1 + 3 * left)
    assert score.decayed_latency(T0 + SECOND, SECOND, prior=2.0) == pytest.approx(2 + 2 * left)
    assert score.decayed_failures(T0 + SECOND, SECOND) == pytest.approx(2 * left)


def test_applying_decay_twice_at_one_time_changes_the_scores_once():
    score = HealthScore(T0, latency_score=4.0, failure_score=2.0)
    score.apply_decay(T0 + SECOND, SECOND)
    once = score.latency_score, score.failure_score
    score.apply_decay(T0 + SECOND, SECOND)
    assert (score.latency_score, score.failure_score) == once
    assert score.updated_at_us == T0 + SECOND
