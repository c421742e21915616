"""Our account with one certificate authority: the directory, nonces and signed requests (RFC 8555).

No I/O: methods are generators of steps (``acme_steps.py``).
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from . import messages
from .acme_steps import Flow, HttpRequest
from .jose import AccountKey, b64
from .messages import AcmeError, BadNonceError, Directory, FailureKind, HttpAnswer

# Each nonce is valid for one request.
MAX_CACHED_NONCES = 8
# Attempts of one request, so that it ends even if the authority rejects every nonce.
MAX_NONCE_ATTEMPTS = 4
# Limits on how much of the list of our orders is read.
MAX_ORDER_PAGES, MAX_ORDERS = 4, 60


class Session:
    """Our account with one authority: the directory, nonces, and signed requests."""

    def __init__(
        self, directory: str, key: AccountKey, now: Callable[[], float], account: str = ""
    ) -> None:
        """Start without nonces; ``account`` is the account's URL, if it is known."""
        self.directory, self.key, self.now, self.account = directory, key, now, account
        self.urls: Directory | None = None
        self.nonces: list[str] = []

    def _send(self, request: HttpRequest) -> Flow[HttpAnswer]:
        answer = yield request
        nonce = answer.headers.get("replay-nonce", "")
        if (
            nonce
            and len(nonce) <= 256
            and all(c.isascii() and (c.isalnum() or c in "-_") for c in nonce)
        ):
            self.nonces.append(nonce)
            del self.nonces[:-MAX_CACHED_NONCES]
        return answer

    def open(self) -> Flow[Directory]:
        """Return the directory, fetched once in a session."""
        if self.urls is None:
            answer = yield from self._send(HttpRequest("GET", self.directory, "directory"))
            if answer.status != 200:
                raise messages.problem(answer, self.now())
            self.urls = messages.directory(answer)
        return self.urls

    def _nonce(self) -> Flow[str]:
        if not self.nonces:
            urls = yield from self.open()
            answer = yield from self._send(HttpRequest("HEAD", urls.nonce, "nonce"))
            if not self.nonces:
                if answer.status >= 400:
                    raise messages.problem(answer, self.now())
                raise messages.malformed_answer("nonce", "none in the answer")
        return self.nonces.pop()

    def post(self, url: str, payload: object, read: str, by_key: bool = False) -> Flow[HttpAnswer]:
        """Send a signed request; a payload of None is a POST-as-GET.

        A request with a rejected nonce is sent again with another one; all other failures are
        raised.
        """
        kid = None if by_key else self.account
        for tried in range(MAX_NONCE_ATTEMPTS):
            nonce = yield from self._nonce()
            signed = self.key.sign(url, payload, nonce, kid)
            answer = yield from self._send(HttpRequest("POST", url, read, _json(signed)))
            if 200 <= answer.status < 300:
                return answer
            error = messages.problem(answer, self.now())
            if not isinstance(error, BadNonceError):
                raise error
            if tried:  # the nonce from the error reply was rejected too: request a new one
                self.nonces.clear()
        raise AcmeError(
            FailureKind.UNREACHABLE, f"{read}: each of {MAX_NONCE_ATTEMPTS} nonces was refused"
        )

    # -- the account -------------------------------------------------------------------------------

    def register(
        self,
        contact: tuple[str, ...],
        external: tuple[str, bytes] | None = None,
        existing: bool = False,
    ) -> Flow[str]:
        """Register the account and return its URL, which stays the same for a known key."""
        urls = yield from self.open()
        payload: dict[str, Any] = {"termsOfServiceAgreed": True}
        if existing:
            payload["onlyReturnExisting"] = True
        if contact:
            payload["contact"] = [c if ":" in c else f"mailto:{c}" for c in contact]
        if external:
            payload["externalAccountBinding"] = self.key.bind(urls.account, *external)
        elif urls.external and not existing:
            raise AcmeError(
                FailureKind.ACCOUNT, "the authority wants an external account; none is configured"
            )
        answer = yield from self.post(urls.account, payload, "account", by_key=True)
        found = messages.document(answer, "account")
        if found.get("status") != "valid":
            raise AcmeError(
                FailureKind.ACCOUNT, f"the account is {messages.clean(found.get('status'))}"
            )
        self.account = messages.url(answer.headers.get("location"), "account: location")
        return self.account

    def roll_over(self, new: AccountKey) -> Flow[None]:
        """Change the account's key (RFC 8555, 7.3.5)."""
        urls = yield from self.open()
        if not urls.key_change:
            raise messages.malformed_answer("directory.keyChange", "the authority offers none")
        inner = new.sign(
            urls.key_change, {"account": self.account, "oldKey": self.key.jwk}, None, None
        )
        yield from self.post(urls.key_change, inner, "key change")
        self.key = new

    def revoke(self, der: bytes, reason: int) -> Flow[None]:
        """Revoke a certificate."""
        urls = yield from self.open()
        if not urls.revoke:
            raise messages.malformed_answer("directory.revokeCert", "the authority offers none")
        yield from self.post(urls.revoke, {"certificate": b64(der), "reason": reason}, "revocation")

    def window(self, name: str) -> Flow[messages.RenewalWindow | None]:
        """Fetch the renewal window of a certificate; None if the authority offers none."""
        urls = yield from self.open()
        if not urls.renewal or not name:
            return None
        answer = yield from self._send(
            HttpRequest("GET", f"{urls.renewal.rstrip('/')}/{name}", "renewalInfo")
        )
        if answer.status != 200:
            raise messages.problem(answer, self.now())
        return messages.window(answer, self.now())

    def orders(self) -> Flow[list[str]]:
        """Return the URLs of our newest orders; empty if the authority lists none."""
        answer = yield from self.post(self.account, {}, "account")
        raw = messages.document(answer, "account")
        resource_url = messages.url_in(raw, "orders", "account", needed=False)
        found: list[str] = []
        for _ in range(MAX_ORDER_PAGES):
            if not resource_url:
                break
            answer = yield from self.post(resource_url, None, "orders")
            listed = messages.document(answer, "orders").get("orders")
            if not isinstance(listed, list):
                raise messages.malformed_answer("orders.orders", "no list")
            found += [messages.url(one, "orders.orders") for one in listed[:MAX_ORDERS]]
            following = answer.linked("next")
            resource_url = messages.url(following[0], "orders: next") if following else ""
        return found[:MAX_ORDERS]


def _json(value: object) -> bytes:
    return json.dumps(value).encode()
