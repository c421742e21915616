"""What gateways and voters say to each other of leases. Values only; ``saffrongw.channel`` packs and signs them.

A packet carries the number of its sender's set of voters and, from a voter, a reading of its clock: the asker learns
from two of them how fast that clock runs (``rates.py``).
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

HOLDS_MOST = 64
NAMED_MOST = 16  # leases that a gateway stands for beside the shards
LARGEST = 1 << 62  # of every number that only grows

Ballot = tuple[
    int, str, int
]  # a number, who asks, which life of it: no two askers ever use the same one
NO_BALLOT: Ballot = (0, "", 0)


class Why(IntEnum):
    """Why a voter refuses."""

    HELD = 1  # another holds it, for ``left`` us at most
    OLDER = 2  # another was promised it by a higher ballot, ``n``
    HOLD = 3  # operators let nobody have it
    UNKNOWN = 4  # no lease of this name
    SPAN = 5  # it was asked for longer than this voter grants
    NUMBERS = 6  # its number is not above those seen here, or beyond what the disk vouches for


class State(IntEnum):
    """How far a turn of a task has come."""

    BEGUN = 1
    FAILED = 2
    DONE = 3


class Note(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a task: its last turn, the number that it went under, how far it came."""

    task: bytes
    turn: int
    number: int
    state: int

    def later_than(self, other: Note | None) -> bool:
        """Whether this one tells more."""
        return other is None or (self.turn, self.state, self.number) > (
            other.turn,
            other.state,
            other.number,
        )


class Hold(msgspec.Struct, frozen=True, array_like=True):
    """Operators let nobody have a lease; times in Unix seconds, the later ``at`` wins, ``until`` 0 ends it."""

    lease: str
    until: float
    who: str
    why: str
    at: float


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """May this asker have the lease? ``fresh``: it wants to be told what is known of the tasks; ``seen``: the highest
    number that it has met anywhere."""

    lease: str
    ballot: Ballot
    fresh: bool = True
    seen: int = 0


class Propose(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """It takes the lease, or takes it again in another ``round``, under this fencing number; ``fresh``: it does not
    hold it yet."""

    lease: str
    ballot: Ballot
    round: int
    span: int
    number: int
    fresh: bool = True


class Release(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """It has ended its use of the lease and of this ballot."""

    lease: str
    ballot: Ballot


class Tell(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What became of turns; ``tag`` is sent back."""

    lease: str
    tag: int
    notes: tuple[Note, ...]


class Stand(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """This gateway is there to hold leases: the shards and those that are named; ``at`` by its clock is sent back."""

    shards: int
    named: tuple[str, ...]
    pressed: bool
    leaving: bool
    holds: tuple[Hold, ...]
    seen: int = 0
    at: int = 0
    heard: int = 0  # this voter's clock as it was last heard; 0: never


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The asker may propose. ``mark``: the highest number seen; ``known_from``: Unix us since when this voter's memory
    is whole."""

    lease: str
    ballot: Ballot
    mark: int
    known_from: int
    notes: tuple[Note, ...]


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The lease is the asker's, for the voter's span from this answer on."""

    lease: str
    ballot: Ballot
    round: int


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """It is not."""

    lease: str
    ballot: Ballot
    round: int  # 0: of a Prepare
    why: int
    n: int
    left: int
    holder: str = ""


class Told(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The notes are kept."""

    lease: str
    tag: int


class Free(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Nobody holds this lease: ask for it in ``after`` us, with a ballot above ``n``."""

    lease: str
    after: int
    n: int


class Roster(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The answer to Stand: when to tell again, in us; which leases others are rather to hold; what is on hold; and for
    how long this voter is silent yet."""

    again: int
    move: tuple[str, ...]
    holds: tuple[Hold, ...]
    silent: int
    shards: int
    seen: int = 0
    at: int = 0


class Seal(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Between voters: is your file at this set, or beyond it?"""

    set: int


class Sealed(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """It is: no older set gets an answer here any more."""

    set: int


Message = (
    Prepare
    | Propose
    | Release
    | Tell
    | Stand
    | Promise
    | Accept
    | Refuse
    | Told
    | Free
    | Roster
    | Seal
    | Sealed
)


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """Messages to one receiver; ``clock`` is 0 but from a voter."""

    set: int
    clock: int
    messages: tuple[Message, ...]
