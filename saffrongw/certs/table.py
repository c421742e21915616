"""Schema of ``[certs]`` in the operator file: keys, units, defaults and bounds.

It is loaded with every operator file, so it imports no other module of the package.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from toml_schema import ADDRESS, key

NAME = (
    r"(?=.{1,253}\Z)([a-z0-9_]([a-z0-9_\-]{0,61}[a-z0-9])?\.)*[a-z0-9_]([a-z0-9_\-]{0,61}[a-z0-9])?"
)
URL = r"https://[!-~]{1,2000}"
KEYS = ("ecdsa-p256", "ecdsa-p384", "rsa-2048")
CHALLENGES = ("tls-alpn-01", "http-01")
# Authorities allow no more names in one certificate.
MAX_NAMES = 100
# Each has a TLS context in memory.
MAX_CERTIFICATES = 1_000
# Revocation reasons (RFC 5280, 5.3.1).
REASONS = {
    "unspecified": 0,
    "key-compromise": 1,
    "superseded": 4,
    "cessation": 5,
}


@dataclass(frozen=True, slots=True)
class AuthorityTable:
    """``[[certs.authority]]``: an authority; the next in order is tried when one keeps failing."""

    directory: str = key(form=URL, about="its directory")
    contact: tuple[str, ...] = key((), about="addresses of mail")
    ca: str = key(
        "", about="a file of authorities that its own certificate comes from; empty: the system's"
    )
    issuer: str = key("", about="the common name in the chain that is preferred")
    external_id: str = key("", about="the id of an external account")
    external_key: str = key("", about="the file of its key, base64url, mode 0600")

    def __post_init__(self) -> None:
        """Reject an external account without its key, and a key without an account."""
        if bool(self.external_id) != bool(self.external_key):
            raise ValueError("external_id and external_key stand together or not at all")


@dataclass(frozen=True, slots=True)
class CertTable:
    """``[[certs.certificate]]``: one certificate that is obtained and renewed."""

    names: tuple[str, ...] = key(form=NAME, about="what it proves; the first one names it")
    key_: str = key("ecdsa-p256", choices=KEYS)
    challenge: str = key("tls-alpn-01", choices=CHALLENGES, about="how the names are proved")

    def __post_init__(self) -> None:
        """Reject an unusable list of names."""
        if not self.names:
            raise ValueError("names is empty")
        if len(self.names) > MAX_NAMES:
            raise ValueError(f"{len(self.names)} names; one certificate has {MAX_NAMES} at most")
        if len(set(self.names)) < len(self.names):
            raise ValueError("a name stands twice")

    @property
    def id(self) -> str:
        """Return the identifier under which the certificate is stored."""
        return self.names[0]


@dataclass(frozen=True, slots=True)
class ClientsTable:
    """``[certs.tls]``: TLS settings for clients, and limits on their handshakes."""

    minimum: str = key("1.2", choices=("1.2", "1.3"))
    protocols: tuple[str, ...] = key(
        (), form=r"[!-~]{1,64}", about="ALPN, the first one is preferred"
    )
    clients: str = key(
        "none", choices=("none", "optional", "required"), about="certificates of clients"
    )
    client_ca: str = key("", about="the file of authorities that they come from")
    ticket_hours: float = key(
        12.0, minimum=0.001, maximum=168, about="how long keys of session tickets live"
    )
    half_open: int = key(
        256, minimum=4, maximum=10_000, about="connections without a finished handshake"
    )
    handshake_ms: int = key(5_000, minimum=100, maximum=60_000, about="for a whole handshake")
    share: float = key(
        0.25, minimum=0.01, maximum=1.0, about="of the core, for all handshakes together"
    )

    def __post_init__(self) -> None:
        """Reject client authorities where no client certificates are requested, and the reverse."""
        if (self.clients != "none") != bool(self.client_ca):
            raise ValueError("client_ca is needed where clients prove themselves, and only there")


@dataclass(frozen=True, slots=True)
class RenewalTable:
    """``[certs.renewal]``: remaining shares of the lifetime at which a renewal or alarm is due."""

    lead: float = key(
        1 / 3, minimum=0.02, maximum=0.9, about="when it is renewed, without an authority's window"
    )
    notice: float = key(
        0.25, minimum=0.0, maximum=1.0, about="alarms, where a renewal has not happened by then"
    )
    warning: float = key(0.12, minimum=0.0, maximum=1.0)
    critical: float = key(0.04, minimum=0.0, maximum=1.0)
    order_minutes: float = key(60.0, minimum=0.01, maximum=1_440, about="for a whole order")

    def __post_init__(self) -> None:
        """Reject shares in the wrong order."""
        if not self.lead > self.notice >= self.warning >= self.critical:
            raise ValueError("lead, notice, warning and critical must fall in this order")


@dataclass(frozen=True, slots=True)
class CertsTable:
    """``[certs]``: TLS for clients, and the certificates for it."""

    listen: str = key(form=ADDRESS, about="where clients connect by TLS")
    state_dir: Path = key(about="a folder that all gateways with these names share")
    http_listen: str = key("", form=rf"({ADDRESS})?", about="where http-01 is answered")
    default: str = key("", about="the certificate for clients that name none; empty: the first one")
    certificate: tuple[CertTable, ...] = key(())
    authority: tuple[AuthorityTable, ...] = key(())
    lease_seconds: float = key(
        30.0, minimum=1.0, maximum=3_600, about="how long one gateway orders unasked"
    )
    clock_skew: float = key(
        2.0, minimum=0.01, maximum=600, about="by how many seconds gateways' clocks may differ"
    )
    tls: ClientsTable = key(ClientsTable())
    renewal: RenewalTable = key(RenewalTable())

    def __post_init__(self) -> None:
        """Reject tables that contradict each other."""
        if self.certificate and not self.authority:
            raise ValueError("certificates are to be obtained, but there is no [[certs.authority]]")
        if len(self.certificate) > MAX_CERTIFICATES:
            raise ValueError(f"{len(self.certificate)} certificates; {MAX_CERTIFICATES} at most")
        ids = [one.id for one in self.certificate]
        if len(set(ids)) < len(ids):
            raise ValueError("two certificates begin with the same name")
        directories = [one.directory for one in self.authority]
        if len(set(directories)) < len(directories):
            raise ValueError("an authority stands twice")
        if 3 * self.clock_skew >= self.lease_seconds:
            raise ValueError("clock_skew must be less than a third of lease_seconds")
        if not self.http_listen and any(one.challenge == "http-01" for one in self.certificate):
            raise ValueError("http-01 needs http_listen")
        if self.default and self.default not in ids and self.certificate:
            raise ValueError(f"default: {self.default!r} names no certificate")

    @property
    def first(self) -> str:
        """Return the certificate for clients that name none, or an empty string for any."""
        return self.default or (self.certificate[0].id if self.certificate else "")
