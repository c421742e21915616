"""Decoding of gossip messages from untrusted peers."""

from __future__ import annotations

from conftest import GatewayHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.policy import gossip_codec
from saffrongw.policy.events import (
    GossipReceived,
)


def test_send_times_that_wrap_around_are_restored():
    wrap_ms = gossip_codec.SEND_TIME_WRAP_MS
    for sent in (wrap_ms - 5, wrap_ms + 5, 7 * wrap_ms + 1):
        body = gossip_codec.pack_message(sent, False, False, [])
        assert gossip_codec.unpack_message(body, sent + 900, 3, 1).sent_ms == sent
        assert gossip_codec.unpack_message(body, sent - 900, 3, 1).sent_ms == sent


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_ignored_without_an_error(body):
    harness = GatewayHarness(endpoints=1)
    assert harness.handle(GossipReceived(1, body)) == []
