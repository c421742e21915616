"""The lease node of one gateway: its proposer, and its acceptor if the gateway is a voter.

No I/O. Received packets are passed in with the name and incarnation of the gateway that signed
them; packets to send are returned with the receiver's name. Time is passed in as ``now`` (us of a
clock that runs while the machine sleeps) and ``wall`` (Unix us, which never steps). ``events``
collects what happened to leases.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .acceptor import Acceptor
from .candidates import Candidates
from .claim import Claim, ClaimStage, FencingToken, LeaseEvent, LeaseRecalled
from .clock_drift import ClockDriftEstimates, Reading
from .gateway_id import GatewayId
from .messages import (
    MAX_NAMED_LEASES,
    NUMBER_LIMIT,
    Accept,
    AcceptorMessage,
    Announce,
    AnnounceReply,
    Message,
    Nack,
    Offer,
    Outgoing,
    OutgoingPacket,
    Packet,
    ProgressStored,
    Promise,
    SealQuery,
    SealReply,
    TaskProgress,
    VoterAnswer,
)
from .packing import MAX_MESSAGES_PER_PACKET, pack_messages
from .progress_reports import ProgressConfirmed, ProgressReports
from .proposer import Proposer
from .recall_votes import RecallVotes
from .suspensions import Suspensions
from .timing import Timing
from .voter_contacts import VoterContact, since_majority_us
from .voter_set import VoterSet, VoterSetTransition

MAX_AVOIDED_LEASES = 256
MAX_FIRST_ANNOUNCE_DELAY_US = 1_000_000
MAX_ANNOUNCE_INTERVAL_US = 600_000_000
# Shown to operators while this gateway's own clock is considered wrong.
CLOCK_STOP_REASON = "our clock runs at another rate than most voters' clocks"

NodeEvent = LeaseEvent | ProgressConfirmed


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that are fixed while a node runs; ``Acceptor`` explains the tokens."""

    timing: Timing
    shard_count: int
    # Leases besides the shards for which this gateway is a candidate.
    named_leases: tuple[str, ...] = ()
    token_floor: int = 0
    reserved_token: int = NUMBER_LIMIT


class LeaseNode:
    """The lease protocol of one incarnation of a gateway."""

    def __init__(
        self,
        gateway: GatewayId,
        settings: NodeSettings,
        voter_set: VoterSet,
        draw: Callable[[], float],
        now: int,
        former_sets: tuple[VoterSet, ...] = (),
        is_candidate: bool = True,
    ) -> None:
        """Join a lease set; ``draw`` returns random numbers from 0 to 1."""
        self.gateway = gateway
        self.name = gateway.name
        self.settings = settings
        self.timing = timing = settings.timing
        self.shard_count = settings.shard_count
        self.named_leases = settings.named_leases[:MAX_NAMED_LEASES]
        self.shard_names = frozenset(Candidates(settings.shard_count).shard_names)
        self.draw = draw
        self.is_candidate = is_candidate
        self.suspensions = Suspensions()
        self.clock_drift = ClockDriftEstimates(timing)
        self.proposer = Proposer(gateway, voter_set.voters, timing, draw)
        self.acceptor: Acceptor | None = None
        self.overloaded = self.draining = False
        self.events: list[NodeEvent] = []
        self.reports = ProgressReports(timing)
        self.contacts: dict[str, VoterContact] = {}
        self.recall_votes = RecallVotes()
        # By lease: the time before which it is not proposed for again.
        self.avoided_until_us: dict[str, int] = {}
        # The highest other voter set number and the last other shard count received; 0: none.
        self.foreign_set_number = self.foreign_shard_count = 0
        # The keys are names in /admin/stats.
        self.counters = {"from_other_sets": 0, "strange": 0}
        self.voter_set = VoterSet(-1, ())
        self.transition = VoterSetTransition(voter_set)
        self.change_voter_set(now, voter_set, former_sets)

    # -- settings ----------------------------------------------------------------------------------

    def change_voter_set(
        self, now: int, voter_set: VoterSet, former_sets: tuple[VoterSet, ...]
    ) -> None:
        """Apply a voter set: the first one, or a change to another."""
        if voter_set == self.voter_set:
            self.transition.former = former_sets
            return
        self.voter_set = voter_set
        self.transition = VoterSetTransition(voter_set, former_sets)
        self.proposer.replace_voters(now, voter_set.voters)
        self.clock_drift.retain(voter_set.voters)
        self.recall_votes.clear()
        max_delay_us = min(MAX_FIRST_ANNOUNCE_DELAY_US, self.timing.duration_us // 2)
        self.contacts = {
            voter: VoterContact(now + int(self.draw() * max_delay_us)) for voter in voter_set.voters
        }
        if self.name not in voter_set.voters:
            self.acceptor = None
        elif self.acceptor is None:
            self.acceptor = Acceptor(
                self.name,
                self.timing,
                Candidates(self.shard_count),
                self.suspensions,
                now,
                self.settings.token_floor,
                self.settings.reserved_token,
            )
        else:
            self.acceptor.restart_silence(now)
        self.transition.record_reply(self.name, voter_set.number)

    def announce_now(self, now: int) -> None:
        """Make an announcement to every voter due now, as this gateway's state has changed."""
        for contact in self.contacts.values():
            contact.next_announce_us = now

    # -- leases ------------------------------------------------------------------------------------

    def token(self, lease: str, clock: Callable[[], int]) -> FencingToken | None:
        """Return the fencing token for a task under this lease; None if it is not held."""
        return self.proposer.token(lease, clock)

    def report_progress(self, now: int, lease: str, progress: tuple[TaskProgress, ...]) -> None:
        """Have the voters store progress; a ``ProgressConfirmed`` event follows from a majority."""
        self.reports.add(now, lease, progress)

    def release(
        self, now: int, wall: int, lease: str, reason: str, avoid_us: int = 0
    ) -> list[OutgoingPacket]:
        """Release a lease, and propose for it again only after ``avoid_us``."""
        if avoid_us:
            self.avoided_until_us[lease] = now + avoid_us
            while len(self.avoided_until_us) > MAX_AVOIDED_LEASES:
                del self.avoided_until_us[next(iter(self.avoided_until_us))]
        self.recall_votes.discard(lease)
        return self._send(now, wall, self.proposer.release(lease, reason))

    def drain(self, now: int, wall: int) -> list[OutgoingPacket]:
        """Stop being a candidate and release all leases, so that others take over at once."""
        self.draining = True
        releases = self.proposer.release_all("we drain")
        # Announcements before releases: otherwise the voters would offer the leases to us again.
        announce = self._announcement(now, wall, 0)
        announcements = [Outgoing(voter, announce) for voter in self.voter_set.voters]
        return self._send(now, wall, announcements + releases)

    # -- time --------------------------------------------------------------------------------------

    def next_at(self) -> int:
        """Return when ``due`` has to be called next."""
        times = self.reports.next_times()
        if self.is_candidate and not self.draining:
            times += [contact.next_announce_us for contact in self.contacts.values()]
        if (proposer_at := self.proposer.next_at()) is not None:
            times.append(proposer_at)
        if self.acceptor and self.transition.complete():
            times.append(self.acceptor.next_at())
        elif self.acceptor:
            times.append(self.transition.next_query_us)
        return min(times, default=NUMBER_LIMIT)

    def due(self, now: int, wall: int) -> list[OutgoingPacket]:
        """Do what is due, and return the packets to send."""
        outgoing = self.proposer.due(now)
        if self.is_candidate and not self.draining:
            outgoing += self._due_announcements(now, wall)
        outgoing += self.reports.due(now, self.voter_set.voters)
        if self.acceptor and self.transition.complete():
            outgoing += self.acceptor.due(now, wall)
        elif self.acceptor:
            query = SealQuery(self.voter_set.number)
            outgoing += [Outgoing(name, query) for name in self.transition.due(now)]
        return self._send(now, wall, outgoing)

    def _due_announcements(self, now: int, wall: int) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        for voter, contact in self.contacts.items():
            if contact.next_announce_us > now:
                continue
            announce = self._announcement(now, wall, contact.voter_clock_us)
            outgoing.append(Outgoing(voter, announce))
            backoff_us = self.timing.resend_after_us * 2 ** min(contact.attempts, 12)
            wait_us = min(self.timing.announce_interval_us, backoff_us)
            contact.next_announce_us = now + int(wait_us * (1 + self.draw()))
            contact.attempts += 1
        return outgoing

    def _announcement(self, now: int, wall: int, voter_clock_us: int) -> Announce:
        return Announce(
            self.shard_count,
            self.named_leases,
            self.overloaded or bool(self.proposer.stop_reason),
            self.draining,
            self.suspensions.all(wall),
            self.proposer.highest_token,
            now,
            voter_clock_us,
        )

    # -- messages ----------------------------------------------------------------------------------

    def receive(
        self, now: int, wall: int, sender: GatewayId, packet: Packet
    ) -> list[OutgoingPacket]:
        """Handle a packet whose sender is authenticated."""
        outgoing: list[Outgoing] = []
        for message in packet.messages[:MAX_MESSAGES_PER_PACKET]:
            if isinstance(message, SealQuery):
                if self.voter_set.number >= message.voter_set_number:
                    outgoing.append(Outgoing(sender.name, SealReply(self.voter_set.number)))
            elif isinstance(message, SealReply):
                self._on_seal_reply(now, sender.name, message)
            elif packet.voter_set_number != self.voter_set.number:
                outgoing += self._on_other_set(sender.name, packet.voter_set_number, message)
            elif isinstance(message, AcceptorMessage):
                outgoing += self._to_acceptor(now, wall, sender, message)
            else:
                clock = packet.sender_clock_us
                outgoing += self._on_voter_message(now, wall, sender, clock, message)
        return self._send(now, wall, outgoing)

    def _to_acceptor(
        self, now: int, wall: int, sender: GatewayId, message: AcceptorMessage
    ) -> list[Outgoing]:
        if self.acceptor and self.transition.complete():
            return self.acceptor.handle(now, wall, sender, message)
        return []

    def _on_other_set(self, sender: str, set_number: int, message: Message) -> list[Outgoing]:
        self.counters["from_other_sets"] += 1
        self.foreign_set_number = max(self.foreign_set_number, min(set_number, NUMBER_LIMIT))
        if set_number < self.voter_set.number and isinstance(message, AcceptorMessage):
            # Tells the sender that its operator file is outdated.
            return [Outgoing(sender, SealReply(self.voter_set.number))]
        return []

    def _on_seal_reply(self, now: int, sender: str, message: SealReply) -> None:
        set_number = message.voter_set_number
        if set_number > self.voter_set.number:
            self.foreign_set_number = max(self.foreign_set_number, min(set_number, NUMBER_LIMIT))
        was_complete = self.transition.complete()
        self.transition.record_reply(sender, set_number)
        if self.acceptor and not was_complete and self.transition.complete():
            self.acceptor.restart_silence(now)

    def _on_voter_message(
        self, now: int, wall: int, sender: GatewayId, clock: int, message: Message
    ) -> list[Outgoing]:
        """Handle a voter's answer or offer.

        ``clock`` is the voter's clock, 0 for our own acceptor.
        """
        contact = self.contacts.get(sender.name)
        if contact is None:
            self.counters["strange"] += 1
            return []
        contact.last_received_us, contact.voter_clock_us = now, clock or now
        match message:
            case Promise() | Accept() | Nack():
                claim = self.proposer.claims.get(message.lease)
                if claim and self._answers_current_round(claim, message):
                    started_us = claim.round_started_us
                    self._read_clock(now, sender, clock, started_us)
                return self.proposer.handle(now, sender.name, message)
            case Offer():
                self._on_offer(now, message)
            case AnnounceReply():
                if 0 < message.announced_at_us <= now:
                    announced_us = message.announced_at_us
                    self._read_clock(now, sender, clock, announced_us)
                self._on_announce_reply(now, wall, sender.name, contact, message)
            case ProgressStored():
                majority = self.voter_set.majority
                if confirmed := self.reports.stored(now, sender.name, message, majority):
                    self.events.append(confirmed)
        return []

    @staticmethod
    def _answers_current_round(claim: Claim, message: VoterAnswer) -> bool:
        """Return whether this answers the request in flight.

        Only such an answer certainly has a clock reading from after the request was sent.
        """
        if claim.ballot != message.ballot:
            return False
        if claim.stage is ClaimStage.PREPARING:
            return isinstance(message, Promise) or (isinstance(message, Nack) and not message.round)
        answered_round = 0 if isinstance(message, Promise) else message.round
        return claim.stage is ClaimStage.PROPOSING and answered_round == claim.round

    def _read_clock(self, now: int, voter: GatewayId, clock: int, requested_us: int) -> None:
        """Update the estimate of a voter's clock rate.

        If most voters' clocks disagree with ours, ours is wrong: this gateway must hold no lease.
        """
        if not clock or voter == self.gateway:
            return
        self.clock_drift.add(voter, Reading(clock, requested_us, now))
        wrong = self.clock_drift.own_clock_is_wrong(self.voter_set.majority)
        self.proposer.distrusted = frozenset() if wrong else frozenset(self.clock_drift.wrong)
        self.proposer.stop_reason = CLOCK_STOP_REASON if wrong else ""

    def _on_offer(self, now: int, offer: Offer) -> None:
        lease = offer.lease
        if not self.is_candidate or self.draining or self.overloaded or self.proposer.stop_reason:
            return
        if self.avoided_until_us.get(lease, 0) > now:
            return
        self.avoided_until_us.pop(lease, None)
        # Ignore leases for which this gateway is no candidate.
        if lease in self.named_leases or lease in self.shard_names:
            spread_us = int(self.draw() * self.timing.stagger_us / 4)
            delay_us = min(max(0, offer.delay_us), self.timing.duration_us) + spread_us
            self.proposer.propose(now, lease, delay_us, offer.ballot_number)

    def _on_announce_reply(
        self, now: int, wall: int, voter: str, contact: VoterContact, reply: AnnounceReply
    ) -> None:
        contact.attempts = 0
        self.proposer.observe_token(reply.highest_token)
        self.foreign_shard_count = reply.shard_count if reply.shard_count != self.shard_count else 0
        interval_us = max(reply.next_announce_us, self.timing.duration_us // 2)
        interval_us = min(interval_us, MAX_ANNOUNCE_INTERVAL_US)
        contact.next_announce_us = now + int(interval_us * (0.9 + 0.2 * self.draw()))
        self.suspensions.merge(reply.suspensions, wall)
        recalled = self.recall_votes.count(
            voter, reply.recalled_leases, self.proposer.claims, self.voter_set.majority
        )
        self.events += [LeaseRecalled(lease) for lease in recalled]

    # -- sending -----------------------------------------------------------------------------------

    def _send(self, now: int, wall: int, outgoing: Iterable[Outgoing]) -> list[OutgoingPacket]:
        """Group messages by receiver; handle those to this gateway itself at once."""
        by_receiver: dict[str, list[Message]] = {}
        waiting = list(outgoing)
        while waiting:
            receiver, message = waiting.pop(0)
            if receiver != self.name:
                by_receiver.setdefault(receiver, []).append(message)
            elif isinstance(message, AcceptorMessage):
                waiting += self._to_acceptor(now, wall, self.gateway, message)
            elif isinstance(message, SealQuery | SealReply):
                self.transition.record_reply(self.name, self.voter_set.number)
            else:
                waiting += self._on_voter_message(now, wall, self.gateway, 0, message)
        self.events += self.proposer.events
        self.proposer.events.clear()
        clock = now if self.acceptor else 0
        packets = pack_messages(by_receiver, self.voter_set.number, clock)
        if self.proposer.stop_reason and self.proposer.claims:
            releases = self.proposer.release_all(self.proposer.stop_reason)
            return self._send(now, wall, releases) + packets
        return packets

    # -- state -------------------------------------------------------------------------------------

    def since_majority_us(self, now: int) -> int | None:
        """Return the time since a majority of the voters last answered; None if it never has."""
        return since_majority_us(self.contacts.values(), self.voter_set.majority, now)
