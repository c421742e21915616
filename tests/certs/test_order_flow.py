"""The ACME flows with a model of the authority, without sockets: interruptions, malformed replies, bad nonces."""

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


class Interrupted(BaseException):
    """Ends a run between two steps, as SIGKILL would."""


@dataclass
class FlowRunner:
    """Runs flows with a model authority, a virtual clock and the note that would be stored on disk."""

    now: float = 1_000_000_000.0
    note: CertNote = field(default_factory=CertNote)
    published: dict[str, PublishChallenge] = field(default_factory=dict)
    steps: int = 0
    interrupt_at: int = -1
    after: bool = False  # interrupt after the step has had its effect, not before

    def __post_init__(self) -> None:
        self.authority = Authority(BASE, lambda: self.now)
        self.asked: list[str] = []

    def run(self, steps):
        answer, error = None, None
        while True:
            try:
                step = steps.throw(error) if error else steps.send(answer)
            except StopIteration as done:
                return done.value
            answer, error = None, None
            self.steps += 1
            if self.steps == self.interrupt_at and not self.after:
                raise Interrupted
            if isinstance(step, HttpRequest):
                answer = self.send(step)
            elif isinstance(step, SaveNote):
                self.note = step.note
            elif isinstance(step, PublishChallenge):
                self.published[step.token] = step
            elif isinstance(step, WithdrawChallenges):
                for token in step.tokens:
                    self.published.pop(token, None)
            elif isinstance(step, Sleep):
                assert step.seconds > 0
                self.now += step.seconds
            if self.steps == self.interrupt_at:
                raise Interrupted

    def send(self, request: HttpRequest) -> HttpAnswer:
        self.asked.append(request.read)
        reply = self.authority.handle(request.method, request.url.removeprefix(BASE), request.body)
        checks, self.authority.checks = self.authority.checks, []
        for check in checks:
            self.authority.checked(check, self.validate(check))
        links = [
            (link.partition('rel="')[2].rstrip('"'), link[1:].partition(">")[0])
            for link in reply.links
        ]
        return HttpAnswer(reply.status, reply.headers, reply.body, tuple(links))

    def validate(self, check: Check) -> str:
        found = self.published.get(check.token)
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


def obtain_error(runner: FlowRunner, **changes) -> AcmeError:
    with pytest.raises(AcmeError) as found:
        runner.obtain(**changes)
    return found.value


@pytest.mark.parametrize("challenge", ["tls-alpn-01", "http-01"])
def test_a_first_certificate_is_obtained(challenge):
    runner = FlowRunner()
    pem = runner.obtain(challenge=challenge)
    facts = chain.check_pair(pem, KEY, NAMES, runner.now)
    assert set(facts.names) == set(NAMES)
    assert facts.ari == ari_name(x509.load_pem_x509_certificates(pem)[0])
    assert runner.published == {}
    assert runner.authority.counts["orders"] == runner.authority.counts["issued"] == 1


def test_an_order_interrupted_at_any_step_is_resumed():
    whole = FlowRunner()
    whole.obtain()
    assert whole.steps >= 18
    further = 0
    for interrupt_at in range(1, whole.steps + 1):
        for after in (False, True):
            runner = FlowRunner(interrupt_at=interrupt_at, after=after)
            with pytest.raises(Interrupted):
                runner.obtain()
            runner.interrupt_at = -1
            chain.check_pair(runner.obtain(), KEY, NAMES, runner.now)
            orders = runner.authority.counts["orders"]
            assert orders <= 2, f"step {interrupt_at}"
            assert runner.authority.counts["accounts"] == 1
            further += orders - 1
    assert further == 0  # this authority lists orders, so an order whose reply was lost is found


def test_without_order_lists_an_interruption_costs_at_most_one_further_order():
    for interrupt_at in range(1, 30):
        runner = FlowRunner(interrupt_at=interrupt_at, after=True)
        runner.authority.faults.spoil = lambda name, reply: (
            Reply(404, b"{}", reply.headers) if name == "orders" else reply
        )
        try:
            runner.obtain()
        except Interrupted:
            runner.interrupt_at = -1
            runner.obtain()
        assert runner.authority.counts["orders"] <= 2


def test_bad_nonces_are_retried_a_bounded_number_of_times():
    runner = FlowRunner()
    session = runner.session()
    runner.authority.faults.bad_nonces = 2
    runner.obtain(session)
    assert runner.authority.counts["badNonce"] == 2
    runner.authority.faults.bad_nonces = 10**9
    runner.note = CertNote()
    error = obtain_error(runner, session=session)
    assert error.kind is FailureKind.UNREACHABLE and "nonce" in error.detail


def test_an_order_pending_for_ever_times_out():
    runner = FlowRunner()
    runner.authority.faults.pending = True
    began = runner.now
    error = obtain_error(runner, timeout_s=600.0)
    assert error.kind is FailureKind.ORDER and "never ends" in error.detail
    assert 590 <= runner.now - began <= 660
    assert runner.note.order is None and runner.published == {}


def test_an_order_processing_for_ever_times_out():
    runner = FlowRunner()
    runner.authority.faults.processing = True
    assert "processing" in obtain_error(runner, timeout_s=600.0).detail


def test_polling_respects_retry_after_within_the_time_out():
    runner = FlowRunner()
    runner.authority.faults.pending, runner.authority.faults.retry_after = True, "100"
    obtain_error(runner, timeout_s=600.0)
    assert runner.asked.count("authorization") <= 12


def test_a_failed_validation_reports_the_authoritys_detail_and_drops_the_order():
    runner = FlowRunner()
    runner.authority.faults.fail_checks = True
    error = obtain_error(runner)
    assert error.kind is FailureKind.CHALLENGE and "as the fault says" in error.detail
    assert runner.note.order is None
    runner.authority.faults.fail_checks = False
    runner.obtain()


def test_a_rate_limit_has_its_retry_after():
    runner = FlowRunner()
    runner.authority.faults.rate_limited = 7_200
    error = obtain_error(runner)
    assert (error.kind, error.retry_after) == (FailureKind.RATE, 7_200.0)


def test_a_deactivated_account_is_a_challenge_or_account_failure():
    runner = FlowRunner()
    session = runner.session()
    runner.run(session.post(session.account, {"status": "deactivated"}, "account"))
    assert obtain_error(runner, session=session).kind in (
        FailureKind.CHALLENGE,
        FailureKind.ACCOUNT,
    )


def test_an_external_account_binding_is_required_and_verified():
    runner = FlowRunner()
    runner.authority.external = {"kid-1": b"k" * 32}
    session = Session(f"{BASE}/dir", AccountKey.new(), lambda: runner.now)
    with pytest.raises(AcmeError, match="external account") as found:
        runner.run(session.register(()))
    assert found.value.kind is FailureKind.ACCOUNT
    with pytest.raises(AcmeError, match="binding is wrong"):
        runner.run(session.register((), ("kid-1", b"x" * 32)))
    runner.run(session.register((), ("kid-1", b"k" * 32)))
    assert runner.authority.counts["accounts"] == 1


def test_a_key_change_keeps_the_account():
    runner = FlowRunner()
    session, new = runner.session(), AccountKey.new()
    account_url = session.account
    runner.run(session.roll_over(new))
    runner.obtain(session)
    again = Session(f"{BASE}/dir", new, lambda: runner.now)
    assert runner.run(again.register((), None, existing=True)) == account_url
    old = Session(f"{BASE}/dir", ACCOUNT, lambda: runner.now)
    with pytest.raises(AcmeError):
        runner.run(old.register((), None, existing=True))


def test_a_second_revocation_fails():
    runner = FlowRunner()
    session = runner.session()
    der = chain.der_of(runner.obtain(session))
    runner.run(session.revoke(der, 4))
    assert runner.authority.revoked == {"1": 4}
    with pytest.raises(AcmeError, match="alreadyRevoked"):
        runner.run(session.revoke(der, 4))


def test_the_preferred_chain_is_chosen_or_else_the_default():
    runner = FlowRunner()
    issuers = chain.issuer_names(chain.parse(runner.obtain(issuer="Stand-in Root B")))
    assert "Stand-in Root B" in issuers
    runner.note = CertNote()
    assert chain.issuer_names(chain.parse(runner.obtain(issuer="Nobody"))) >= {"Stand-in Root"}


def test_a_renewal_succeeds_even_if_its_replaces_field_is_rejected():
    runner = FlowRunner()
    name = chain.facts_of(chain.parse(runner.obtain())).ari
    for expected in (1, 2):
        runner.note = CertNote()
        runner.obtain(replaces=name)
        assert runner.authority.counts["replaces"] == 1 or expected == 2
    assert runner.authority.counts["issued"] == 3


def test_the_renewal_window_is_fetched_if_the_authority_offers_one():
    runner = FlowRunner()
    session = runner.session()
    facts = chain.facts_of(chain.parse(runner.obtain(session)))
    window = runner.run(session.window(facts.ari))
    assert facts.end - 31 * 86_400 < window.start < window.end < facts.end
    assert window.ask_at == runner.now + 21_600
    runner.authority.ari = False
    assert runner.run(Session(f"{BASE}/dir", ACCOUNT, lambda: runner.now).window(facts.ari)) is None


def test_all_pages_of_the_order_list_are_read():
    runner = FlowRunner()
    session = runner.session()
    for _ in range(45):
        runner.note = CertNote()
        runner.obtain(session)
    assert len(runner.run(session.orders())) == 45


def test_valid_authorisations_are_reused():
    runner = FlowRunner()
    runner.authority.valid_for = 86_400
    runner.obtain()
    before = runner.authority.counts["checks passed"]
    runner.note = CertNote()
    runner.obtain()
    assert runner.authority.counts["checks passed"] == before == 2


def test_an_order_for_other_names_is_not_resumed():
    runner = FlowRunner(interrupt_at=9)
    with pytest.raises(Interrupted):
        runner.obtain()
    runner.interrupt_at = -1
    chain.check_pair(
        runner.obtain(names=NAMES[:1], csr=chain.signing_request(KEY, NAMES[:1])),
        KEY,
        NAMES[:1],
        runner.now,
    )


# -- malformed replies ------------------------------------------------------------------------------------------------


def changed(**fields):
    """Change fields of a JSON reply; ``None`` removes a field."""

    def change(reply: Reply) -> Reply:
        raw = json.loads(reply.body)
        for name, value in fields.items():
            raw.pop(name, None)
            if value is not None:
                raw[name] = value
        return Reply(reply.status, json.dumps(raw).encode(), reply.headers, reply.links)

    return change


def body(data: bytes):
    return lambda reply: Reply(reply.status, data, reply.headers, reply.links)


def header(name: str, value: str | None):
    def change(reply: Reply) -> Reply:
        headers = {k: v for k, v in reply.headers.items() if k != name} | (
            {name: value} if value else {}
        )
        return Reply(reply.status, reply.body, headers, reply.links)

    return change


def challenge(**fields):
    def change(reply: Reply) -> Reply:
        raw = json.loads(reply.body)
        for one in raw["challenges"]:
            one.update(fields)
        return Reply(reply.status, json.dumps(raw).encode(), reply.headers)

    return change


DEEP = b"[" * 100_000 + b"]" * 100_000
MALFORMED_REPLIES = [
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


@pytest.mark.parametrize("index", range(len(MALFORMED_REPLIES)))
def test_a_malformed_reply_is_an_error_and_the_next_run_succeeds(index):
    """The error has a printable, bounded detail, the run ends within bounds, and the next one succeeds."""
    name, spoil = MALFORMED_REPLIES[index]
    runner, done = FlowRunner(), []

    def once(at: str, reply: Reply) -> Reply:
        if at == name and reply.status < 300:
            done.append(at)
            return spoil(reply)
        return reply

    runner.authority.faults.spoil = once
    error = obtain_error(runner)
    assert done, "the fault was never met"
    assert error.kind in (
        FailureKind.UNUSABLE,
        FailureKind.ORDER,
        FailureKind.CHALLENGE,
        FailureKind.REJECTED,
        FailureKind.ACCOUNT,
        FailureKind.UNREACHABLE,
    )
    assert error.detail.isprintable() and 5 < len(error.detail) <= 300
    assert runner.steps < 60
    assert runner.published == {}
    runner.authority.faults.spoil = None
    chain.check_pair(runner.obtain(), KEY, NAMES, runner.now)


def test_error_details_have_no_control_characters():
    runner = FlowRunner()
    problem = {"type": "urn:ietf:params:acme:error:malformed", "detail": "\x1b[2J\n" + "x" * 10_000}
    runner.authority.faults.spoil = lambda name, reply: (
        Reply(400, json.dumps(problem).encode(), reply.headers) if name == "new-order" else reply
    )
    detail = obtain_error(runner).detail
    assert "\x1b" not in detail and "\n" not in detail and len(detail) <= 300
