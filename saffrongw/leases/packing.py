"""Packs messages to the same receiver into packets of bounded size."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .messages import Message, OutgoingPacket, Packet

MAX_MESSAGES_PER_PACKET = 24


def pack_messages(
    by_receiver: Mapping[str, Sequence[Message]], voter_set_number: int, sender_clock_us: int
) -> list[OutgoingPacket]:
    """Return the packets for all receivers, in the order of the messages."""
    return [
        OutgoingPacket(
            receiver,
            Packet(
                voter_set_number,
                sender_clock_us,
                tuple(messages[start : start + MAX_MESSAGES_PER_PACKET]),
            ),
        )
        for receiver, messages in by_receiver.items()
        for start in range(0, len(messages), MAX_MESSAGES_PER_PACKET)
    ]
