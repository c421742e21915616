"""The candidates for leases that one voter knows, and the order in which they get offers.

Each lease has its own order of all candidates, by rendezvous hashing: a candidate that joins or
leaves moves only the leases for which it comes first, one in N. Overloaded and suspect candidates
come last. No I/O; times are us of the voter's clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from .gateway_id import GatewayId

MAX_CANDIDATES = 1_024
# Leases besides the shards that all candidates together name.
MAX_NAMED_LEASES_TOTAL = 256


@lru_cache(maxsize=65_536)
def rendezvous_weight(lease: str, name: str) -> int:
    """Return the weight of a gateway in the order of a lease: the highest comes first."""
    return int.from_bytes(hashlib.blake2b(f"{lease}\0{name}".encode(), digest_size=8).digest())


def shard_of(task: str, shard_count: int) -> str:
    """Return the lease under which a task runs; the shard count is part of its name."""
    best = max(range(shard_count), key=lambda shard: rendezvous_weight(task, f"shard {shard}"))
    return shard_name(best, shard_count)


def shard_name(shard: int, shard_count: int) -> str:
    """Return the lease name of a shard, as in lists and messages."""
    return f"s{shard}/{shard_count}"


@dataclass(slots=True)
class Candidate:
    """One gateway that has announced itself."""

    incarnation: int
    since_us: int
    expires_us: int
    named_leases: frozenset[str]
    overloaded: bool = False
    # It has let a lease expire, or it does not receive this voter's answers.
    suspect: bool = False


class Candidates:
    """A bounded set of candidates, which expire unless they announce themselves again."""

    def __init__(self, shard_count: int) -> None:
        """Start without candidates, for this number of shards."""
        self.shard_count = shard_count
        self.shard_names = tuple(shard_name(shard, shard_count) for shard in range(shard_count))
        self._shard_set = frozenset(self.shard_names)
        self.by_name: dict[str, Candidate] = {}
        self.rejected_count = 0
        self._named_leases: frozenset[str] | None = None

    def announce(
        self,
        now: int,
        gateway: GatewayId,
        named_leases: Iterable[str],
        overloaded: bool,
        expires_us: int,
        receives_answers: bool = True,
    ) -> bool:
        """Add or refresh a candidate; return False if there are too many for a new one.

        A candidate that does not receive our answers could acquire no lease, so it is suspect.
        """
        previous = self.by_name.get(gateway.name)
        if previous is None and len(self.by_name) >= MAX_CANDIDATES:
            self.rejected_count += 1
            return False
        since_us = now
        if previous is not None and previous.incarnation == gateway.incarnation:
            since_us = previous.since_us
        self.by_name[gateway.name] = Candidate(
            gateway.incarnation,
            since_us,
            expires_us,
            frozenset(named_leases),
            overloaded,
            not receives_answers,
        )
        self._named_leases = None
        return True

    def remove(self, name: str) -> None:
        """Remove a candidate."""
        if self.by_name.pop(name, None):
            self._named_leases = None

    def expire(self, now: int) -> None:
        """Remove the candidates that have not announced themselves again in time."""
        for name in [name for name, one in self.by_name.items() if one.expires_us <= now]:
            self.remove(name)

    @property
    def named_leases(self) -> frozenset[str]:
        """Return the leases besides the shards that candidates name.

        Beyond ``MAX_NAMED_LEASES_TOTAL`` the last ones in the order of names are ignored.
        """
        if self._named_leases is None:
            names = sorted({lease for one in self.by_name.values() for lease in one.named_leases})
            self._named_leases = frozenset(names[:MAX_NAMED_LEASES_TOTAL])
        return self._named_leases

    def known(self, lease: str) -> bool:
        """Return whether a lease of this name exists."""
        return lease in self._shard_set or lease in self.named_leases

    def leases(self) -> list[str]:
        """Return the names of all leases that can be held."""
        return [*self.shard_names, *sorted(self.named_leases)]

    def order(self, lease: str) -> list[str]:
        """Return the candidates for a lease, the most preferred first."""
        eligible: Iterable[str] = self.by_name
        if lease not in self._shard_set:
            eligible = [name for name, one in self.by_name.items() if lease in one.named_leases]
        return sorted(
            eligible,
            key=lambda name: (
                self.by_name[name].suspect,
                self.by_name[name].overloaded,
                -rendezvous_weight(lease, name),
            ),
        )

    def misplaced(
        self, now: int, name: str, held: Iterable[str], settled_us: int
    ) -> tuple[str, ...]:
        """Return which of the leases that a gateway holds should move to a preferred candidate.

        That candidate must have been known for ``settled_us``, so that no lease moves to a gateway
        that soon leaves again.
        """
        return tuple(
            lease
            for lease in held
            if (first := next(iter(self.order(lease)), name)) != name
            and self.by_name[first].since_us + settled_us <= now
        )
