"""The checks by which an acceptor rejects a prepare or a proposal.

The functions are pure and return None if there is no reason to reject.
"""

from __future__ import annotations

from .gateway_id import GatewayId
from .lease_record import LeaseRecord
from .messages import NUMBER_LIMIT, Nack, NackReason, Prepare, Propose, Suspension
from .timing import SECOND_US

Request = Prepare | Propose


def nack(
    request: Request,
    reason: NackReason,
    ballot_number: int = 0,
    remaining_us: int = 0,
    holder: str = "",
) -> Nack:
    """Return the rejection of a request; its round is 0 if the request is a prepare."""
    rejected_round = request.round if isinstance(request, Propose) else 0
    return Nack(
        request.lease, request.ballot, rejected_round, reason, ballot_number, remaining_us, holder
    )


def reject_foreign_ballot(request: Request, sender: GatewayId) -> Nack | None:
    """Reject a ballot that is not the sender's own, or whose number is out of bounds."""
    if request.ballot.owner != sender or not 0 < request.ballot.number < NUMBER_LIMIT:
        return nack(request, NackReason.UNKNOWN)
    return None


def reject_suspended(request: Request, suspension: Suspension | None, wall: int) -> Nack | None:
    """Reject a request for a lease that an operator has suspended."""
    if suspension is None:
        return None
    remaining_us = int((suspension.until_s - wall / SECOND_US) * SECOND_US)
    return nack(
        request, NackReason.SUSPENDED, remaining_us=remaining_us, holder=suspension.operator
    )


def reject_held(request: Request, sender: GatewayId, record: LeaseRecord, now: int) -> Nack | None:
    """Reject a request for a lease that is granted to another gateway.

    The caller must have ended an expired grant first.
    """
    if record.holder in (None, sender):
        return None
    remaining_us, holder = record.expires_us - now, record.granted.proposer
    return nack(request, NackReason.HELD, remaining_us=remaining_us, holder=holder)


def reject_outdated(request: Propose, record: LeaseRecord, token_floor: int) -> Nack | None:
    """Reject delayed duplicates, ballots below a promise, and fencing tokens that do not grow."""
    ballot = request.ballot
    if ballot.owner == record.granted.owner and ballot < record.granted:
        # A delayed duplicate from before the holder lost or released the lease and acquired it
        # again. If it were granted, a release under the same old ballot that arrives even later
        # would free the lease that is held now.
        return nack(request, NackReason.OUTBID, record.granted.number)
    if ballot.owner == record.released.owner and ballot <= record.released:
        # A delayed duplicate under a ballot that was released.
        return nack(request, NackReason.OUTBID, record.released.number)
    if not request.initial:
        return None
    if ballot < record.promised:
        return nack(request, NackReason.OUTBID, record.promised.number)
    new_holder = record.granted.owner != ballot.owner
    if new_holder and request.fencing_token <= max(record.highest_token, token_floor):
        return nack(request, NackReason.TOKEN)
    return None
