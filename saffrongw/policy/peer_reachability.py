"""Which other gateways were heard from, and what part of the fleet seems unreachable."""

from __future__ import annotations

from .settings import Settings

# Weight of the newest answer or silence in the unreachable fraction.
SAMPLE_WEIGHT = 0.1
# A smaller unreachable fraction is what message loss and restarts explain.
MIN_UNREACHABLE_FRACTION = 0.25
# Missed answers in a row after which a peer counts as unresponsive; one where many are silent.
MAX_MISSED_ANSWERS = 2


class PeerReachability:
    """Evidence of gossip that came and of answers that did not come."""

    def __init__(self, settings: Settings) -> None:
        """Start with all peers taken to be reachable."""
        # Without gossip no peer ever answers.
        self.is_isolated = not settings.may_send_gossip
        self.unreachable_fraction = 0.0
        self.last_received_us: dict[int, int] = {}
        self.missed_answers: dict[int, int] = {}

    def record_message(self, peer: int, now_us: int) -> None:
        """Note that a valid message came from a peer."""
        self.last_received_us[peer] = now_us
        self.missed_answers.pop(peer, None)

    def record_answer_due(self, peer: int, question_sent_at_us: int) -> bool:
        """Note that an answer should be here by now; tell whether the peer stayed silent."""
        silent = self.last_received_us.get(peer, -1) < question_sent_at_us
        if silent:
            self.missed_answers[peer] = self.missed_answers.get(peer, 0) + 1
        self.unreachable_fraction += SAMPLE_WEIGHT * (silent - self.unreachable_fraction)
        return silent

    def seems_partitioned(self) -> bool:
        """Tell whether more peers are silent than message loss and restarts explain."""
        return self.unreachable_fraction >= MIN_UNREACHABLE_FRACTION

    def is_unresponsive(self, peer: int) -> bool:
        """Tell whether waiting for an answer of this peer is in vain."""
        max_missed = 1 if self.seems_partitioned() else MAX_MISSED_ANSWERS
        return self.missed_answers.get(peer, 0) >= max_missed
