"""Seeded runs of one gateway with crowds and signals in series; ``SOAK_SEEDS`` sets how many."""

from __future__ import annotations

import asyncio
import os

import pytest
import uvloop
from soak_rig import SoakRun

SEED_COUNT = int(os.environ.get("SOAK_SEEDS", "6"))
RUN_TIMEOUT_S = 110


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
def test_rules_and_memory_limit_hold_in_a_soak(tmp_path, seed):
    run = SoakRun(tmp_path, seed)
    findings = uvloop.run(asyncio.wait_for(run.play(), RUN_TIMEOUT_S))
    print(f"seed {seed}: {run.memory_mb} MB, {run.sockets} descriptors: {findings}")
    assert findings.answers["served"] + findings.answers["busy"] > 0
    assert findings.faults == []
