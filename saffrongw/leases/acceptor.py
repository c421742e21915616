"""The acceptor of one voter: its promises, and the leases that it has granted.

No I/O: callers pass in the time and messages, and get messages back. Nothing is stored on disk. A
restart is safe all the same: grants expire on the acceptor's own clock, and an acceptor that
starts, and so may have forgotten grants, is silent until all of them have expired (``timing.py``).

An acceptor grants a lease to one holder at a time, and to no other gateway before that grant has
expired or was released. Any two majorities share an acceptor, so no two gateways hold a lease at
once. Mutual exclusion rests on this alone; promises only keep competing proposers from splitting
the votes.

``now`` is this voter's monotonic clock in us. ``wall`` is Unix time in us, used for two things
only: the first fencing token after a loss of memory, and the time since when the memory is
complete. Mutual exclusion depends on neither.
"""

from __future__ import annotations

from collections.abc import Iterable

from .candidates import MAX_NAMED_LEASES_TOTAL, Candidates
from .gateway_id import GatewayId
from .lease_record import GrantRow, LeaseRecord
from .messages import (
    NUMBER_LIMIT,
    Accept,
    Announce,
    AnnounceReply,
    Message,
    Nack,
    NackReason,
    Offer,
    Outgoing,
    Prepare,
    ProgressStored,
    Promise,
    Propose,
    Release,
    ReportProgress,
)
from .rejections import nack, reject_foreign_ballot, reject_held, reject_outdated, reject_suspended
from .spec import MAX_TASKS_PER_LEASE
from .suspensions import Suspensions
from .timing import MILLISECOND_US, SECOND_US, Timing

# Candidates to whom a free lease is offered at the same time.
OFFERS_AT_ONCE = 2
# Announcements from all candidates together; the more candidates, the longer the announce interval.
MAX_ANNOUNCEMENTS_PER_S = 4
# Leases that one reply asks a gateway to release for a preferred candidate.
MAX_RECALLS_AT_ONCE = 4


class Acceptor:
    """The state of all leases at one voter."""

    def __init__(
        self,
        name: str,
        timing: Timing,
        candidates: Candidates,
        suspensions: Suspensions,
        now: int,
        token_floor: int = 0,
        reserved_token: int = NUMBER_LIMIT,
    ) -> None:
        """Start silent, with empty memory.

        A new holder gets a fencing token above ``token_floor``. No token above ``reserved_token``,
        the highest one reserved on disk, is granted.
        """
        self.name = name
        self.timing = timing
        self.candidates = candidates
        self.suspensions = suspensions
        self.silent_until_us = now + timing.silence_us
        # Since when the memory is complete, in Unix us; 0 while silent.
        self.memory_since_us = 0
        self.token_floor = token_floor
        self.reserved_token = reserved_token
        # The highest fencing token seen in any message.
        self.highest_token = token_floor
        self.records: dict[str, LeaseRecord] = {}
        self.last_sweep_us = now
        # The keys are names in /admin/stats.
        self.counters = {
            "granted": 0,
            "refused": 0,
            "expired": 0,
            "released": 0,
            "offered": 0,
            "dropped": 0,
        }
        self._sweep(now)

    # -- time ------------------------------------------------------------------------------------

    def silent(self, now: int, wall: int) -> bool:
        """Return whether the acceptor must not answer yet.

        The call that ends the silence also raises the token floor to Unix time in ms.
        """
        if not self.memory_since_us:
            if now < self.silent_until_us:
                return True
            self.memory_since_us = wall
            self.token_floor = max(self.token_floor, self.highest_token, wall // MILLISECOND_US)
            for record in self.records.values():
                # Voters that started together end their silence at about the same time: wait for
                # the others before the first offer.
                record.next_offer_us = now + self.timing.offer_interval_us
        return False

    def silent_for_us(self, now: int) -> int:
        """Return how much longer the acceptor stays silent."""
        return 0 if self.memory_since_us else max(0, self.silent_until_us - now)

    def restart_silence(self, now: int) -> None:
        """Forget all grants and be silent as after a start.

        Called when the voter set changes: the former set may have granted the same leases.
        """
        self.token_floor = self.highest_granted_token()
        self.records.clear()
        self.silent_until_us, self.memory_since_us = now + self.timing.silence_us, 0
        self._sweep(now)

    def highest_granted_token(self) -> int:
        """Return the highest token granted so far, at least the token floor."""
        tokens = [record.highest_token for record in self.records.values()]
        return max([self.token_floor, *tokens])

    def next_at(self) -> int:
        """Return when ``due`` has to be called next."""
        if not self.memory_since_us:
            return self.silent_until_us
        earliest = self.last_sweep_us + self.timing.duration_us
        for record in self.records.values():
            if at := record.expires_us or record.next_offer_us:
                earliest = min(earliest, at)
        return earliest

    def due(self, now: int, wall: int) -> list[Outgoing]:
        """Expire grants, and return offers of free leases."""
        if self.silent(now, wall):
            return []
        outgoing: list[Outgoing] = []
        if now - self.last_sweep_us >= self.timing.duration_us:
            self._sweep(now)
        for lease, record in self.records.items():
            self._expire_if_over(now, record)
            if not record.expires_us and record.next_offer_us and record.next_offer_us <= now:
                outgoing += self._offer(now, wall, lease, record)
        return outgoing

    def _expire_if_over(self, now: int, record: LeaseRecord) -> None:
        """Expire a grant that was not renewed in time.

        Its holder counts as suspect until its next announcement.
        """
        if not record.expires_us or record.expires_us > now:
            return
        candidate = self.candidates.by_name.get(record.granted.proposer)
        if candidate and candidate.incarnation == record.granted.incarnation:
            candidate.suspect = True
        self.counters["expired"] += 1
        record.free(now)

    def _offer(self, now: int, wall: int, lease: str, record: LeaseRecord) -> list[Outgoing]:
        """Offer a free lease to the next candidates in its order.

        Each further offer goes to the candidates that follow in the order.
        """
        record.next_offer_us = now + self.timing.offer_interval_us
        if self.suspensions.active(lease, wall):
            return []
        order = self.candidates.order(lease)
        if not order:
            return []
        first = record.offer_count * OFFERS_AT_ONCE % len(order)
        record.offer_count += 1
        chosen = order[first : first + OFFERS_AT_ONCE]
        self.counters["offered"] += len(chosen)
        return [
            Outgoing(name, Offer(lease, index * self.timing.stagger_us, record.promised.number))
            for index, name in enumerate(chosen)
        ]

    def _sweep(self, now: int) -> None:
        """Add records of new leases, and drop those of leases that no longer exist.

        Dropping a record forgets it as a restart does, so it must be unused for ``silence_us``.
        """
        self.last_sweep_us = now
        self.candidates.expire(now)
        max_records = len(self.candidates.shard_names) + 2 * MAX_NAMED_LEASES_TOTAL
        for lease in self.candidates.leases():
            if lease not in self.records and len(self.records) < max_records:
                self._record(now, lease)
        for lease, record in list(self.records.items()):
            unused = now - record.last_used_us > self.timing.silence_us
            if not record.expires_us and not self.candidates.known(lease) and unused:
                self.token_floor = max(self.token_floor, record.highest_token)
                del self.records[lease]

    def _record(self, now: int, lease: str) -> LeaseRecord:
        record = self.records.get(lease)
        if record is None:
            record = LeaseRecord(last_used_us=now, next_offer_us=now)
            self.records[lease] = record
        return record

    # -- messages --------------------------------------------------------------------------------

    def handle(self, now: int, wall: int, sender: GatewayId, message: Message) -> list[Outgoing]:
        """Handle a message of a gateway and return the answers."""
        if isinstance(message, Announce | Prepare):
            self._observe_token(message.highest_token)
        elif isinstance(message, Propose):
            self._observe_token(message.fencing_token)
        if isinstance(message, Announce):
            return self._on_announce(now, wall, sender, message)
        if self.silent(now, wall):
            return []
        match message:
            case Prepare():
                return self._answer(sender, self._on_prepare(now, wall, sender, message))
            case Propose():
                return self._answer(sender, self._on_propose(now, wall, sender, message))
            case Release():
                return self._on_release(now, wall, sender, message)
            case ReportProgress():
                return self._on_report(now, sender, message)
        return []

    def _answer(self, sender: GatewayId, answer: Promise | Accept | Nack) -> list[Outgoing]:
        if isinstance(answer, Nack):
            self.counters["refused"] += 1
        return [Outgoing(sender.name, answer)]

    def _observe_token(self, token: int) -> None:
        """Track the highest fencing token that any message carries.

        This is done while silent too: if clocks were set back, tokens still grow above those that
        some gateway remembers.
        """
        if token < NUMBER_LIMIT // 2:
            self.highest_token = max(self.highest_token, token)

    def _reject_any(self, wall: int, request: Prepare | Propose, sender: GatewayId) -> Nack | None:
        """Reject what neither phase accepts: foreign ballots, unknown and suspended leases."""
        if rejected := reject_foreign_ballot(request, sender):
            return rejected
        if not self.candidates.known(request.lease):
            return nack(request, NackReason.UNKNOWN)
        return reject_suspended(request, self.suspensions.active(request.lease, wall), wall)

    def _on_prepare(
        self, now: int, wall: int, sender: GatewayId, request: Prepare
    ) -> Promise | Nack:
        if rejected := self._reject_any(wall, request, sender):
            return rejected
        record = self._record(now, request.lease)
        # Promise nothing for a lease that another gateway holds: the promise would only obstruct
        # the holder's next round.
        self._expire_if_over(now, record)
        if rejected := reject_held(request, sender, record, now):
            return rejected
        if request.ballot < record.promised:
            return nack(request, NackReason.OUTBID, record.promised.number)
        record.promised, record.last_used_us = request.ballot, now
        progress = tuple(record.progress.values()) if request.initial else ()
        token = max(record.highest_token, self.token_floor)
        return Promise(request.lease, request.ballot, token, self.memory_since_us, progress)

    def _on_propose(
        self, now: int, wall: int, sender: GatewayId, request: Propose
    ) -> Accept | Nack:
        if rejected := self._reject_any(wall, request, sender):
            return rejected
        if request.duration_us > self.timing.duration_us:
            return nack(request, NackReason.DURATION)
        if not 0 < request.fencing_token <= self.reserved_token:
            return nack(request, NackReason.TOKEN)
        record = self._record(now, request.lease)
        # Grant to one holder at a time, whatever was promised. Any two majorities share an
        # acceptor, so there are no two holders even if an acceptor has forgotten a promise.
        self._expire_if_over(now, record)
        if rejected := reject_held(request, sender, record, now):
            return rejected
        if rejected := reject_outdated(request, record, self.token_floor):
            return rejected
        record.last_used_us = now
        if record.is_duplicate(now, request):
            # A delayed duplicate must not extend the grant.
            return Accept(request.lease, request.ballot, request.round)
        self.counters["granted"] += 1
        return record.grant(now, request, self.timing.duration_us)

    def _on_release(
        self, now: int, wall: int, sender: GatewayId, message: Release
    ) -> list[Outgoing]:
        record = self.records.get(message.lease)
        if record is None or message.ballot.owner != sender:
            return []
        record.released = message.ballot
        if record.expires_us and record.holder == sender and record.granted <= message.ballot:
            self.counters["released"] += 1
            record.free(now)
            record.last_used_us = now
            return self._offer(now, wall, message.lease, record)
        return []

    def _on_report(self, now: int, sender: GatewayId, message: ReportProgress) -> list[Outgoing]:
        if not self.candidates.known(message.lease) or len(message.progress) > MAX_TASKS_PER_LEASE:
            return []
        self._record(now, message.lease).store_progress(message.progress)
        return [Outgoing(sender.name, ProgressStored(message.lease, message.request_id))]

    # -- candidates ------------------------------------------------------------------------------

    def _on_announce(
        self, now: int, wall: int, sender: GatewayId, message: Announce
    ) -> list[Outgoing]:
        silent = self.silent(now, wall)
        if message.shard_count != self.candidates.shard_count:
            # With another shard count the same tasks run under other leases: the sender is no
            # candidate here.
            reply = AnnounceReply(
                self.timing.announce_interval_us,
                (),
                (),
                self.silent_for_us(now),
                self.candidates.shard_count,
                announced_at_us=message.sent_at_us,
            )
            return [Outgoing(sender.name, reply)]
        self.suspensions.merge(message.suspensions, wall)
        if message.draining:
            self.candidates.remove(sender.name)
            return []
        interval_us = self._announce_interval_us()
        if not self._add_candidate(now, sender, message, interval_us):
            self.counters["dropped"] += 1
            return []
        held = self._held_by(now, sender)
        misplaced: tuple[str, ...] = ()
        if not silent:
            settled_us = self.timing.duration_us
            misplaced = self.candidates.misplaced(now, sender.name, held, settled_us)
        suspended = (lease for lease in held if self.suspensions.active(lease, wall))
        reply = AnnounceReply(
            interval_us,
            (*suspended, *misplaced[:MAX_RECALLS_AT_ONCE]),
            self.suspensions.all(wall),
            self.silent_for_us(now),
            self.candidates.shard_count,
            self.highest_token,
            message.sent_at_us,
        )
        return [Outgoing(sender.name, reply)]

    def _announce_interval_us(self) -> int:
        load_bound_us = len(self.candidates.by_name) * SECOND_US // MAX_ANNOUNCEMENTS_PER_S
        return max(self.timing.announce_interval_us, load_bound_us)

    def _add_candidate(
        self, now: int, sender: GatewayId, message: Announce, interval_us: int
    ) -> bool:
        named_before = self.candidates.named_leases
        expires_us = now + int(3.5 * interval_us)
        receives_answers = (
            0 < message.voter_clock_us <= now < message.voter_clock_us + 4 * interval_us
        )
        if not self.candidates.announce(
            now,
            sender,
            message.named_leases,
            message.overloaded,
            expires_us,
            receives_answers,
        ):
            return False
        if not self.records or self.candidates.named_leases != named_before:
            self._sweep(now)
        return True

    def _held_by(self, now: int, sender: GatewayId) -> list[str]:
        return [
            lease
            for lease, record in self.records.items()
            if record.expires_us > now and record.holder == sender
        ]

    # -- state -----------------------------------------------------------------------------------

    def rows(self, now: int) -> Iterable[GrantRow]:
        """Return all leases as rows for /admin/leases."""
        for lease, record in self.records.items():
            yield record.row(now, lease)
