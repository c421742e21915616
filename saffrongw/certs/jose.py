"""ACME request signatures (RFC 8555, 6.2): flattened JWS by an account's key. No I/O."""

from __future__ import annotations

import base64
import hashlib
import json
from typing import Any

from joserfc import jws
from joserfc.jwk import ECKey, OctKey

REGISTRY = jws.JWSRegistry(algorithms=["ES256", "HS256"], strict_check_header=False)
# Of the key that an authority issued for an external account.
MIN_EXTERNAL_KEY_BYTES = 16


def b64(data: bytes) -> str:
    """Encode as base64url without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def external_key(text: str) -> bytes:
    """Decode the key of an external account; ``ValueError`` if it is malformed."""
    text = text.strip().rstrip("=")
    try:
        key = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except ValueError:
        raise ValueError("not base64url") from None
    if len(key) < MIN_EXTERNAL_KEY_BYTES:
        raise ValueError(f"shorter than {MIN_EXTERNAL_KEY_BYTES} bytes")
    return key


class AccountKey:
    """A P-256 key that signs for an account (ES256)."""

    def __init__(self, key: ECKey) -> None:
        """Wrap a P-256 key."""
        self.key = key
        self.jwk: dict[str, Any] = key.as_dict(private=False)
        self.jwk = {name: self.jwk[name] for name in ("crv", "kty", "x", "y")}

    @classmethod
    def new(cls) -> AccountKey:
        """Create a new key."""
        return cls(ECKey.generate_key("P-256"))

    @classmethod
    def of(cls, pem: bytes) -> AccountKey:
        """Load a key from PEM; ``ValueError`` if it is not a P-256 key."""
        try:
            return cls(ECKey.import_key(pem))
        except Exception as error:  # noqa: BLE001 - the library raises many types
            raise ValueError(f"no key of P-256: {error!r:.100}") from None

    @property
    def pem(self) -> bytes:
        """Return the private key as PEM."""
        return self.key.as_pem(private=True)

    @property
    def thumbprint(self) -> str:
        """Return the key's thumbprint (RFC 7638)."""
        text = json.dumps(self.jwk, separators=(",", ":"), sort_keys=True)
        return b64(hashlib.sha256(text.encode()).digest())

    def authorise(self, token: str) -> str:
        """Return the key authorisation of a challenge (RFC 8555, 8.1)."""
        return f"{token}.{self.thumbprint}"

    def sign(
        self, url: str, payload: object, nonce: str | None, kid: str | None
    ) -> dict[str, object]:
        """Return the JWS of a request, identified by the account's URL or by the key itself.

        A payload of None is a POST-as-GET.
        """
        head: dict[str, Any] = {"alg": "ES256", "url": url}
        if nonce is not None:
            head["nonce"] = nonce
        head |= {"kid": kid} if kid else {"jwk": self.jwk}
        body = b"" if payload is None else json.dumps(payload).encode()
        return dict(jws.serialize_json({"protected": head}, body, self.key, registry=REGISTRY))

    def bind(self, url: str, kid: str, key: bytes) -> dict[str, object]:
        """Return the external account binding (RFC 8555, 7.3.4)."""
        head = {"alg": "HS256", "kid": kid, "url": url}
        signed = jws.serialize_json(
            {"protected": head},
            json.dumps(self.jwk).encode(),
            OctKey.import_key(key),
            registry=REGISTRY,
        )
        return dict(signed)
