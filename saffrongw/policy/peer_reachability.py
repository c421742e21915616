"""Which other gateways answer, and what fraction of the fleet seems unreachable."""

from __future__ import annotations

from .settings import Settings

# Weight of the newest answered or missed request in the moving average of the unreachable fraction.
SAMPLE_WEIGHT = 0.1
# Unreachable fraction from which the fleet counts as partitioned. Message loss and restarts of
# gateways cause smaller ones.
MIN_UNREACHABLE_FRACTION = 0.25
# Missed answers in a row after which a peer counts as unresponsive; in a partition, one is enough.
MAX_MISSED_ANSWERS = 2


class PeerReachability:
    """Tracks which peers have sent gossip, and which have missed answers."""

    def __init__(self, settings: Settings) -> None:
        """Start with the assumption that all peers are reachable."""
        # Without gossip no peer ever answers.
        self.gossip_disabled = not settings.may_send_gossip
        self.unreachable_fraction = 0.0
        self.last_received_us: dict[int, int] = {}
        self.missed_answers: dict[int, int] = {}

    def record_message(self, peer: int, now_us: int) -> None:
        """Record that a valid message arrived from a peer."""
        self.last_received_us[peer] = now_us
        self.missed_answers.pop(peer, None)

    def record_answer_due(self, peer: int, question_sent_at_us: int) -> bool:
        """Record that the time for a peer's answer is over; return whether the peer was silent."""
        silent = self.last_received_us.get(peer, -1) < question_sent_at_us
        if silent:
            self.missed_answers[peer] = self.missed_answers.get(peer, 0) + 1
        self.unreachable_fraction += SAMPLE_WEIGHT * (silent - self.unreachable_fraction)
        return silent

    def seems_partitioned(self) -> bool:
        """Return whether more peers are silent than message loss and restarts would cause."""
        return self.unreachable_fraction >= MIN_UNREACHABLE_FRACTION

    def is_unresponsive(self, peer: int) -> bool:
        """Return whether this peer has missed so many answers that waiting for it is pointless."""
        max_missed = 1 if self.seems_partitioned() else MAX_MISSED_ANSWERS
        return self.missed_answers.get(peer, 0) >= max_missed
