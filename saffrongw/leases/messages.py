"""Messages between the gateways of a lease set, and their wire format.

Proposers and acceptors exchange ``Packet`` values, which ``saffrongw.channel`` signs and sends as
MessagePack arrays. The tag of a message and the order of its fields are the wire format and must
not change; names of classes and fields do not travel. All times are microseconds unless the name
says otherwise.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from .gateway_id import GatewayId

MAX_SUSPENSIONS = 64
# Leases besides the shards for which one gateway may be a candidate.
MAX_NAMED_LEASES = 16
# Exclusive upper bound of ballot numbers, fencing tokens and voter set numbers.
NUMBER_LIMIT = 1 << 62


class Ballot(NamedTuple):
    """The ballot of one prepare, unique among all proposers and their incarnations."""

    number: int
    proposer: str
    incarnation: int

    @property
    def owner(self) -> GatewayId:
        """Return the proposer and its incarnation."""
        return GatewayId(self.proposer, self.incarnation)


NO_BALLOT = Ballot(0, "", 0)


class NackReason(IntEnum):
    """Why an acceptor rejects a prepare or a proposal."""

    # Another proposer holds the lease, for ``remaining_us`` at most.
    HELD = 1
    # The acceptor has promised or granted a higher ballot, or this one was released; the next
    # ballot must be above ``ballot_number``.
    OUTBID = 2
    # An operator has suspended the lease.
    SUSPENDED = 3
    # The acceptor knows no lease of this name.
    UNKNOWN = 4
    # The proposal asks for a longer lease than this acceptor grants.
    DURATION = 5
    # The fencing token is not above those seen, or is beyond what the acceptor's disk has reserved.
    TOKEN = 6


class TurnState(IntEnum):
    """How far a turn of a task has progressed."""

    STARTED = 1
    FAILED = 2
    DONE = 3


class TaskProgress(msgspec.Struct, frozen=True, array_like=True):
    """The last known turn of a task, the fencing token that it ran under, and its state."""

    task_id: bytes
    turn: int
    fencing_token: int
    state: int

    def supersedes(self, other: TaskProgress | None) -> bool:
        """Return whether this is more recent than ``other``."""
        return other is None or (self.turn, self.state, self.fencing_token) > (
            other.turn,
            other.state,
            other.fencing_token,
        )


class Suspension(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order that a lease is granted to no gateway before ``until_s``.

    Times are Unix seconds. Of two suspensions of a lease, the one with the later ``set_at_s`` wins;
    ``until_s`` 0 ends the suspension.
    """

    lease: str
    until_s: float
    operator: str
    reason: str
    set_at_s: float


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A proposer asks for a promise (phase 1).

    ``initial`` says that it does not hold the lease yet and needs the progress of its tasks;
    ``highest_token`` is the highest fencing token that it has seen anywhere.
    """

    lease: str
    ballot: Ballot
    initial: bool = True
    highest_token: int = 0


class Propose(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A proposer acquires or renews the lease (phase 2) under a fencing token.

    Each renewal is another ``round``.
    """

    lease: str
    ballot: Ballot
    round: int
    duration_us: int
    fencing_token: int
    initial: bool = True


class Release(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A proposer releases the lease, and abandons this ballot."""

    lease: str
    ballot: Ballot


class ReportProgress(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The holder reports the progress of tasks; the answer carries the same ``request_id``."""

    lease: str
    request_id: int
    progress: tuple[TaskProgress, ...]


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A gateway announces itself as a candidate for the shards and for the leases that it names.

    ``sent_at_us`` is its own clock, which the answer repeats; ``voter_clock_us`` is the last clock
    reading that it received from the voter, or 0.
    """

    shard_count: int
    named_leases: tuple[str, ...]
    overloaded: bool
    draining: bool
    suspensions: tuple[Suspension, ...]
    highest_token: int = 0
    sent_at_us: int = 0
    voter_clock_us: int = 0


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """An acceptor's answer to a prepare: the proposer may propose.

    ``highest_token`` is the highest fencing token that the acceptor knows for the lease; its memory
    is complete since ``memory_since_us`` (Unix us).
    """

    lease: str
    ballot: Ballot
    highest_token: int
    memory_since_us: int
    progress: tuple[TaskProgress, ...]


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An acceptor's answer to a proposal.

    The lease is granted for the acceptor's duration from this answer on.
    """

    lease: str
    ballot: Ballot
    round: int


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """An acceptor's rejection.

    ``round`` is 0 if it answers a prepare; ``reason`` is a ``NackReason``.
    """

    lease: str
    ballot: Ballot
    round: int
    reason: int
    ballot_number: int
    remaining_us: int
    holder: str = ""


class ProgressStored(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """An acceptor has stored the progress that a holder reported."""

    lease: str
    request_id: int


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """An acceptor offers a free lease.

    The receiver may prepare in ``delay_us``, with a ballot above ``ballot_number``.
    """

    lease: str
    delay_us: int
    ballot_number: int


class AnnounceReply(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """An acceptor's answer to an announcement.

    It says when to announce again, which leases the candidate should release, which leases are
    suspended, and how much longer the acceptor is silent after its start.
    """

    next_announce_us: int
    recalled_leases: tuple[str, ...]
    suspensions: tuple[Suspension, ...]
    silent_for_us: int
    shard_count: int
    highest_token: int = 0
    announced_at_us: int = 0


class SealQuery(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A voter asks a voter of a former set whether its file has reached this voter set."""

    voter_set_number: int


class SealReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The sender's operator file has reached this voter set: it no longer answers older sets."""

    voter_set_number: int


Message = (
    Prepare
    | Propose
    | Release
    | ReportProgress
    | Announce
    | Promise
    | Accept
    | Nack
    | ProgressStored
    | Offer
    | AnnounceReply
    | SealQuery
    | SealReply
)


# Messages to an acceptor; all others are for a proposer or about voter sets.
AcceptorMessage = Prepare | Propose | Release | ReportProgress | Announce
VoterAnswer = Promise | Accept | Nack


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """Messages to one receiver.

    ``sender_clock_us`` is the sender's clock if it is a voter, otherwise 0.
    """

    voter_set_number: int
    sender_clock_us: int
    messages: tuple[Message, ...]


class Outgoing(NamedTuple):
    """A message and the name of the gateway that it goes to."""

    receiver: str
    message: Message


class OutgoingPacket(NamedTuple):
    """A packet and the name of the gateway that it goes to."""

    receiver: str
    packet: Packet
