"""The protocol against the authority's model, without sockets: cut off at every step, spoilt answers, bad nonces."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

import pytest
from cryptography import x509

from saffrongw.certs import chain, order_flow
from saffrongw.certs.acme_session import Session
from saffrongw.certs.acme_steps import (
    HttpRequest,
    PublishChallenge,
    SaveNote,
    Sleep,
    WithdrawChallenges,
)
from saffrongw.certs.documents import CertNote
from saffrongw.certs.jose import AccountKey
from saffrongw.certs.messages import AcmeError, FailureKind, HttpAnswer
from testbed.acme_server.model import Authority, Check, Reply, ari_name

BASE = "https://ca.example"
NAMES = ("gw.example", "b.example")
KEY = chain.new_key("ecdsa-p256")
ACCOUNT = AccountKey.new()


class Cut(BaseException):
    """The run ends here, as by SIGKILL."""


@dataclass
class World:
    """A runner of flows with an authority, a virtual clock and the note as it would lie on the disk."""

    now: float = 1_000_000_000.0
    note: CertNote = field(default_factory=CertNote)
    shown: dict[str, PublishChallenge] = field(default_factory=dict)
    steps: int = 0
    cut_at: int = -1
    after: bool = False  # cut once the step has had its effect, and not before

    def __post_init__(self) -> None:
        self.authority = Authority(BASE, lambda: self.now)
        self.asked: list[str] = []

    def run(self, steps):
        answer, wrong = None, None
        while True:
            try:
                step = steps.throw(wrong) if wrong else steps.send(answer)
            except StopIteration as done:
                return done.value
            answer, wrong = None, None
            self.steps += 1
            if self.steps == self.cut_at and not self.after:
                raise Cut
            if isinstance(step, HttpRequest):
                answer = self.send(step)
            elif isinstance(step, SaveNote):
                self.note = step.note
            elif isinstance(step, PublishChallenge):
                self.shown[step.token] = step
            elif isinstance(step, WithdrawChallenges):
                for token in step.tokens:
                    self.shown.pop(token, None)
            elif isinstance(step, Sleep):
                assert step.seconds > 0
                self.now += step.seconds
            if self.steps == self.cut_at:
                raise Cut

    def send(self, request: HttpRequest) -> HttpAnswer:
        self.asked.append(request.read)
        reply = self.authority.handle(request.method, request.url.removeprefix(BASE), request.body)
        checks, self.authority.checks = self.authority.checks, []
        for check in checks:
            self.authority.checked(check, self.look(check))
        links = [
            (link.partition('rel="')[2].rstrip('"'), link[1:].partition(">")[0])
            for link in reply.links
        ]
        return HttpAnswer(reply.status, reply.headers, reply.body, tuple(links))

    def look(self, check: Check) -> str:
        found = self.shown.get(check.token)
        good = found and (found.authorisation, found.name, found.type) == (
            check.authorisation,
            check.name,
            check.type,
        )
        return "" if good else "nothing is shown"

    def session(self, key: AccountKey = ACCOUNT) -> Session:
        session = Session(f"{BASE}/dir", key, lambda: self.now)
        self.run(session.register(("ops@gw.example",)))
        return session

    def obtain(self, session: Session | None = None, **changes) -> bytes:
        wanted = {
            "names": NAMES,
            "challenge": "tls-alpn-01",
            "csr": chain.signing_request(KEY, NAMES),
        } | changes
        made = session or self.session()
        return self.run(
            order_flow.obtain_certificate(
                made,
                self.note,
                order_flow.OrderRequest(**wanted),
                lambda pem: chain.issuer_names(chain.parse(pem)),
            )
        )


def failing(world: World, **changes) -> AcmeError:
    with pytest.raises(AcmeError) as found:
        world.obtain(**changes)
    return found.value


@pytest.mark.parametrize("challenge", ["tls-alpn-01", "http-01"])
def test_from_nothing_to_a_certificate_that_may_serve(challenge):
    world = World()
    pem = world.obtain(challenge=challenge)
    facts = chain.check_pair(pem, KEY, NAMES, world.now)
    assert set(facts.names) == set(NAMES)
    assert facts.ari == ari_name(x509.load_pem_x509_certificates(pem)[0])
    assert world.shown == {}
    assert world.authority.counts["orders"] == world.authority.counts["issued"] == 1


def test_cut_off_at_every_step_it_is_taken_up_again_with_at_most_one_further_order():
    whole = World()
    whole.obtain()
    assert whole.steps >= 18
    further = 0
    for cut_at in range(1, whole.steps + 1):
        for after in (False, True):
            world = World(cut_at=cut_at, after=after)
            with pytest.raises(Cut):
                world.obtain()
            world.cut_at = -1
            chain.check_pair(world.obtain(), KEY, NAMES, world.now)
            orders = world.authority.counts["orders"]
            assert orders <= 2, f"step {cut_at}"
            assert world.authority.counts["accounts"] == 1
            further += orders - 1
    assert (
        further == 0
    )  # this authority lists orders, so even one whose answer was lost is found again


def test_where_the_authority_lists_no_orders_one_further_order_is_the_most():
    for cut_at in range(1, 30):
        world = World(cut_at=cut_at, after=True)
        world.authority.faults.spoil = lambda name, reply: (
            Reply(404, b"{}", reply.headers) if name == "orders" else reply
        )
        try:
            world.obtain()
        except Cut:
            world.cut_at = -1
            world.obtain()
        assert world.authority.counts["orders"] <= 2


def test_bad_nonces_are_made_good_and_an_authority_that_refuses_each_is_left():
    world = World()
    session = world.session()
    world.authority.faults.bad_nonces = 2
    world.obtain(session)
    assert world.authority.counts["badNonce"] == 2
    world.authority.faults.bad_nonces = 10**9
    world.note = CertNote()
    wrong = failing(world, session=session)
    assert wrong.kind is FailureKind.UNREACHABLE and "nonce" in wrong.detail


def test_pending_for_ever_ends_after_the_time_that_an_order_may_take():
    world = World()
    world.authority.faults.pending = True
    began = world.now
    wrong = failing(world, timeout_s=600.0)
    assert wrong.kind is FailureKind.ORDER and "never ends" in wrong.detail
    assert 590 <= world.now - began <= 660
    assert world.note.order is None and world.shown == {}


def test_processing_for_ever_too():
    world = World()
    world.authority.faults.processing = True
    assert "processing" in failing(world, timeout_s=600.0).detail


def test_retry_after_is_kept_within_the_orders_time():
    world = World()
    world.authority.faults.pending, world.authority.faults.retry_after = True, "100"
    failing(world, timeout_s=600.0)
    assert world.asked.count("authorization") <= 12


def test_a_failed_check_is_told_with_the_authoritys_words_and_the_order_forgotten():
    world = World()
    world.authority.faults.fail_checks = True
    wrong = failing(world)
    assert wrong.kind is FailureKind.CHALLENGE and "as the fault says" in wrong.detail
    assert world.note.order is None
    world.authority.faults.fail_checks = False
    world.obtain()


def test_a_rate_limit_says_for_how_long():
    world = World()
    world.authority.faults.rate_limited = 7_200
    wrong = failing(world)
    assert (wrong.kind, wrong.retry_after) == (FailureKind.RATE, 7_200.0)


def test_a_deactivated_account_is_gone():
    world = World()
    session = world.session()
    world.run(session.post(session.account, {"status": "deactivated"}, "account"))
    assert failing(world, session=session).kind in (FailureKind.CHALLENGE, FailureKind.ACCOUNT)


def test_an_external_account_binds_the_key():
    world = World()
    world.authority.external = {"kid-1": b"k" * 32}
    session = Session(f"{BASE}/dir", AccountKey.new(), lambda: world.now)
    with pytest.raises(AcmeError, match="external account") as found:
        world.run(session.register(()))
    assert found.value.kind is FailureKind.ACCOUNT
    with pytest.raises(AcmeError, match="binding is wrong"):
        world.run(session.register((), ("kid-1", b"x" * 32)))
    world.run(session.register((), ("kid-1", b"k" * 32)))
    assert world.authority.counts["accounts"] == 1


def test_the_key_rolls_over_and_the_account_stays():
    world = World()
    session, new = world.session(), AccountKey.new()
    place = session.account
    world.run(session.roll_over(new))
    world.obtain(session)
    again = Session(f"{BASE}/dir", new, lambda: world.now)
    assert world.run(again.register((), None, existing=True)) == place
    old = Session(f"{BASE}/dir", ACCOUNT, lambda: world.now)
    with pytest.raises(AcmeError):
        world.run(old.register((), None, existing=True))


def test_a_certificate_is_revoked_once():
    world = World()
    session = world.session()
    der = chain.der_of(world.obtain(session))
    world.run(session.revoke(der, 4))
    assert world.authority.revoked == {"1": 4}
    with pytest.raises(AcmeError, match="alreadyRevoked"):
        world.run(session.revoke(der, 4))


def test_the_preferred_chain_is_chosen_and_any_is_better_than_none():
    world = World()
    issuers = chain.issuer_names(chain.parse(world.obtain(issuer="Stand-in Root B")))
    assert "Stand-in Root B" in issuers
    world.note = CertNote()
    assert chain.issuer_names(chain.parse(world.obtain(issuer="Nobody"))) >= {"Stand-in Root"}


def test_a_renewal_names_what_it_replaces_and_a_refusal_of_that_does_not_stop_it():
    world = World()
    name = chain.facts_of(chain.parse(world.obtain())).ari
    for expected in (1, 2):
        world.note = CertNote()
        world.obtain(replaces=name)
        assert world.authority.counts["replaces"] == 1 or expected == 2
    assert world.authority.counts["issued"] == 3


def test_the_window_is_read_and_none_is_offered_where_the_directory_has_none():
    world = World()
    session = world.session()
    facts = chain.facts_of(chain.parse(world.obtain(session)))
    window = world.run(session.window(facts.ari))
    assert facts.end - 31 * 86_400 < window.start < window.end < facts.end
    assert window.ask_at == world.now + 21_600
    world.authority.ari = False
    assert world.run(Session(f"{BASE}/dir", ACCOUNT, lambda: world.now).window(facts.ari)) is None


def test_orders_are_listed_over_pages():
    world = World()
    session = world.session()
    for _ in range(45):
        world.note = CertNote()
        world.obtain(session)
    assert len(world.run(session.orders())) == 45


def test_authorisations_that_are_still_valid_are_not_proved_again():
    world = World()
    world.authority.valid_for = 86_400
    world.obtain()
    before = world.authority.counts["checks passed"]
    world.note = CertNote()
    world.obtain()
    assert world.authority.counts["checks passed"] == before == 2


def test_an_order_for_other_names_is_not_taken_up():
    world = World(cut_at=9)
    with pytest.raises(Cut):
        world.obtain()
    world.cut_at = -1
    chain.check_pair(
        world.obtain(names=NAMES[:1], csr=chain.signing_request(KEY, NAMES[:1])),
        KEY,
        NAMES[:1],
        world.now,
    )


# -- spoilt answers ------------------------------------------------------------------------------------------------


def changed(**fields):
    """Other fields in a JSON answer; ``None`` takes one away."""

    def spoil(reply: Reply) -> Reply:
        raw = json.loads(reply.body)
        for name, value in fields.items():
            raw.pop(name, None)
            if value is not None:
                raw[name] = value
        return Reply(reply.status, json.dumps(raw).encode(), reply.headers, reply.links)

    return spoil


def body(data: bytes):
    return lambda reply: Reply(reply.status, data, reply.headers, reply.links)


def header(name: str, value: str | None):
    def spoil(reply: Reply) -> Reply:
        headers = {k: v for k, v in reply.headers.items() if k != name} | (
            {name: value} if value else {}
        )
        return Reply(reply.status, reply.body, headers, reply.links)

    return spoil


def challenge(**fields):
    def spoil(reply: Reply) -> Reply:
        raw = json.loads(reply.body)
        for one in raw["challenges"]:
            one.update(fields)
        return Reply(reply.status, json.dumps(raw).encode(), reply.headers)

    return spoil


DEEP = b"[" * 100_000 + b"]" * 100_000
SPOILT = [
    ("dir", body(b"")),
    ("dir", body(b"<html>")),
    ("dir", body(b"[]")),
    ("dir", body(DEEP)),
    ("dir", body(b'{"newNonce": "https://ca.example/n"')),
    ("dir", body(b"\xff\xfe\x00")),
    ("dir", changed(newOrder=None)),
    ("dir", changed(newNonce="http://ca.example/new-nonce")),
    ("dir", changed(newAccount="https://")),
    ("dir", changed(newAccount=7)),
    ("dir", changed(newOrder="https://ca.example/" + "x" * 5_000)),
    ("dir", changed(newOrder="https://ca.example:99999/")),
    ("dir", changed(newOrder="https://[ca/")),
    ("dir", changed(newOrder="https://ca.example/a\r\nHost: evil")),
    ("dir", changed(meta=[])),
    ("new-nonce", header("replay-nonce", None)),
    ("new-nonce", header("replay-nonce", "a b")),
    ("new-account", header("location", None)),
    ("new-account", header("location", "file:///etc/passwd")),
    ("new-account", changed(status="deactivated")),
    ("new-account", body(b"null")),
    ("new-order", header("location", None)),
    ("new-order", header("location", "/relative")),
    ("new-order", changed(status="shiny")),
    ("new-order", changed(status=None)),
    ("new-order", changed(authorizations=[])),
    ("new-order", changed(authorizations="https://ca.example/authz/1")),
    ("new-order", changed(authorizations=["https://ca.example/a"] * 1_001)),
    ("new-order", changed(authorizations=[7])),
    ("new-order", changed(identifiers=[{"type": "dns", "value": "evil.example"}])),
    ("new-order", changed(identifiers=[{"type": "ip", "value": "127.0.0.1"}])),
    ("new-order", changed(identifiers=7)),
    ("new-order", changed(finalize=None)),
    ("new-order", changed(expires="tomorrow")),
    ("new-order", changed(error=7)),
    ("new-order", changed(status="valid")),
    ("authz", changed(identifier={"type": "dns", "value": "evil.example"})),
    ("authz", changed(identifier=None)),
    ("authz", changed(challenges=None)),
    ("authz", changed(challenges=[])),
    ("authz", changed(challenges=[7])),
    ("authz", changed(status="revoked")),
    ("authz", changed(status=["pending"])),
    ("authz", challenge(token="../../etc/passwd")),
    ("authz", challenge(token="short")),
    ("authz", challenge(token="x" * 300)),
    ("authz", challenge(token=7)),
    ("authz", challenge(url="gopher://x")),
    ("authz", challenge(status="maybe")),
    ("authz", challenge(error=[1])),
    ("order", changed(certificate="javascript:alert(1)")),
    ("order", body(b"{}")),
    ("finalize", changed(certificate=None)),
    ("finalize", changed(identifiers=[])),
]


@pytest.mark.parametrize("place", range(len(SPOILT)))
def test_a_spoilt_answer_is_a_clear_error_and_nothing_more(place):
    """Each says what of which answer made no sense, ends within bounds, and the next run succeeds."""
    name, spoil = SPOILT[place]
    world, done = World(), []

    def once(at: str, reply: Reply) -> Reply:
        if at == name and reply.status < 300:
            done.append(at)
            return spoil(reply)
        return reply

    world.authority.faults.spoil = once
    wrong = failing(world)
    assert done, "the fault was never met"
    assert wrong.kind in (
        FailureKind.UNUSABLE,
        FailureKind.ORDER,
        FailureKind.CHALLENGE,
        FailureKind.REJECTED,
        FailureKind.ACCOUNT,
        FailureKind.UNREACHABLE,
    )
    assert wrong.detail.isprintable() and 5 < len(wrong.detail) <= 300
    assert world.steps < 60
    assert world.shown == {}
    world.authority.faults.spoil = None
    chain.check_pair(world.obtain(), KEY, NAMES, world.now)


def test_the_authoritys_words_can_not_speak_to_a_terminal():
    world = World()
    problem = {"type": "urn:ietf:params:acme:error:malformed", "detail": "\x1b[2J\n" + "x" * 10_000}
    world.authority.faults.spoil = lambda name, reply: (
        Reply(400, json.dumps(problem).encode(), reply.headers) if name == "new-order" else reply
    )
    detail = failing(world).detail
    assert "\x1b" not in detail and "\n" not in detail and len(detail) <= 300
