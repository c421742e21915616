"""One voter: what it has promised, granted and heard. Pure: time and messages in, messages out.

It keeps nothing on a disk. What makes that safe is time alone: a grant runs out by the voter's own clock, and a voter
that starts, and so may have forgotten grants, says nothing until all of them have run out (``timing.py``).

A voter grants a lease to one holder at a time and to nobody else before that grant has run out or was given back. Any
two majorities share a voter: that alone is why no two hold it. Promises keep those who ask from halving the votes.

Times ``now`` are us of this voter's monotonic clock, ``wall`` is Unix us and is used for two things only: where
fencing numbers begin after a loss of memory, and since when this memory is whole. Neither is needed for one holder at
a time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .candidates import NAMED_ALL_MOST, Candidates
from .messages import (
    LARGEST,
    NO_BALLOT,
    Accept,
    Ballot,
    Free,
    Message,
    Note,
    Prepare,
    Promise,
    Propose,
    Refuse,
    Release,
    Roster,
    Stand,
    Tell,
    Told,
    Why,
)
from .spec import NOTES_MOST
from .suspensions import Suspensions
from .timing import Timing

MS = 1_000
OFFERED_AT_ONCE = 2  # gateways to whom a free lease is offered in one go
STANDS_A_SECOND = 4  # tellings that a voter takes on, of all gateways together
MOVED_AT_ONCE = 4  # leases that one gateway is asked to give up for another at once

Out = list[tuple[str, Message]]  # to whom, what


@dataclass(slots=True)
class Entry:
    """One lease, as this voter has it."""

    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT  # of the grant
    gone: Ballot = NO_BALLOT  # the last one that was given back
    round: int = 0
    number: int = 0
    until: int = 0  # 0: no grant
    mark: int = 0
    notes: dict[bytes, Note] = field(default_factory=dict)
    touched: int = 0
    offers: int = 0
    offer_at: int = 0

    @property
    def holder(self) -> tuple[str, int] | None:
        """Name and life of whom it was granted to."""
        return self.ballot[1:] if self.until else None


class Acceptor:
    """The state of all leases at one voter."""

    def __init__(
        self,
        name: str,
        timing: Timing,
        standing: Candidates,
        holds: Suspensions,
        now: int,
        floor: int = 0,
        reserved: int = LARGEST,
    ) -> None:
        """``floor``: a number below which none may be given, from a disk; ``reserved``: the disk vouches up to here."""
        self.name, self.timing, self.standing, self.holds = name, timing, standing, holds
        self.silent_until = now + timing.silence
        self.known_from = 0
        self.floor, self.reserved = floor, reserved
        self.seen = floor  # the highest number met anywhere
        self.entries: dict[str, Entry] = {}
        self.swept = now
        self.counts = {
            "granted": 0,
            "refused": 0,
            "expired": 0,
            "released": 0,
            "offered": 0,
            "dropped": 0,
        }
        self._sweep(now)

    # -- time ------------------------------------------------------------------------------------------------------

    def silent(self, now: int, wall: int) -> bool:
        """Whether it says nothing yet. When the silence ends numbers begin at the wall clock, in ms."""
        if not self.known_from:
            if now < self.silent_until:
                return True
            self.known_from = wall
            self.floor = max(self.floor, self.seen, wall // MS)
            for entry in self.entries.values():
                entry.offer_at = (
                    now + self.timing.push_every
                )  # voters that started together end together
        return False

    def be_silent(self, now: int) -> None:
        """Begin anew, as after a start: what was granted before is somebody else's to know (``sets.py``)."""
        self.floor = max([self.floor, *(entry.mark for entry in self.entries.values())])
        self.entries.clear()
        self.silent_until, self.known_from = now + self.timing.silence, 0
        self._sweep(now)

    def next_at(self) -> int:
        """When ``due`` has something to do, at the latest."""
        if not self.known_from:
            return self.silent_until
        least = self.swept + self.timing.span
        for entry in self.entries.values():
            if at := entry.until or entry.offer_at:
                least = min(least, at)
        return least

    def due(self, now: int, wall: int) -> Out:
        """Grants that ran out, and offers of what nobody holds."""
        if self.silent(now, wall):
            return []
        out: Out = []
        if now - self.swept >= self.timing.span:
            self._sweep(now)
        for lease, entry in self.entries.items():
            if entry.until and entry.until <= now:
                self._lapse(now, entry)
            if not entry.until and entry.offer_at and entry.offer_at <= now:
                out += self._offer(now, wall, lease, entry)
        return out

    def _lapse(self, now: int, entry: Entry) -> None:
        """A grant has run out unrenewed: its holder is not offered anything first until it is heard again."""
        stander = self.standing.all.get(entry.ballot[1])
        if stander and stander.life == entry.ballot[2]:
            stander.doubtful = True
        self.counts["expired"] += 1
        self._free(now, entry)

    def _free(self, now: int, entry: Entry) -> None:
        entry.until, entry.offers, entry.offer_at = 0, 0, now

    def _offer(self, now: int, wall: int, lease: str, entry: Entry) -> Out:
        """To two at a time, and further down the order each time that nobody took it."""
        entry.offer_at = now + self.timing.push_every
        if self.holds.on(lease, wall):
            return []
        order = self.standing.order(lease)
        if not order:
            return []
        begin = entry.offers * OFFERED_AT_ONCE % len(order)
        entry.offers += 1
        chosen = order[begin : begin + OFFERED_AT_ONCE]
        self.counts["offered"] += len(chosen)
        return [
            (name, Free(lease, place * self.timing.stagger, entry.promised[0]))
            for place, name in enumerate(chosen)
        ]

    def _sweep(self, now: int) -> None:
        """Know the leases that there are, and forget others: a promise, like at a start, only after the silence."""
        self.swept = now
        self.standing.expire(now)
        for lease in self.standing.leases():
            if (
                lease not in self.entries
                and len(self.entries) < len(self.standing.shard_names) + 2 * NAMED_ALL_MOST
            ):
                self._entry(now, lease)
        for lease, entry in list(self.entries.items()):
            if (
                not entry.until
                and not self.standing.known(lease)
                and now - entry.touched > self.timing.silence
            ):
                self.floor = max(self.floor, entry.mark)
                del self.entries[lease]

    def _entry(self, now: int, lease: str) -> Entry:
        entry = self.entries.get(lease)
        if entry is None:
            entry = self.entries[lease] = Entry(touched=now, offer_at=now)
        return entry

    # -- messages --------------------------------------------------------------------------------------------------

    def handle(self, now: int, wall: int, sender: str, life: int, message: Message) -> Out:
        """What one gateway says; the answers go to it."""
        if isinstance(message, Stand | Prepare):
            self._saw(message.seen)
        elif isinstance(message, Propose):
            self._saw(message.number)
        if isinstance(message, Stand):
            return self._stand(now, wall, sender, life, message)
        if self.silent(now, wall):
            return []
        match message:
            case Prepare():
                return [(sender, self._prepare(now, wall, sender, life, message))]
            case Propose():
                return [(sender, self._propose(now, wall, sender, life, message))]
            case Release():
                return self._release(now, wall, sender, life, message)
            case Tell():
                return self._tell(now, sender, message)
        return []

    def _saw(self, number: int) -> None:
        """Heard in silence too: whoever remembers keeps numbers growing where clocks were set back."""
        if number < LARGEST // 2:
            self.seen = max(self.seen, number)

    def _refuse(
        self, about: Prepare | Propose, why: Why, n: int = 0, left: int = 0, holder: str = ""
    ) -> Refuse:
        self.counts["refused"] += 1
        number = about.round if isinstance(about, Propose) else 0
        return Refuse(about.lease, about.ballot, number, why, n, left, holder)

    def _barred(self, wall: int, sender: str, life: int, about: Prepare | Propose) -> Refuse | None:
        """What stands against any question."""
        if about.ballot[1:] != (sender, life) or not 0 < about.ballot[0] < LARGEST:
            return self._refuse(about, Why.UNKNOWN)  # nobody asks for somebody else
        if not self.standing.known(about.lease):
            return self._refuse(about, Why.UNKNOWN)
        if hold := self.holds.on(about.lease, wall):
            return self._refuse(
                about, Why.HOLD, left=int((hold.until - wall / 1e6) * 1e6), holder=hold.who
            )
        return None

    def _prepare(
        self, now: int, wall: int, sender: str, life: int, asked: Prepare
    ) -> Promise | Refuse:
        if barred := self._barred(wall, sender, life, asked):
            return barred
        entry = self._entry(now, asked.lease)
        if entry.until and entry.until <= now:
            self._lapse(now, entry)
        if entry.holder not in (None, (sender, life)):
            # Not even a promise: it would only stand in the way of the holder's next round.
            return self._refuse(asked, Why.HELD, left=entry.until - now, holder=entry.ballot[1])
        if asked.ballot < entry.promised:
            return self._refuse(asked, Why.OLDER, n=entry.promised[0])
        entry.promised, entry.touched = asked.ballot, now
        notes = tuple(entry.notes.values()) if asked.fresh else ()
        return Promise(
            asked.lease, asked.ballot, max(entry.mark, self.floor), self.known_from, notes
        )

    def _propose(
        self, now: int, wall: int, sender: str, life: int, asked: Propose
    ) -> Accept | Refuse:
        if barred := self._barred(wall, sender, life, asked):
            return barred
        if asked.span > self.timing.span:
            return self._refuse(asked, Why.SPAN)
        if not 0 < asked.number <= self.reserved:
            return self._refuse(asked, Why.NUMBERS)
        entry = self._entry(now, asked.lease)
        if entry.until and entry.until <= now:
            self._lapse(now, entry)
        if entry.holder not in (None, (sender, life)):
            # Each voter has one holder at a time, whatever it promised: two majorities share a voter, so there are
            # no two holders even where a voter has forgotten a promise.
            return self._refuse(asked, Why.HELD, left=entry.until - now, holder=entry.ballot[1])
        if asked.ballot[1:] == entry.ballot[1:] and asked.ballot < entry.ballot:
            # A late copy from before its holder lost or gave back the lease and had it again. Were it taken, the
            # release of that time, later still, would give away what is held now.
            return self._refuse(asked, Why.OLDER, n=entry.ballot[0])
        if asked.ballot[1:] == entry.gone[1:] and asked.ballot <= entry.gone:
            return self._refuse(
                asked, Why.OLDER, n=entry.gone[0]
            )  # a late copy of what was given back
        if asked.fresh and asked.ballot < entry.promised:
            return self._refuse(asked, Why.OLDER, n=entry.promised[0])
        new = asked.fresh and entry.ballot[1:] != (sender, life)
        if new and asked.number <= max(entry.mark, self.floor):
            return self._refuse(asked, Why.NUMBERS)  # they only grow, for the same reason
        entry.touched = now
        if entry.until > now and entry.ballot == asked.ballot and asked.round < entry.round:
            return Accept(
                asked.lease, asked.ballot, asked.round
            )  # a late copy: it lengthens nothing
        entry.promised, entry.ballot = max(entry.promised, asked.ballot), asked.ballot
        entry.round, entry.number, entry.until = asked.round, asked.number, now + self.timing.span
        entry.mark = max(entry.mark, asked.number)
        entry.offer_at = 0
        self.counts["granted"] += 1
        return Accept(asked.lease, asked.ballot, asked.round)

    def _release(self, now: int, wall: int, sender: str, life: int, told: Release) -> Out:
        entry = self.entries.get(told.lease)
        if entry is None or told.ballot[1:] != (sender, life):
            return []
        entry.gone = told.ballot
        if entry.until and entry.holder == (sender, life) and entry.ballot <= told.ballot:
            self.counts["released"] += 1
            self._free(now, entry)
            entry.touched = now
            return self._offer(now, wall, told.lease, entry)
        return []

    def _tell(self, now: int, sender: str, told: Tell) -> Out:
        if not self.standing.known(told.lease) or len(told.notes) > NOTES_MOST:
            return []
        entry = self._entry(now, told.lease)
        for note in told.notes:
            if note.later_than(entry.notes.get(note.task)):
                entry.notes.pop(note.task, None)
                entry.notes[note.task] = note  # the latest last
        while len(entry.notes) > NOTES_MOST:
            del entry.notes[next(iter(entry.notes))]
        return [(sender, Told(told.lease, told.tag))]

    def _stand(self, now: int, wall: int, sender: str, life: int, told: Stand) -> Out:
        silent = self.silent(now, wall)
        left = 0 if self.known_from else max(0, self.silent_until - now)
        if told.shards != self.standing.shards:
            # Another number of shards means other leases for the same tasks: it gets none here.
            return [
                (
                    sender,
                    Roster(self.timing.stand_every, (), (), left, self.standing.shards, 0, told.at),
                )
            ]
        self.holds.merge(told.holds, wall)
        if told.leaving:
            self.standing.leave(sender)
            return []
        again = max(self.timing.stand_every, len(self.standing.all) * 1_000_000 // STANDS_A_SECOND)
        before = self.standing.named
        until, hears = now + int(3.5 * again), 0 < told.heard <= now < told.heard + 4 * again
        if not self.standing.stand(now, sender, life, told.named, told.pressed, until, hears):
            self.counts["dropped"] += 1
            return []
        if not self.entries or self.standing.named != before:
            self._sweep(now)
        held = [
            lease
            for lease, e in self.entries.items()
            if e.until > now and e.holder == (sender, life)
        ]
        settled = self.timing.span
        move = () if silent else self.standing.moves(now, sender, held, settled)[:MOVED_AT_ONCE]
        barred = [lease for lease in held if self.holds.on(lease, wall)]
        roster = Roster(
            again,
            (*barred, *move),
            self.holds.all(wall),
            left,
            self.standing.shards,
            self.seen,
            told.at,
        )
        return [(sender, roster)]

    # -- what operators see ----------------------------------------------------------------------------------------

    def rows(self, now: int) -> Iterable[tuple[str, str, int, int]]:
        """Lease, holder (empty: none), number, us that are left of the grant."""
        for lease, entry in self.entries.items():
            held = entry.until > now
            yield (
                lease,
                entry.ballot[1] if held else "",
                entry.mark,
                entry.until - now if held else 0,
            )
