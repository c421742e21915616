"""Checks of certificate chains and keys. Bytes in, values out; no I/O, no clock.

A certificate may serve if it parses, matches our key, is valid now, covers the names it was ordered
for, and each certificate of its chain signs the one before it.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from itertools import pairwise

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.asymmetric.types import PublicKeyTypes
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from .jose import b64

MAX_CHAIN_CERTIFICATES = 8
MAX_PEM_BYTES = 128 * 1024
# Seconds by which our clock may be behind the authority's.
CLOCK_SKEW_S = 300.0

PrivateKey = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey


class ChainError(ValueError):
    """A certificate or key that must not serve; the message says why."""


@dataclass(frozen=True, slots=True)
class CertificateFacts:
    """The contents of a certificate: names in lower case, validity in Unix seconds, identifiers.

    ``fingerprint`` is the SHA-256 in hexadecimal; ``ari`` is its identifier by RFC 9773, empty if
    it has no key identifier of its authority; ``chain`` is the number of certificates including its
    own.
    """

    names: tuple[str, ...]
    start: float
    end: float
    serial: int
    issuer: str
    fingerprint: str
    ari: str
    chain: int

    @property
    def lifetime_s(self) -> float:
        """Return the length of the validity period in seconds."""
        return self.end - self.start

    def covers(self, name: str) -> bool:
        """Tell whether the certificate covers a name, also by a wildcard."""
        return name in self.names or ("." in name and "*." + name.partition(".")[2] in self.names)


def new_key(kind: str) -> bytes:
    """Create a private key as PEM; ``kind`` is ``ecdsa-p256``, ``ecdsa-p384`` or ``rsa-2048``."""
    key: PrivateKey
    if kind == "rsa-2048":
        key = rsa.generate_private_key(public_exponent=65537, key_size=2048)
    else:
        key = ec.generate_private_key(
            {"ecdsa-p256": ec.SECP256R1(), "ecdsa-p384": ec.SECP384R1()}[kind]
        )
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def load_key(pem: bytes) -> PrivateKey:
    """Load a private key from PEM; ``ChainError`` if it cannot be used."""
    try:
        key = serialization.load_pem_private_key(pem, None)
    except (ValueError, TypeError) as error:
        raise ChainError(f"the key can't be read: {error}") from None
    except Exception as error:  # noqa: BLE001 - unknown algorithms raise other types
        raise ChainError(f"the key can't be used: {error!r:.100}") from None
    if not isinstance(key, ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey):
        raise ChainError("the key is neither ECDSA nor RSA")
    return key


def signing_request(pem: bytes, names: tuple[str, ...]) -> str:
    """Return the signing request for these names in the format of ACME (base64url of DER)."""
    subject = [x509.NameAttribute(NameOID.COMMON_NAME, names[0])] if len(names[0]) <= 64 else []
    request = (
        x509.CertificateSigningRequestBuilder()
        .subject_name(x509.Name(subject))
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName(n) for n in names]), critical=False
        )
        .sign(load_key(pem), hashes.SHA256())
    )
    return b64(request.public_bytes(serialization.Encoding.DER))


def parse(pem: bytes) -> list[x509.Certificate]:
    """Parse the certificates of a PEM text in order; ``ChainError`` if it holds none."""
    if len(pem) > MAX_PEM_BYTES:
        raise ChainError(f"longer than {MAX_PEM_BYTES} bytes")
    try:
        found = x509.load_pem_x509_certificates(pem)
    except ValueError as error:
        raise ChainError(f"no certificates: {error!s:.100}") from None
    if len(found) > MAX_CHAIN_CERTIFICATES:
        raise ChainError(f"{len(found)} certificates; {MAX_CHAIN_CERTIFICATES} at most")
    return found


def der_of(pem: bytes) -> bytes:
    """Return the first certificate of a PEM text as DER; ``ChainError`` if there is none."""
    return parse(pem)[0].public_bytes(serialization.Encoding.DER)


def names_of(leaf: x509.Certificate) -> tuple[str, ...]:
    """Return the DNS names that a certificate covers."""
    try:
        found = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except (x509.ExtensionNotFound, x509.DuplicateExtension, ValueError):
        return ()
    return tuple(name.lower() for name in found.get_values_for_type(x509.DNSName))


def _seconds(at: datetime) -> float:
    return at.timestamp()


def _ari(leaf: x509.Certificate) -> str:
    try:
        key_identifier = leaf.extensions.get_extension_for_class(
            x509.AuthorityKeyIdentifier
        ).value.key_identifier
    except (x509.ExtensionNotFound, ValueError):
        return ""
    if not key_identifier:
        return ""
    serial = leaf.serial_number
    raw = serial.to_bytes(serial.bit_length() // 8 + 1, signed=True)
    return f"{b64(key_identifier)}.{b64(raw)}"


def issuer_names(chain: list[x509.Certificate]) -> set[str]:
    """Return the common names of all issuers in a chain, by which operators prefer chains."""
    found = set()
    for certificate in chain:
        for attribute in certificate.issuer.get_attributes_for_oid(NameOID.COMMON_NAME):
            found.add(str(attribute.value))
    return found


def facts_of(chain: list[x509.Certificate]) -> CertificateFacts:
    """Return the facts of the first certificate of a chain without checking anything."""
    leaf = chain[0]
    issuer = leaf.issuer.get_attributes_for_oid(NameOID.COMMON_NAME)
    return CertificateFacts(
        names_of(leaf),
        _seconds(leaf.not_valid_before_utc),
        _seconds(leaf.not_valid_after_utc),
        leaf.serial_number,
        str(issuer[0].value) if issuer else leaf.issuer.rfc4514_string(),
        leaf.fingerprint(hashes.SHA256()).hex(),
        _ari(leaf),
        len(chain),
    )


def _public(key: PublicKeyTypes) -> bytes:
    return key.public_bytes(
        serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
    )


def check_pair(
    pem: bytes, key: bytes, names: tuple[str, ...], now: float, any_time: bool = False
) -> CertificateFacts:
    """Return the facts of a pair that may serve; ``ChainError`` says why it may not.

    ``now`` is in Unix seconds. With ``any_time`` the validity period is not checked: a
    certificate stays in service when it expires, or when our clock goes back before its start,
    because having none would be worse.
    """
    try:
        return _check(parse(pem), key, names, now, any_time)
    except ChainError:
        raise
    except Exception as error:  # noqa: BLE001 - malformed fields raise errors of many types
        raise ChainError(f"it can't be read: {error!r:.100}") from None


def _check(
    chain: list[x509.Certificate], key: bytes, names: tuple[str, ...], now: float, any_time: bool
) -> CertificateFacts:
    found = facts_of(chain)
    if _public(load_key(key).public_key()) != _public(chain[0].public_key()):
        raise ChainError("it was issued for another key")
    missing = [name for name in names if not found.covers(name)]
    if missing:
        raise ChainError(
            f"it does not cover {', '.join(missing[:3])}{' ...' if len(missing) > 3 else ''}"
        )
    if not found.names:
        raise ChainError("it covers no name")
    if found.end <= found.start:
        raise ChainError("it ends before it begins")
    if found.start > now + CLOCK_SKEW_S and not any_time:
        raise ChainError("it is not valid yet")
    if found.end <= now and not any_time:
        raise ChainError("it has ended")
    _check_usage(chain[0])
    for at, (below, above) in enumerate(pairwise(chain)):
        try:
            below.verify_directly_issued_by(above)
        except (ValueError, TypeError, InvalidSignature):
            raise ChainError(
                f"the chain is broken: certificate {at + 1} did not sign number {at}"
            ) from None
        if not _may_sign(above):
            raise ChainError(f"the chain is broken: certificate {at + 1} is no authority")
    return found


def _check_usage(leaf: x509.Certificate) -> None:
    if _may_sign(leaf):
        raise ChainError("the first certificate is an authority's")
    try:
        uses = leaf.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
    except x509.ExtensionNotFound:
        return
    if ExtendedKeyUsageOID.SERVER_AUTH not in uses:
        raise ChainError("it is not for servers")


def _may_sign(certificate: x509.Certificate) -> bool:
    try:
        return bool(certificate.extensions.get_extension_for_class(x509.BasicConstraints).value.ca)
    except (x509.ExtensionNotFound, ValueError):
        return False


def validation_certificate(
    name: str, digest: bytes, now: datetime, until: datetime
) -> tuple[bytes, bytes]:
    """Create the self-signed certificate of RFC 8737 for a challenge, and its key, both PEM."""
    key = ec.generate_private_key(ec.SECP256R1())
    who = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "ACME challenge")])
    identifier = x509.UnrecognizedExtension(
        x509.ObjectIdentifier("1.3.6.1.5.5.7.1.31"), b"\x04\x20" + digest
    )
    certificate = (
        x509.CertificateBuilder()
        .subject_name(who)
        .issuer_name(who)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now)
        .not_valid_after(until)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .add_extension(identifier, critical=True)
        .sign(key, hashes.SHA256())
    )
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return certificate.public_bytes(serialization.Encoding.PEM), private
