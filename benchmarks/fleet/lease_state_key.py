"""Keys that identify equivalent states of an explored lease case.

States share a key if they differ only in the names of acceptors, in the age of past events, or in
the values of fencing tokens but not in their order.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable

from saffrongw.leases.acceptor import Acceptor
from saffrongw.leases.claim import Claim
from saffrongw.leases.lease_record import LeaseRecord
from saffrongw.leases.messages import Accept, Message, Nack, Prepare, Promise, Propose, Release
from saffrongw.leases.timing import Timing

from .lease_case_state import LEASE, TICK_US, CaseState, Mail

Ranks = dict[int, int]


def state_key(
    state: CaseState,
    timing: Timing,
    acceptor_now: int,
    proposer_now: int,
    can_matter: Callable[[Mail], bool],
) -> Hashable:
    """Return the key of a state; mail to a proposer is included only if ``can_matter`` is true."""
    claims = [one.claims.get(LEASE) for one in state.proposers]
    ranks = _ranks(_tokens(state, claims))
    mail_keys = _mail_keys(state, ranks, can_matter)
    acceptors = []
    for acceptor in state.acceptors:
        name = acceptor.name
        votes = tuple(
            (name in one.agreeing, name in one.rejecting) if one else () for one in claims
        )
        key = _acceptor_key(acceptor, acceptor_now, ranks)
        acceptors.append((key, votes, tuple(sorted(mail_keys[name]))))
    proposers = tuple(
        (
            ranks[one.highest_token],
            one.last_ballot_number,
            _claim_key(claim, timing, proposer_now, ranks),
        )
        for one, claim in zip(state.proposers, claims, strict=True)
    )
    return (
        tuple(sorted(acceptors)),
        proposers,
        state.restarts,
        state.proposals_left,
        state.duplicates,
        state.releases_left,
        ranks[state.highest_token],
        state.tick,
        state.error,
    )


def _tokens(state: CaseState, claims: Iterable[Claim | None]) -> set[int]:
    tokens = {0, state.highest_token}
    for claim in claims:
        if claim:
            tokens |= {claim.fencing_token, claim.highest_token}
    for acceptor in state.acceptors:
        tokens |= {acceptor.token_floor, acceptor.highest_token}
        if record := acceptor.records.get(LEASE):
            tokens |= {record.highest_token, record.granted_token}
    for mail in state.mail:
        if isinstance(mail.message, Propose):
            tokens.add(mail.message.fencing_token)
        elif isinstance(mail.message, Promise | Prepare):
            tokens.add(mail.message.highest_token)
    return tokens | {one.highest_token for one in state.proposers}


def _ranks(tokens: set[int]) -> Ranks:
    """Map tokens to ranks that keep their order and whether two tokens are consecutive."""
    ranks: Ranks = {}
    rank, last = 0, None
    for token in sorted(tokens):
        rank += 1 if last is None or token - last == 1 else 2
        ranks[token], last = rank, token
    return ranks


def _mail_keys(
    state: CaseState, ranks: Ranks, can_matter: Callable[[Mail], bool]
) -> dict[str, list[tuple]]:
    """Return the keys of all messages to or from each acceptor."""
    keys: dict[str, list[tuple]] = {acceptor.name: [] for acceptor in state.acceptors}
    for mail in state.mail:
        if mail.receiver in keys:
            keys[mail.receiver].append(_request_key(mail.message, ranks))
        elif can_matter(mail):
            keys[mail.sender].append(_answer_key(mail.message, ranks))
    return keys


def _request_key(message: Message, ranks: Ranks) -> tuple:
    if isinstance(message, Propose):
        token = ranks[message.fencing_token]
        return (2, message.ballot, message.round, token, message.initial)
    if isinstance(message, Prepare):
        return (1, message.ballot, 0, ranks[message.highest_token])
    if isinstance(message, Release):
        return (3, message.ballot, 0, 0)
    raise TypeError(f"no message to an acceptor in this case: {message}")


def _answer_key(message: Message, ranks: Ranks) -> tuple:
    if isinstance(message, Promise):
        return 4, message.ballot, ranks[message.highest_token], 0
    if isinstance(message, Accept):
        return 5, message.ballot, message.round, 0
    if isinstance(message, Nack):
        return 6, message.ballot, message.round, message.reason
    raise TypeError(f"no message to a proposer in this case: {message}")


def _acceptor_key(acceptor: Acceptor, now: int, ranks: Ranks) -> tuple:
    record = acceptor.records.get(LEASE) or LeaseRecord()
    silent_us = 0 if acceptor.memory_since_us else max(1, acceptor.silent_until_us - now)
    remaining_us = max(0, record.expires_us - now)
    granted: tuple = ()
    if remaining_us:
        granted = (record.granted, record.granted_round, ranks.get(record.granted_token, 0))
    return (
        silent_us,
        record.promised,
        record.released,
        record.granted,
        granted,
        remaining_us,
        ranks.get(record.highest_token, 0),
        ranks[acceptor.token_floor],
        ranks[acceptor.highest_token],
    )


def _claim_key(claim: Claim | None, timing: Timing, now: int, ranks: Ranks) -> tuple:
    if claim is None:
        return ()
    started_us = max(claim.round_started_us - now, -timing.holder_duration_us - TICK_US)
    held_us = max(0, claim.held_until_us - now) if claim.held_until_us else -1
    return (
        claim.stage.value,
        claim.ballot,
        claim.round,
        started_us,
        claim.highest_ballot_number,
        ranks[claim.highest_token],
        ranks[claim.fencing_token],
        held_us,
        claim.attempts,
    )
