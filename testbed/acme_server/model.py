"""The server side of RFC 8555 without sockets: takes requests, returns replies and lists challenge checks to make.

Signatures are verified with ``jwcrypto``, a library that the gateway does not use. ``Faults`` changes replies on their
way out; the state stays correct, so that tests can count orders, for example.
"""

from __future__ import annotations

import base64
import json
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from jwcrypto import jwk, jws
from jwcrypto.common import JWException

from .issuer import Issuer, request_of, unb64

ERROR = "urn:ietf:params:acme:error:"
MAX_NONCES = 10_000
ORDERS_PER_PAGE = 20


@dataclass(slots=True)
class Faults:
    """Faults to inject; all are off by default."""

    status: int = 0  # status of every answer, without a problem document; 0: off
    problem: str = ""  # problem type in answer to every signed request
    rate_limited: float = -1.0  # new orders get rateLimited with this Retry-After; below 0: off
    bad_nonces: int = 0  # number of coming signed requests that get badNonce
    pending: bool = False  # challenges stay unvalidated
    processing: bool = False  # orders stay in this status
    wrong_key: bool = False
    wrong_name: bool = False
    not_yet: bool = False
    expired: bool = False
    broken_chain: bool = False
    fail_checks: bool = False  # every challenge check fails
    retry_after: str = ""  # Retry-After header of polled resources
    # Changes replies; its first argument is the name of the resource.
    spoil: Callable[[str, Reply], Reply] | None = None


@dataclass(slots=True)
class Reply:
    """An HTTP reply."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    links: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Check:
    """A challenge for the server to validate."""

    place: str
    type: str
    name: str
    token: str
    authorisation: str


@dataclass(slots=True)
class _Account:
    place: str
    key: jwk.JWK
    contact: list[str]
    status: str = "valid"
    orders: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Challenge:
    type: str
    token: str
    status: str = "pending"
    error: dict[str, Any] | None = None


@dataclass(slots=True)
class _Authorisation:
    name: str
    account: str
    challenges: list[_Challenge]
    status: str = "pending"


@dataclass(slots=True)
class _Order:
    account: str
    names: list[str]
    authorisations: list[str]
    expires: float
    replaces: str = ""
    status: str = "pending"
    error: dict[str, Any] | None = None
    certificate: str = ""


class Problem(Exception):
    """An error that is answered as a problem document (RFC 8555, section 6.7)."""

    def __init__(self, status: int, type: str, detail: str, **headers: str) -> None:
        super().__init__(detail)
        self.status, self.type, self.detail, self.headers = status, type, detail, headers


class Authority:
    """The state of the ACME server. ``life``: seconds that certificates are valid; ``valid_for``: seconds for which a
    validated name needs no new challenge (0: every order validates anew)."""

    def __init__(
        self,
        base: str,
        clock: Callable[[], float],
        life: float = 90 * 86_400,
        valid_for: float = 0.0,
        external: dict[str, bytes] | None = None,
        ari: bool = True,
    ) -> None:
        self.base, self.clock, self.life, self.valid_for = base, clock, life, valid_for
        self.external, self.ari = external, ari
        self.issuer = Issuer(clock())
        self.faults = Faults()
        self.nonces: dict[str, None] = {}
        self.accounts: dict[str, _Account] = {}
        self.orders: dict[str, _Order] = {}
        self.authorisations: dict[str, _Authorisation] = {}
        self.certificates: dict[str, x509.Certificate] = {}
        self.revoked: dict[str, int] = {}
        # (account, name) -> time until which the name needs no new challenge.
        self.validated: dict[tuple[str, str], float] = {}
        # Renewal windows by ARI certificate id (RFC 9773).
        self.windows: dict[str, tuple[float, float]] = {}
        self.checks: list[Check] = []  # to be made by the caller
        self.counts: Counter[str] = Counter()

    # -- requests -------------------------------------------------------------------------------------------------

    def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Handles one request."""
        name = path.strip("/").split("/")[0] or "nothing"
        self.counts[f"{method} {name}"] += 1
        if self.faults.status:
            return Reply(
                self.faults.status, b"<html>not today</html>", {"content-type": "text/html"}
            )
        try:
            reply = self._route(method, path, body)
        except Problem as wrong:
            text = {"type": ERROR + wrong.type, "detail": wrong.detail, "status": wrong.status}
            headers = {"content-type": "application/problem+json"} | wrong.headers
            reply = Reply(wrong.status, json.dumps(text).encode(), headers)
        if method != "GET" or name == "new-nonce":
            reply.headers["replay-nonce"] = self._new_nonce()
        return self.faults.spoil(name, reply) if self.faults.spoil else reply

    def _route(self, method: str, path: str, body: bytes) -> Reply:
        parts = path.strip("/").split("/")
        if method in ("GET", "HEAD"):
            if parts == ["dir"]:
                return self._directory()
            if parts == ["new-nonce"]:
                return Reply(
                    200 if method == "HEAD" else 204, headers={"cache-control": "no-store"}
                )
            if parts[0] == "renewal-info" and len(parts) == 2 and self.ari:
                return self._renewal_info(parts[1])
            raise Problem(404 if method == "GET" else 405, "malformed", "not here")
        if method != "POST":
            raise Problem(405, "malformed", "no such method")
        head, payload, account = self._verify_request(path, body)
        if self.faults.problem:
            status = 429 if self.faults.problem == "rateLimited" else 400
            raise Problem(status, self.faults.problem, "as the fault says")
        if parts == ["new-account"]:
            return self._new_account(head, payload)
        if account is None:
            raise Problem(400, "malformed", "kid is needed here")
        act = {
            "new-order": lambda: self._new_order(account, payload),
            "account": lambda: self._account(account, parts[1], payload),
            "orders": lambda: self._orders(account, int(parts[2]) if len(parts) > 2 else 0),
            "order": lambda: self._order(account, parts[1]),
            "authz": lambda: self._authorisation(account, parts[1]),
            "challenge": lambda: self._challenge(account, parts[1], int(parts[2])),
            "finalize": lambda: self._finalize(account, parts[1], payload),
            "cert": lambda: self._certificate(parts[1], alternate=len(parts) > 2),
            "revoke": lambda: self._revoke(payload),
            "key-change": lambda: self._key_change(account, payload),
        }.get(parts[0])
        if act is None:
            raise Problem(404, "malformed", "not here")
        return act()

    def _json_reply(self, status: int, value: Any, **headers: str) -> Reply:
        return Reply(
            status, json.dumps(value).encode(), {"content-type": "application/json"} | headers
        )

    def _url(self, *parts: object) -> str:
        return "/".join([self.base, *map(str, parts)])

    def _new_nonce(self) -> str:
        nonce = secrets.token_urlsafe(12)
        self.nonces[nonce] = None
        while len(self.nonces) > MAX_NONCES:
            del self.nonces[next(iter(self.nonces))]
        return nonce

    def _verify_request(
        self, path: str, body: bytes
    ) -> tuple[dict[str, Any], Any, _Account | None]:
        """Verifies a request's JWS (RFC 8555, section 6.2), with its URL and single-use nonce."""
        try:
            outer = json.loads(body)
            head = json.loads(unb64(outer["protected"]))
            raw = unb64(outer["payload"])
            if "header" in outer or "signatures" in outer:
                raise ValueError("more than the flattened form")
        except (ValueError, KeyError, TypeError) as wrong:
            raise Problem(400, "malformed", f"no JWS: {wrong}") from None
        if head.get("alg") not in ("ES256", "RS256"):
            raise Problem(400, "badSignatureAlgorithm", "ES256 or RS256")
        if head.get("url") != self.base + path:
            raise Problem(400, "unauthorized", f"signed for {head.get('url')!r}")
        if ("jwk" in head) == ("kid" in head):
            raise Problem(400, "malformed", "jwk or kid")
        account = None
        if "kid" in head:
            account = self.accounts.get(str(head["kid"]))
            if account is None:
                raise Problem(400, "accountDoesNotExist", "no such account")
            key = account.key
        else:
            key = jwk.JWK(**head["jwk"])
        self._verify(body, key)
        nonce = head.get("nonce")
        if self.faults.bad_nonces > 0:
            self.faults.bad_nonces -= 1
            self.counts["badNonce"] += 1
            raise Problem(400, "badNonce", "as the fault says")
        if nonce not in self.nonces:
            self.counts["badNonce"] += 1
            raise Problem(400, "badNonce", "unknown or used")
        del self.nonces[nonce]
        if account and account.status != "valid":
            raise Problem(401, "unauthorized", f"the account is {account.status}")
        return head, json.loads(raw) if raw else None, account

    @staticmethod
    def _verify(body: bytes, key: jwk.JWK) -> None:
        token = jws.JWS()
        try:
            token.deserialize(body.decode())
            token.verify(key)
        except (JWException, ValueError) as wrong:
            raise Problem(400, "malformed", f"the signature is wrong: {wrong}") from None

    # -- resources ------------------------------------------------------------------------------------------------

    def _directory(self) -> Reply:
        found: dict[str, Any] = {
            "newNonce": self._url("new-nonce"),
            "newAccount": self._url("new-account"),
            "newOrder": self._url("new-order"),
            "revokeCert": self._url("revoke"),
            "keyChange": self._url("key-change"),
            "meta": {"externalAccountRequired": self.external is not None},
        }
        if self.ari:
            found["renewalInfo"] = self._url("renewal-info")
        return self._json_reply(200, found)

    def _new_account(self, head: dict[str, Any], payload: Any) -> Reply:
        if "jwk" not in head:
            raise Problem(400, "malformed", "jwk is needed here")
        key = jwk.JWK(**head["jwk"])
        old = next(
            (a for a in self.accounts.values() if a.key.thumbprint() == key.thumbprint()), None
        )
        if old:
            if old.status != "valid":
                raise Problem(401, "unauthorized", f"the account is {old.status}")
            return self._json_reply(
                200, {"status": "valid", "contact": old.contact}, location=old.place
            )
        if payload.get("onlyReturnExisting"):
            raise Problem(400, "accountDoesNotExist", "no account has this key")
        if self.external is not None:
            self._verify_account_binding(payload.get("externalAccountBinding"), key)
        place = self._url("account", len(self.accounts) + 1)
        self.accounts[place] = _Account(place, key, payload.get("contact", []))
        self.counts["accounts"] += 1
        text = {"status": "valid", "orders": self._url("orders", len(self.accounts))}
        return self._json_reply(201, text, location=place)

    def _verify_account_binding(self, binding: Any, key: jwk.JWK) -> None:
        if not binding:
            raise Problem(403, "externalAccountRequired", "an external account is needed")
        head = json.loads(unb64(binding["protected"]))
        secret = self.external.get(head.get("kid"))
        if secret is None or head.get("url") != self._url("new-account") or "nonce" in head:
            raise Problem(403, "unauthorized", "no such external account")
        token = jws.JWS()
        token.allowed_algs = ["HS256"]
        try:
            token.deserialize(json.dumps(binding))
            token.verify(
                jwk.JWK(kty="oct", k=base64.urlsafe_b64encode(secret).rstrip(b"=").decode())
            )
        except JWException as wrong:
            raise Problem(403, "unauthorized", f"the binding is wrong: {wrong}") from None
        if jwk.JWK(**json.loads(token.payload)).thumbprint() != key.thumbprint():
            raise Problem(403, "unauthorized", "bound to another key")

    def _account(self, account: _Account, number: str, payload: Any) -> Reply:
        if account.place != self._url("account", number):
            raise Problem(403, "unauthorized", "not yours")
        if payload and payload.get("status") == "deactivated":
            account.status = "deactivated"
        return self._json_reply(
            200, {"status": account.status, "orders": self._url("orders", number)}
        )

    def _orders(self, account: _Account, page: int) -> Reply:
        mine = account.orders[::-1]
        reply = self._json_reply(
            200, {"orders": mine[page * ORDERS_PER_PAGE : (page + 1) * ORDERS_PER_PAGE]}
        )
        if len(mine) > (page + 1) * ORDERS_PER_PAGE:
            number = account.place.rpartition("/")[2]
            reply.links.append(f'<{self._url("orders", number, page + 1)}>;rel="next"')
        return reply

    def _new_order(self, account: _Account, payload: Any) -> Reply:
        if self.faults.rate_limited >= 0:
            after = str(int(self.faults.rate_limited))
            raise Problem(429, "rateLimited", "too many orders", **{"retry-after": after})
        names = [one["value"].lower() for one in payload["identifiers"]]
        if replaced := payload.get("replaces"):
            if any(o.replaces == replaced and o.status != "invalid" for o in self.orders.values()):
                raise Problem(409, "alreadyReplaced", "it has been replaced")
            self.counts["replaces"] += 1
        number = str(len(self.orders) + 1)
        places = []
        for name in names:
            place = str(len(self.authorisations) + 1)
            known = self.validated.get((account.place, name), 0) > self.clock()
            status = "valid" if known else "pending"
            challenges = [
                _Challenge(type, secrets.token_urlsafe(24), status)
                for type in ("http-01", "dns-01", "tls-alpn-01")
            ]
            self.authorisations[place] = _Authorisation(name, account.place, challenges, status)
            places.append(place)
        expires = self.clock() + 7 * 86_400
        self.orders[number] = _Order(account.place, names, places, expires, replaced or "")
        account.orders.append(self._url("order", number))
        self.counts["orders"] += 1
        return self._show_order(number, 201)

    def _update_status(self, order: _Order) -> None:
        states = [self.authorisations[p].status for p in order.authorisations]
        if order.status == "pending":
            if "invalid" in states:
                order.status = "invalid"
                bad = next(
                    a
                    for a in (self.authorisations[p] for p in order.authorisations)
                    if a.status == "invalid"
                )
                order.error = next((c.error for c in bad.challenges if c.error), None)
            elif all(s == "valid" for s in states):
                order.status = "ready"
        if order.status in ("pending", "ready") and order.expires < self.clock():
            order.status = "invalid"

    def _show_order(self, number: str, status: int = 200) -> Reply:
        order = self.orders[number]
        self._update_status(order)
        found: dict[str, Any] = {
            "status": order.status,
            "expires": _timestamp(order.expires),
            "identifiers": [{"type": "dns", "value": name} for name in order.names],
            "authorizations": [self._url("authz", place) for place in order.authorisations],
            "finalize": self._url("finalize", number),
        }
        if order.certificate and not (self.faults.processing and order.status == "processing"):
            found["certificate"] = self._url("cert", order.certificate)
        if order.error:
            found["error"] = order.error
        headers = {"location": self._url("order", number)}
        if self.faults.retry_after:
            headers["retry-after"] = self.faults.retry_after
        return self._json_reply(status, found, **headers)

    def _order(self, account: _Account, number: str) -> Reply:
        order = self.orders.get(number)
        if order is None or order.account != account.place:
            raise Problem(404, "malformed", "no such order")
        if order.status == "processing" and not self.faults.processing:
            order.status = "valid"
        return self._show_order(number)

    def _authorisation(self, account: _Account, place: str) -> Reply:
        found = self.authorisations.get(place)
        if found is None or found.account != account.place:
            raise Problem(404, "malformed", "no such authorisation")
        challenges = []
        for at, one in enumerate(found.challenges):
            shown = {"type": one.type, "url": self._url("challenge", place, at), "token": one.token}
            shown["status"] = one.status
            if one.error:
                shown["error"] = one.error
            challenges.append(shown)
        text = {
            "status": found.status,
            "identifier": {"type": "dns", "value": found.name},
            "challenges": challenges,
            "expires": _timestamp(self.clock() + 86_400),
        }
        headers = {"retry-after": self.faults.retry_after} if self.faults.retry_after else {}
        return self._json_reply(200, text, **headers)

    def _challenge(self, account: _Account, place: str, at: int) -> Reply:
        found = self.authorisations.get(place)
        if found is None or found.account != account.place:
            raise Problem(404, "malformed", "no such challenge")
        one = found.challenges[at]
        if one.status == "pending":
            one.status = "processing"
            authorisation = f"{one.token}.{account.key.thumbprint()}"
            self.checks.append(
                Check(f"{place}/{at}", one.type, found.name, one.token, authorisation)
            )
        text = {"type": one.type, "url": self._url("challenge", place, at), "token": one.token}
        return self._json_reply(200, text | {"status": one.status})

    def checked(self, check: Check, wrong: str) -> None:
        """Records the result of a challenge check; an empty ``wrong``: the name is validated."""
        if self.faults.pending:
            return
        place, at = check.place.split("/")
        found = self.authorisations[place]
        one = found.challenges[int(at)]
        if self.faults.fail_checks:
            wrong = "as the fault says"
        self.counts["checks failed" if wrong else "checks passed"] += 1
        if wrong:
            one.status = found.status = "invalid"
            one.error = {"type": ERROR + "unauthorized", "detail": wrong, "status": 403}
        else:
            one.status = found.status = "valid"
            if self.valid_for:
                self.validated[found.account, found.name] = self.clock() + self.valid_for

    def _finalize(self, account: _Account, number: str, payload: Any) -> Reply:
        order = self.orders.get(number)
        if order is None or order.account != account.place:
            raise Problem(404, "malformed", "no such order")
        self._update_status(order)
        if order.status != "ready":
            raise Problem(403, "orderNotReady", f"the order is {order.status}")
        try:
            csr = request_of(payload["csr"])
            asked = csr.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
            names = [n.lower() for n in asked.get_values_for_type(x509.DNSName)]
        except (ValueError, KeyError, TypeError, x509.ExtensionNotFound) as wrong:
            raise Problem(400, "badCSR", f"no request: {wrong}") from None
        if not csr.is_signature_valid or sorted(names) != sorted(order.names):
            raise Problem(400, "badCSR", "its signature or its names are wrong")
        now = self.clock()
        start, end = now - 1, now + self.life
        if self.faults.not_yet:
            start, end = now + 86_400, now + 86_400 + self.life
        if self.faults.expired:
            start, end = now - self.life, now - 60
        key = (
            ec.generate_private_key(ec.SECP256R1()).public_key() if self.faults.wrong_key else None
        )
        shown = ["elsewhere.example"] if self.faults.wrong_name else names
        leaf = self.issuer.sign(csr, shown, start, end, key)
        order.certificate = str(len(self.certificates) + 1)
        self.certificates[order.certificate] = leaf
        order.status = "processing" if self.faults.processing else "valid"
        self.counts["issued"] += 1
        return self._show_order(number)

    def _certificate(self, number: str, alternate: bool) -> Reply:
        leaf = self.certificates.get(number)
        if leaf is None:
            raise Problem(404, "malformed", "no such certificate")
        pem = self.issuer.chain(leaf, alternate)
        if self.faults.broken_chain:
            pem = leaf.public_bytes(serialization.Encoding.PEM)
            pem += self.issuer.other.public_bytes(serialization.Encoding.PEM)
        reply = Reply(200, pem, {"content-type": "application/pem-certificate-chain"})
        if not alternate:
            reply.links.append(f'<{self._url("cert", number, "alternate")}>;rel="alternate"')
        return reply

    def _renewal_info(self, name: str) -> Reply:
        leaf = next((c for c in self.certificates.values() if ari_name(c) == name), None)
        if leaf is None:
            raise Problem(404, "malformed", "no such certificate")
        end = leaf.not_valid_after_utc.timestamp()
        start, stop = self.windows.get(
            name, (end - self.life / 3, end - self.life / 3 + self.life / 45)
        )
        text = {"suggestedWindow": {"start": _timestamp(start), "end": _timestamp(stop)}}
        return self._json_reply(200, text, **{"retry-after": self.faults.retry_after or "21600"})

    def _revoke(self, payload: Any) -> Reply:
        der = unb64(payload["certificate"])
        for number, leaf in self.certificates.items():
            if leaf.public_bytes(serialization.Encoding.DER) == der:
                if number in self.revoked:
                    raise Problem(400, "alreadyRevoked", "it was revoked before")
                self.revoked[number] = int(payload.get("reason", 0))
                return Reply(200)
        raise Problem(404, "malformed", "not ours")

    def _key_change(self, account: _Account, payload: Any) -> Reply:
        inner = json.dumps(payload).encode()
        head = json.loads(unb64(payload["protected"]))
        key = jwk.JWK(**head["jwk"])
        self._verify(inner, key)
        said = json.loads(unb64(payload["payload"]))
        if (
            said["account"] != account.place
            or jwk.JWK(**said["oldKey"]).thumbprint() != account.key.thumbprint()
        ):
            raise Problem(400, "malformed", "another account or key")
        if head.get("url") != self._url("key-change") or "nonce" in head:
            raise Problem(400, "malformed", "another url, or a nonce within")
        if any(a.key.thumbprint() == key.thumbprint() for a in self.accounts.values()):
            raise Problem(409, "conflict", "an account has this key")
        account.key = key
        self.counts["key changes"] += 1
        return Reply(200)


def ari_name(leaf: x509.Certificate) -> str:
    """The ARI certificate id (RFC 9773, section 4.1)."""
    of = leaf.extensions.get_extension_for_class(x509.AuthorityKeyIdentifier).value.key_identifier
    serial = leaf.serial_number
    raw = serial.to_bytes((serial.bit_length() + 8) // 8, "big")
    return ".".join(base64.urlsafe_b64encode(part).rstrip(b"=").decode() for part in (of, raw))


def fingerprint(leaf: x509.Certificate) -> str:
    """The SHA-256 fingerprint in hexadecimal."""
    return leaf.fingerprint(hashes.SHA256()).hex()


def _timestamp(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat().replace("+00:00", "Z")
