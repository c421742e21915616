"""The rate limit and the size of gossip messages."""

from __future__ import annotations

from conftest import SECOND, T0
from policy_rig import (
    confirmed_gateway,
)

from saffrongw.policy import gossip_codec
from saffrongw.policy.actions import (
    SendGossip,
)


def test_messages_stay_within_size_and_intake():
    harness = confirmed_gateway()
    for i in range(1, 400):
        harness.send_request(i, customer=i % 90)
        harness.run(5_000)
    sizes = [len(a.body) for a in harness.log if isinstance(a, SendGossip)]
    assert max(sizes) <= gossip_codec.MAX_MESSAGE_BYTES
    seconds = (harness.now - T0) / SECOND
    assert 0 < len(sizes) <= 50.0 * (seconds + 1)
