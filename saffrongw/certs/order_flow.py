"""The ACME protocol (RFC 8555) as generators of steps. No I/O.

A generator yields a step and is sent its result: an ``HttpAnswer`` for an ``HttpRequest``, None for
the other steps. A run may be interrupted between any two steps: the state that a later run needs is
yielded as ``SaveNote`` before the step that depends on it, so the later run resumes the order
instead of creating a second one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from . import messages
from .acme_session import Session
from .acme_steps import Flow, PublishChallenge, SaveNote, Sleep, WithdrawChallenges
from .documents import CertNote, OrderNote
from .messages import (
    AcmeError,
    Authorisation,
    Challenge,
    FailureKind,
    HttpAnswer,
    Order,
)

# Seconds between two polls, if the authority names no Retry-After.
INITIAL_POLL_S, MAX_POLL_S = 1.0, 30.0
MAX_ALTERNATE_CHAINS = 4


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """The parameters of an order.

    ``csr`` is the signing request, ``issuer`` the preferred issuer, ``replaces`` the RFC 9773
    identifier of the certificate that is renewed.
    """

    names: tuple[str, ...]
    challenge: str
    csr: str
    timeout_s: float = 3_600.0
    issuer: str = ""
    replaces: str = ""


def obtain_certificate(
    session: Session, note: CertNote, wanted: OrderRequest, issuers: Callable[[bytes], set[str]]
) -> Flow[bytes]:
    """Obtain the certificate's chain in PEM, resuming the order in the note.

    The order is resumed if its names and authority match. One that failed, or that the
    authority no longer has, is removed from the note before the error is raised, so that the next
    run makes a new one.
    """
    deadline = session.now() + wanted.timeout_s
    try:
        resource_url, order = yield from _resume_or_create_order(session, note, wanted)
        if order.status == "pending":
            yield from _complete_authorisations(session, order, wanted, deadline)
            order = yield from _poll_order(session, resource_url, deadline, ("pending",))
        if order.status == "ready":
            answer = yield from session.post(order.finalize, {"csr": wanted.csr}, "finalize")
            order = _check_names(messages.order(answer), wanted)
        if order.status in ("processing", "ready"):
            order = yield from _poll_order(session, resource_url, deadline, ("processing", "ready"))
        if order.status != "valid":
            raise order.error or AcmeError(FailureKind.ORDER, f"the order is {order.status}")
        return (yield from _download_chain(session, order.certificate, wanted, issuers))
    except AcmeError as error:
        if error.kind not in (FailureKind.UNREACHABLE, FailureKind.RATE, FailureKind.LOCAL):
            yield SaveNote(replace(note, order=None))
        raise


def _check_names(order: Order, wanted: OrderRequest) -> Order:
    if order.names != frozenset(wanted.names):
        raise messages.malformed_answer("order.identifiers", "not the names that were ordered")
    return order


def _resume_or_create_order(
    session: Session, note: CertNote, wanted: OrderRequest
) -> Flow[tuple[str, Order]]:
    """Return the URL and state of an order.

    This is the order in the note, an order whose URL was never received, or a new one.
    """
    old = note.order
    if old and old.directory == session.directory and set(old.names) == set(wanted.names):
        if old.url:
            answer = yield from session.post(old.url, None, "order")
            found = _check_names(messages.order(answer), wanted)
            if found.status != "invalid":
                return old.url, found
            raise found.error or AcmeError(FailureKind.ORDER, "the order is invalid")
        lost = yield from _find_lost_order(session, wanted)
        if lost:
            yield SaveNote(replace(note, order=replace(old, url=lost[0])))
            return lost
    return (yield from _create_order(session, note, wanted))


def _create_order(
    session: Session, note: CertNote, wanted: OrderRequest
) -> Flow[tuple[str, Order]]:
    """Create an order; save it in the note before its request and again with its URL."""
    urls = yield from session.open()
    begun = OrderNote(session.directory, wanted.names, session.now(), "", wanted.replaces)
    yield SaveNote(replace(note, order=begun))
    payload: dict[str, Any] = {
        "identifiers": [{"type": "dns", "value": name} for name in wanted.names]
    }
    if wanted.replaces and urls.renewal:
        payload["replaces"] = wanted.replaces
    try:
        answer = yield from session.post(urls.order, payload, "new order")
    except AcmeError as error:
        # "unauthorized" before any validation may mean that the account is unknown or closed.
        if error.kind is FailureKind.CHALLENGE:
            yield from _check_account(session)
            raise AcmeError(FailureKind.REJECTED, error.detail, error.retry_after) from None
        if "replaces" not in payload or error.kind not in (FailureKind.ORDER, FailureKind.REJECTED):
            raise
        # RFC 9773, 5: an authority may reject an order that replaces an unknown or already replaced
        # certificate; order again without naming it.
        del payload["replaces"]
        answer = yield from session.post(urls.order, payload, "new order")
    resource_url = messages.url(answer.headers.get("location"), "new order: location")
    yield SaveNote(replace(note, order=replace(begun, url=resource_url)))
    return resource_url, _check_names(messages.order(answer), wanted)


def _check_account(session: Session) -> Flow[None]:
    """Raise an ACCOUNT failure if the authority no longer knows our key or closed the account."""
    try:
        yield from session.register((), existing=True)
    except AcmeError as error:
        if error.kind is FailureKind.CHALLENGE:
            raise AcmeError(FailureKind.ACCOUNT, error.detail) from None
        raise


def _find_lost_order(session: Session, wanted: OrderRequest) -> Flow[tuple[str, Order] | None]:
    """Find an order whose creation was not answered, if the authority lists orders."""
    try:
        for resource_url in (yield from session.orders()):
            answer = yield from session.post(resource_url, None, "order")
            found = messages.order(answer)
            if found.names == frozenset(wanted.names) and found.status in ("pending", "ready"):
                return resource_url, found
    except AcmeError as error:
        if error.kind in (FailureKind.UNREACHABLE, FailureKind.RATE, FailureKind.ACCOUNT):
            raise
    return None


def _poll_order(
    session: Session, resource_url: str, deadline: float, states: tuple[str, ...]
) -> Flow[Order]:
    """Poll the order until its status is none of these states."""
    interval = INITIAL_POLL_S
    while True:
        answer = yield from session.post(resource_url, None, "order")
        found = messages.order(answer)
        if found.status not in states:
            return found
        interval = yield from _backoff(
            session, answer, interval, deadline, "the order stays " + found.status
        )


def _backoff(
    session: Session, answer: HttpAnswer, interval: float, deadline: float, why: str
) -> Flow[float]:
    requested_s = messages.retry_after(answer, session.now())
    wait = min(max(requested_s, interval), max(0.0, deadline - session.now()))
    if session.now() >= deadline or wait <= 0:
        raise AcmeError(FailureKind.ORDER, why)
    yield Sleep(wait)
    return min(interval * 2, MAX_POLL_S)


def _complete_authorisations(
    session: Session, order: Order, wanted: OrderRequest, deadline: float
) -> Flow[None]:
    """Complete the authorisations of all names.

    All challenges are started before the first is awaited, so that the authority validates the
    names concurrently. Published challenges are withdrawn on success and on failure.
    """
    published: list[str] = []
    pending_urls: list[str] = []
    try:
        for resource_url in order.authorisations:
            found = messages.authorisation(
                (yield from session.post(resource_url, None, "authorization"))
            )
            _check_name(found, wanted)
            if found.status == "valid":
                continue
            challenge = _choose_challenge(found, wanted)
            published.append(challenge.token)
            yield PublishChallenge(
                found.name, challenge.type, challenge.token, session.key.authorise(challenge.token)
            )
            pending_urls.append(resource_url)
            if challenge.status == "pending":
                yield from session.post(challenge.url, {}, "challenge")
        for resource_url in pending_urls:
            yield from _await_authorisation(session, resource_url, wanted, deadline)
    # Only AcmeError: a closed generator must not yield. Its challenges expire by age.
    except AcmeError:
        if published:
            yield WithdrawChallenges(tuple(published))
        raise
    if published:
        yield WithdrawChallenges(tuple(published))


def _check_name(found: Authorisation, wanted: OrderRequest) -> None:
    if found.name not in wanted.names:
        raise messages.malformed_answer("authorization.identifier", f"{found.name} was not ordered")
    if found.status not in ("valid", "pending"):
        first = next((c.error for c in found.challenges if c.error), None)
        raise first or AcmeError(
            FailureKind.CHALLENGE, f"{found.name}: the authorisation is {found.status}"
        )


def _choose_challenge(found: Authorisation, wanted: OrderRequest) -> Challenge:
    for challenge in found.challenges:
        if challenge.type == wanted.challenge:
            return challenge
    available = ", ".join(c.type for c in found.challenges) or "none that we know"
    raise AcmeError(
        FailureKind.REJECTED, f"{found.name}: no {wanted.challenge} is offered ({available})"
    )


def _await_authorisation(
    session: Session, resource_url: str, wanted: OrderRequest, deadline: float
) -> Flow[None]:
    interval = INITIAL_POLL_S
    while True:
        answer = yield from session.post(resource_url, None, "authorization")
        found = messages.authorisation(answer)
        _check_name(found, wanted)
        if found.status == "valid":
            return
        interval = yield from _backoff(
            session, answer, interval, deadline, f"{found.name}: the check never ends"
        )


def _download_chain(
    session: Session, resource_url: str, wanted: OrderRequest, issuers: Callable[[bytes], set[str]]
) -> Flow[bytes]:
    """Download the chain, or the first alternate chain that has the preferred issuer."""
    answer = yield from session.post(resource_url, None, "certificate")
    if not wanted.issuer or wanted.issuer in issuers(answer.body):
        return answer.body
    for other in answer.linked("alternate")[:MAX_ALTERNATE_CHAINS]:
        found = yield from session.post(
            messages.url(other, "certificate: alternate"), None, "certificate"
        )
        if wanted.issuer in issuers(found.body):
            return found.body
    return answer.body  # no chain has the preferred issuer; operators see the actual one
