"""The protocol of RFC 8555 as steps: generators that yield what has to be done and are sent what came of it. No I/O.

``Request`` is answered with an ``Answer``; the others with nothing. Whoever runs a generator may stop between any two
steps, for ever: all that a later run needs was yielded as ``Keep`` before the step that depends on it, so the order is
taken up where it was and not made a second time.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Generator
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from . import messages
from .documents import CertNote, OrderNote
from .jose import AccountKey, b64
from .messages import (
    AcmeError,
    Answer,
    Authorisation,
    BadNonceError,
    Challenge,
    Directory,
    Kind,
    Order,
)

NONCES = 8  # kept; each is good for one request
NONCE_TRIES = 4  # of one request: an authority that refuses each nonce must not keep us for ever
POLL_FIRST, POLL_MOST = 1.0, 30.0  # seconds between two looks, where the authority does not say
PAGES_MOST, ORDERS_MOST = 4, 60  # of the list of our orders that are looked through
ALTERNATES_MOST = 4  # further chains that are fetched
JOSE = "application/jose+json"


@dataclass(frozen=True, slots=True)
class Request:
    """One request over HTTPS; ``read`` also says what is read of it in an error."""

    method: str
    url: str
    read: str
    body: bytes = b""
    type: str = JOSE


@dataclass(frozen=True, slots=True)
class Keep:
    """This must be durable before the next step."""

    note: CertNote


@dataclass(frozen=True, slots=True)
class Publish:
    """Every gateway must be able to answer this challenge before the next step."""

    name: str
    type: str
    token: str
    authorisation: str


@dataclass(frozen=True, slots=True)
class Withdraw:
    """These challenges are over."""

    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Wait:
    """Seconds."""

    span: float


Step = Request | Keep | Publish | Withdraw | Wait
R = TypeVar("R")
Flow = Generator[Step, Any, R]


class Session:
    """One authority and our account with it: its directory, nonces, and signed requests."""

    def __init__(
        self, directory: str, key: AccountKey, now: Callable[[], float], account: str = ""
    ) -> None:
        self.directory, self.key, self.now, self.account = directory, key, now, account
        self.places: Directory | None = None
        self.nonces: list[str] = []

    def _send(self, request: Request) -> Flow[Answer]:
        answer = yield request
        nonce = answer.headers.get("replay-nonce", "")
        if (
            nonce
            and len(nonce) <= 256
            and all(c.isascii() and (c.isalnum() or c in "-_") for c in nonce)
        ):
            self.nonces.append(nonce)
            del self.nonces[:-NONCES]
        return answer

    def open(self) -> Flow[Directory]:
        """The directory, once a session."""
        if self.places is None:
            answer = yield from self._send(Request("GET", self.directory, "directory"))
            if answer.status != 200:
                raise messages.problem(answer, self.now())
            self.places = messages.directory(answer)
        return self.places

    def _nonce(self) -> Flow[str]:
        if not self.nonces:
            places = yield from self.open()
            answer = yield from self._send(Request("HEAD", places.nonce, "nonce"))
            if not self.nonces:
                if answer.status >= 400:
                    raise messages.problem(answer, self.now())
                raise messages.malformed_answer("nonce", "none in the answer")
        return self.nonces.pop()

    def post(self, url: str, payload: Any, read: str, by_key: bool = False) -> Flow[Answer]:
        """A signed request; a bad nonce is made good here, all other failures are raised. ``None``: POST-as-GET."""
        kid = None if by_key else self.account
        for tried in range(NONCE_TRIES):
            nonce = yield from self._nonce()
            signed = self.key.sign(url, payload, nonce, kid)
            answer = yield from self._send(Request("POST", url, read, _json(signed)))
            if 200 <= answer.status < 300:
                return answer
            wrong = messages.problem(answer, self.now())
            if not isinstance(wrong, BadNonceError):
                raise wrong
            if tried:  # its answer's own nonce was no good either: ask for a fresh one
                self.nonces.clear()
        raise AcmeError(Kind.AWAY, f"{read}: each of {NONCE_TRIES} nonces was refused")

    # -- the account ----------------------------------------------------------------------------------------------

    def register(
        self,
        contact: tuple[str, ...],
        external: tuple[str, bytes] | None = None,
        existing: bool = False,
    ) -> Flow[str]:
        """The account's URL. With a key that has one the same comes back: done twice does no harm."""
        places = yield from self.open()
        payload: dict[str, Any] = {"termsOfServiceAgreed": True}
        if existing:
            payload["onlyReturnExisting"] = True
        if contact:
            payload["contact"] = [c if ":" in c else f"mailto:{c}" for c in contact]
        if external:
            payload["externalAccountBinding"] = self.key.bind(places.account, *external)
        elif places.external and not existing:
            raise AcmeError(
                Kind.ACCOUNT, "the authority wants an external account; none is configured"
            )
        answer = yield from self.post(places.account, payload, "account", by_key=True)
        found = messages.document(answer, "account")
        if found.get("status") != "valid":
            raise AcmeError(Kind.ACCOUNT, f"the account is {messages.clean(found.get('status'))}")
        self.account = messages.url(answer.headers.get("location"), "account: location")
        return self.account

    def roll_over(self, new: AccountKey) -> Flow[None]:
        """The account belongs to another key from now on (RFC 8555, 7.3.5)."""
        places = yield from self.open()
        if not places.key_change:
            raise messages.malformed_answer("directory.keyChange", "the authority offers none")
        inner = new.sign(
            places.key_change, {"account": self.account, "oldKey": self.key.jwk}, None, None
        )
        yield from self.post(places.key_change, inner, "key change")
        self.key = new

    def revoke(self, der: bytes, reason: int) -> Flow[None]:
        """The certificate is not to be trusted any more."""
        places = yield from self.open()
        if not places.revoke:
            raise messages.malformed_answer("directory.revokeCert", "the authority offers none")
        yield from self.post(
            places.revoke, {"certificate": b64(der), "reason": reason}, "revocation"
        )

    def window(self, name: str) -> Flow[messages.Window | None]:
        """When the authority wants this certificate renewed; None: it offers no windows."""
        places = yield from self.open()
        if not places.renewal or not name:
            return None
        answer = yield from self._send(
            Request("GET", f"{places.renewal.rstrip('/')}/{name}", "renewalInfo")
        )
        if answer.status != 200:
            raise messages.problem(answer, self.now())
        return messages.window(answer, self.now())

    def orders(self) -> Flow[list[str]]:
        """Our newest orders, as far as the authority lists them: a few pages."""
        answer = yield from self.post(self.account, {}, "account")
        raw = messages.document(answer, "account")
        place = messages.url_in(raw, "orders", "account", needed=False)
        found: list[str] = []
        for _ in range(PAGES_MOST):
            if not place:
                break
            answer = yield from self.post(place, None, "orders")
            listed = messages.document(answer, "orders").get("orders")
            if not isinstance(listed, list):
                raise messages.malformed_answer("orders.orders", "no list")
            found += [messages.url(one, "orders.orders") for one in listed[:ORDERS_MOST]]
            following = answer.linked("next")
            place = messages.url(following[0], "orders: next") if following else ""
        return found[:ORDERS_MOST]


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()


@dataclass(frozen=True, slots=True)
class Wanted:
    """What is ordered: names, how they are proved, the signing request, seconds that all of it may take."""

    names: tuple[str, ...]
    challenge: str
    csr: str
    within: float = 3_600.0
    issuer: str = ""  # of the chain that is preferred
    replaces: str = ""


def obtain(
    session: Session, note: CertNote, wanted: Wanted, issuers: Callable[[bytes], set[str]]
) -> Flow[bytes]:
    """From whatever the note says was reached to the certificate's chain in PEM.

    The note's order is taken up again where its names and authority fit; one that the authority no longer has, or
    that failed, is forgotten (kept so) before the error is raised, so that the next run makes a new one.
    """
    until = session.now() + wanted.within
    try:
        place, order = yield from _order(session, note, wanted)
        if order.status == "pending":
            yield from _prove(session, order, wanted, until)
            order = yield from _until(session, place, until, ("pending",))
        if order.status == "ready":
            answer = yield from session.post(order.finalize, {"csr": wanted.csr}, "finalize")
            order = _same(messages.order(answer), wanted)
        if order.status in ("processing", "ready"):
            order = yield from _until(session, place, until, ("processing", "ready"))
        if order.status != "valid":
            raise order.error or AcmeError(Kind.ORDER, f"the order is {order.status}")
        return (yield from _download(session, order.certificate, wanted, issuers))
    except AcmeError as wrong:
        if wrong.kind not in (Kind.AWAY, Kind.RATE, Kind.LOCAL):
            yield Keep(replace(note, order=None))
        raise


def _same(order: Order, wanted: Wanted) -> Order:
    if order.names != frozenset(wanted.names):
        raise messages.malformed_answer("order.identifiers", "not the names that were ordered")
    return order


def _order(session: Session, note: CertNote, wanted: Wanted) -> Flow[tuple[str, Order]]:
    """The order to go on with: the one that was noted, one whose place was lost with a crash, or a new one."""
    old = note.order
    if old and old.directory == session.directory and set(old.names) == set(wanted.names):
        if old.url:
            answer = yield from session.post(old.url, None, "order")
            found = _same(messages.order(answer), wanted)
            if found.status != "invalid":
                return old.url, found
            raise found.error or AcmeError(Kind.ORDER, "the order is invalid")
        lost = yield from _find(session, wanted, old.begun)
        if lost:
            yield Keep(replace(note, order=replace(old, url=lost[0])))
            return lost
    places = yield from session.open()
    begun = OrderNote(session.directory, wanted.names, session.now(), "", wanted.replaces)
    yield Keep(replace(note, order=begun))
    payload: dict[str, Any] = {
        "identifiers": [{"type": "dns", "value": name} for name in wanted.names]
    }
    if wanted.replaces and places.renewal:
        payload["replaces"] = wanted.replaces
    try:
        answer = yield from session.post(places.order, payload, "new order")
    except AcmeError as wrong:
        if (
            wrong.kind is Kind.CHALLENGE
        ):  # "unauthorized" before anything was to be proved: is it the account?
            yield from _check_account(session)
            raise AcmeError(Kind.REJECTED, wrong.detail, wrong.retry_after) from None
        if "replaces" not in payload or wrong.kind not in (Kind.ORDER, Kind.REJECTED):
            raise
        # RFC 9773, 5: one that was replaced already, or is unknown there, must not keep us from a new certificate.
        del payload["replaces"]
        answer = yield from session.post(places.order, payload, "new order")
    place = messages.url(answer.headers.get("location"), "new order: location")
    yield Keep(replace(note, order=replace(begun, url=place)))
    return place, _same(messages.order(answer), wanted)


def _check_account(session: Session) -> Flow[None]:
    """ACCOUNT where the authority does not know our key any more, or has closed what belongs to it."""
    try:
        yield from session.register((), existing=True)
    except AcmeError as wrong:
        if wrong.kind is Kind.CHALLENGE:
            raise AcmeError(Kind.ACCOUNT, wrong.detail) from None
        raise


def _find(session: Session, wanted: Wanted, begun: float) -> Flow[tuple[str, Order] | None]:
    """An order whose answer never reached us, where the authority lists orders at all."""
    try:
        for place in (yield from session.orders()):
            answer = yield from session.post(place, None, "order")
            found = messages.order(answer)
            if found.names == frozenset(wanted.names) and found.status in ("pending", "ready"):
                return place, found
    except AcmeError as wrong:
        if wrong.kind in (Kind.AWAY, Kind.RATE, Kind.ACCOUNT):
            raise
    return None


def _until(session: Session, place: str, until: float, states: tuple[str, ...]) -> Flow[Order]:
    """Look at the order until it has left these states."""
    span = POLL_FIRST
    while True:
        answer = yield from session.post(place, None, "order")
        found = messages.order(answer)
        if found.status not in states:
            return found
        span = yield from _pause(session, answer, span, until, "the order stays " + found.status)


def _pause(session: Session, answer: Answer, span: float, until: float, why: str) -> Flow[float]:
    asked = messages.retry_after(answer, session.now())
    wait = min(max(asked, span), max(0.0, until - session.now()))
    if session.now() >= until or wait <= 0:
        raise AcmeError(Kind.ORDER, why)
    yield Wait(wait)
    return min(span * 2, POLL_MOST)


def _prove(session: Session, order: Order, wanted: Wanted, until: float) -> Flow[None]:
    """Show that each name is ours. All are put up and asked for first and only then waited for, so that 500 names
    take as long as the slowest and not as the sum. What was put up is taken down in any case."""
    put_up: list[str] = []
    open_ones: list[str] = []
    try:
        for place in order.authorisations:
            found = messages.authorisation((yield from session.post(place, None, "authorization")))
            _check_name(found, wanted)
            if found.status == "valid":
                continue
            challenge = _choose(found, wanted)
            put_up.append(challenge.token)
            yield Publish(
                found.name, challenge.type, challenge.token, session.key.authorise(challenge.token)
            )
            open_ones.append(place)
            if challenge.status == "pending":
                yield from session.post(challenge.url, {}, "challenge")
        for place in open_ones:
            yield from _proved(session, place, wanted, until)
    except AcmeError:  # and nothing else: a run that is cut off yields nothing more, what it put up ends by its age
        if put_up:
            yield Withdraw(tuple(put_up))
        raise
    if put_up:
        yield Withdraw(tuple(put_up))


def _check_name(found: Authorisation, wanted: Wanted) -> None:
    if found.name not in wanted.names:
        raise messages.malformed_answer("authorization.identifier", f"{found.name} was not ordered")
    if found.status not in ("valid", "pending"):
        first = next((c.error for c in found.challenges if c.error), None)
        raise first or AcmeError(
            Kind.CHALLENGE, f"{found.name}: the authorisation is {found.status}"
        )


def _choose(found: Authorisation, wanted: Wanted) -> Challenge:
    for one in found.challenges:
        if one.type == wanted.challenge:
            return one
    offered = ", ".join(c.type for c in found.challenges) or "none that we know"
    raise AcmeError(Kind.REJECTED, f"{found.name}: no {wanted.challenge} is offered ({offered})")


def _proved(session: Session, place: str, wanted: Wanted, until: float) -> Flow[None]:
    span = POLL_FIRST
    while True:
        answer = yield from session.post(place, None, "authorization")
        found = messages.authorisation(answer)
        _check_name(found, wanted)
        if found.status == "valid":
            return
        span = yield from _pause(
            session, answer, span, until, f"{found.name}: the check never ends"
        )


def _download(
    session: Session, place: str, wanted: Wanted, issuers: Callable[[bytes], set[str]]
) -> Flow[bytes]:
    """The chain; where another issuer is preferred, the first alternate that has it."""
    answer = yield from session.post(place, None, "certificate")
    if not wanted.issuer or wanted.issuer in issuers(answer.body):
        return answer.body
    for other in answer.linked("alternate")[:ALTERNATES_MOST]:
        found = yield from session.post(
            messages.url(other, "certificate: alternate"), None, "certificate"
        )
        if wanted.issuer in issuers(found.body):
            return found.body
    return answer.body  # any chain is better than none; the rows in force name the issuer
