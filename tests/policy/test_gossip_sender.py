"""The budget of gossip messages and their size."""

from __future__ import annotations

from conftest import SECOND, T0
from policy_rig import (
    confirmed_bench,
)

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import (
    SendGossip,
)


def test_messages_stay_within_size_and_intake():
    bench = confirmed_bench()
    for i in range(1, 400):
        bench.ask(i, customer=i % 90)
        bench.run(5_000)
    sizes = [len(a.body) for a in bench.log if isinstance(a, SendGossip)]
    assert max(sizes) <= gossip_codec.MAX_MESSAGE_BYTES
    seconds = (bench.now - T0) / SECOND
    assert 0 < len(sizes) <= 50.0 * (seconds + 1)
