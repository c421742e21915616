"""The checker reports the right rule for each planted fault; the unmodified gateway passes the same scenarios."""

from __future__ import annotations

import shlex
import sys

import pytest

import toml_schema
from testbed.model.scenario import Scenario
from testbed.runner import runs
from tests.faults.variants import VARIANTS

HEAVY = """
name = "planted-heavy"
length_s = 7
[[plan]]
name = "basico"
customers = 60
rate = 1.1
burst = 5.5
[[plan]]
name = "amplio"
customers = 8
rate = 7.0
burst = 13.0
ceiling = 2.2
heavy = 3
spread = [3, 3]
[expect]
quota_slack = 0.3
"""
PLAIN = """
name = "planted-plain"
length_s = 6
"""
SPOILT = """
name = "planted-spoilt"
length_s = 7
[[fault]]
at = 0.5
kind = "host_spoils"
share = 0.12
for_s = 6
[[fault]]
at = 1
kind = "links"
mode = "reset_after"
share = 0.1
for_s = 5
"""
DEPLOY = """
name = "planted-deploy"
length_s = 9
[[fault]]
at = 0.5
kind = "deploy"
share = 1.0
batch = 1.0
for_s = 1
drain_s = 6
"""  # all hosts drain at once, so that a gateway that ignores drains sends only to draining hosts
COLD = """
name = "planted-cold"
length_s = 10
[hosts]
cold_s = 12.0
[[fault]]
at = 1
kind = "host_moves"
hosts = [3]
"""

DENIED = """
name = "planted-denied"
length_s = 5
[authoriser]
count = 1
deny = 0.3
"""

# variant -> scenario that exposes it, the rule that must be reported, other rules that may be reported too
PLANTED = {
    "swallows-answers": (PLAIN, "answer", ()),
    "answers-twice": (PLAIN, "answer", ()),
    "answers-late": (PLAIN, "answer", ()),
    "serves-foreign-values": (PLAIN, "answer", ()),
    "sends-after-the-answer": (PLAIN, "answer", ("effect",)),
    "closes-on-requests": (
        PLAIN,
        "answer",
        ("effect",),
    ),  # the client treats it as the close of an idle connection and sends the request again
    "repeats-unsafe": (SPOILT, "effect", ()),
    "repeats-keyed-anywhere": (SPOILT, "effect", ()),
    "refuses-what-may-have-run": (SPOILT, "effect", ()),
    "deaf-to-drains": (DEPLOY, "drain", ()),
    "hears-of-drains-late": (DEPLOY, "drain", ()),
    "cold-hosts-first": (COLD, "cold", ()),
    "newest-host-gets-all": (COLD, "cold", ()),
    "no-limits": (HEAVY, "ceiling", ("quota",)),
    "whole-ceiling-each": (HEAVY, "ceiling", ("quota",)),
    "deaf-to-peers": (HEAVY, "quota", ()),
    "doubles-the-quota": (HEAVY, "quota", ()),
    "ignores-denials": (DENIED, "denial", ()),
    "sends-before-the-check": (DENIED, "denial", ()),
    "ends-by-itself": (PLAIN, "running", ()),
    "garbles-commands": (PLAIN, "form", ("effect",)),
}


def play(text: str, folder, variant: str | None = None) -> runs.Run:
    scenario = toml_schema.loads(Scenario, text)
    line = variant and f"exec {shlex.quote(sys.executable)} -m tests.faults.variants {variant}"
    return runs.run(scenario, folder, line)


@pytest.mark.parametrize("variant", PLANTED)
def test_each_planted_fault_is_caught_and_named(variant, tmp_path):
    text, rule, others = PLANTED[variant]
    done = play(text, tmp_path, variant)
    assert done.verdict.outcome == "broken"
    assert rule in done.verdict.rules()
    assert done.verdict.rules() <= {rule, *others}
    named = [f for f in done.verdict.findings if f.rule == rule and f.certain]
    assert all(f.what and f.at > 0 for f in named)
    assert any(f.evidence or f.request or f.gateway >= 0 for f in named)


@pytest.mark.parametrize("text", [PLAIN, HEAVY, SPOILT, DEPLOY, COLD, DENIED])
def test_the_unmodified_gateway_passes_the_same_scenarios(text, tmp_path):
    done = play(text, tmp_path)
    assert [f for f in done.verdict.findings if f.certain] == []
    assert done.verdict.outcome == "passed"


def test_a_gateway_that_ignores_sigterm_is_named(tmp_path):
    text = PLAIN + "[[fault]]\nat = 1\nkind = 'restart'\ngateways = [0]\n"
    assert "running" in play(text, tmp_path, "ignores-sigterm").verdict.rules()


def test_every_variant_is_played():
    assert set(VARIANTS) == {*PLANTED, "ignores-sigterm"}
