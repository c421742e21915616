"""Who is there to hold leases, as a voter has heard it, and in which order they are offered one. Pure.

Each lease has an order of its own over all that stand, by rendezvous hashing: one that comes or goes moves only the
leases at whose top it stands, one in N. Those that are pressed, and holders that fell silent, come last.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

STANDING_MOST = 1_024
NAMED_ALL_MOST = 256  # names of leases beside the shards, of all that stand


@lru_cache(maxsize=65_536)
def weight(lease: str, name: str) -> int:
    """The place of a gateway in the order of a lease: the highest is first."""
    return int.from_bytes(hashlib.blake2b(f"{lease}\0{name}".encode(), digest_size=8).digest())


def shard_of(task: str, shards: int) -> str:
    """The lease under which a task is done. The number of shards is part of its name: see ``sets.py``."""
    best = max(range(shards), key=lambda shard: weight(task, f"shard {shard}"))
    return shard_name(best, shards)


def shard_name(shard: int, shards: int) -> str:
    """As in lists and messages."""
    return f"s{shard}/{shards}"


@dataclass(slots=True)
class Candidate:
    """One gateway that stands; times in us of the voter's clock."""

    life: int
    since: int
    until: int
    named: frozenset[str]
    pressed: bool = False
    doubtful: bool = False  # a lease of it ran out, or it does not hear this voter


class Candidates:
    """All that stand; bounded, and those that are not heard again go."""

    def __init__(self, shards: int) -> None:
        self.shards = shards
        self.shard_names = tuple(shard_name(shard, shards) for shard in range(shards))
        self._shard_set = frozenset(self.shard_names)
        self.all: dict[str, Candidate] = {}
        self.turned_away = 0
        self._named: frozenset[str] | None = None

    def stand(
        self,
        now: int,
        name: str,
        life: int,
        named: Iterable[str],
        pressed: bool,
        until: int,
        hears: bool = True,
    ) -> bool:
        """One tells that it stands; False where there is no room. One that does not hear us would take nothing."""
        old = self.all.get(name)
        if old is None and len(self.all) >= STANDING_MOST:
            self.turned_away += 1
            return False
        same = old is not None and old.life == life
        self.all[name] = Candidate(
            life, old.since if same else now, until, frozenset(named), pressed, not hears
        )
        self._named = None
        return True

    def leave(self, name: str) -> None:
        """One stands no more."""
        if self.all.pop(name, None):
            self._named = None

    def expire(self, now: int) -> None:
        """Forget those that were not heard."""
        for name in [name for name, one in self.all.items() if one.until <= now]:
            self.leave(name)

    @property
    def named(self) -> frozenset[str]:
        """Leases beside the shards that somebody stands for; the first ones by name where there are too many."""
        if self._named is None:
            names = sorted({lease for one in self.all.values() for lease in one.named})
            self._named = frozenset(names[:NAMED_ALL_MOST])
        return self._named

    def known(self, lease: str) -> bool:
        """Whether there is such a lease."""
        return lease in self._shard_set or lease in self.named

    def leases(self) -> list[str]:
        """All that may be held."""
        return [*self.shard_names, *sorted(self.named)]

    def order(self, lease: str) -> list[str]:
        """Whom to offer it, the first one first."""
        able = (
            self.all
            if lease in self._shard_set
            else [n for n, one in self.all.items() if lease in one.named]
        )
        return sorted(
            able,
            key=lambda name: (
                self.all[name].doubtful,
                self.all[name].pressed,
                -weight(lease, name),
            ),
        )

    def moves(self, now: int, name: str, held: Iterable[str], settled: int) -> tuple[str, ...]:
        """Which of the leases that one holds are rather another's, who has stood for ``settled`` us by now.

        Whoever was the first gives way to the newcomer only once it has shown that it stays.
        """
        return tuple(
            lease
            for lease in held
            if (first := next(iter(self.order(lease)), name)) != name
            and self.all[first].since + settled <= now
        )
