"""Keys and certificates of the test CA: two roots, one intermediate cross-signed by both, and leaves."""

from __future__ import annotations

import base64
from datetime import UTC, datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

# Validity of the CA certificates before and after their creation.
ROOT_VALIDITY_S = 10 * 365 * 86_400
PEM = serialization.Encoding.PEM


def unb64(text: str) -> bytes:
    """Decodes base64url with or without padding."""
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def request_of(text: str) -> x509.CertificateSigningRequest:
    """Parses a CSR from ACME's base64url DER; raises ``ValueError``."""
    return x509.load_der_x509_csr(unb64(text))


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _datetime(at: float) -> datetime:
    return datetime.fromtimestamp(int(at), UTC)


def _ca_certificate(name: str, issuer: str, key, signer, now: float) -> x509.Certificate:
    return (
        x509.CertificateBuilder()
        .subject_name(_name(name))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(_datetime(now - ROOT_VALIDITY_S))
        .not_valid_after(_datetime(now + ROOT_VALIDITY_S))
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(signer, hashes.SHA256())
    )


class Issuer:
    """Signs leaf certificates. Its subject names: ``Stand-in Root``, ``Stand-in Root B``, ``Stand-in Intermediate``."""

    def __init__(self, now: float) -> None:
        self.root_key, self.other_key, self.key = (
            ec.generate_private_key(ec.SECP256R1()) for _ in range(3)
        )
        self.root = _ca_certificate(
            "Stand-in Root", "Stand-in Root", self.root_key, self.root_key, now
        )
        self.other = _ca_certificate(
            "Stand-in Root B", "Stand-in Root B", self.other_key, self.other_key, now
        )
        self.middle = _ca_certificate(
            "Stand-in Intermediate", "Stand-in Root", self.key, self.root_key, now
        )
        self.crossed = _ca_certificate(
            "Stand-in Intermediate", "Stand-in Root B", self.key, self.other_key, now
        )

    def sign(
        self,
        csr: x509.CertificateSigningRequest,
        names: list[str],
        start: float,
        end: float,
        key=None,
    ) -> x509.Certificate:
        """Issues a leaf for these names; ``key`` replaces the public key of the CSR (a fault)."""
        return (
            x509.CertificateBuilder()
            .subject_name(_name(names[0][:64]))
            .issuer_name(_name("Stand-in Intermediate"))
            .public_key(key or csr.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(_datetime(start))
            .not_valid_after(_datetime(end))
            .add_extension(
                x509.SubjectAlternativeName([x509.DNSName(n) for n in names]), critical=False
            )
            .add_extension(x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH]), critical=False)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(self.key.public_key()),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )

    def chain(self, leaf: x509.Certificate, alternate: bool = False) -> bytes:
        """The leaf and the intermediate in PEM; the alternate chain leads to the other root."""
        middle = self.crossed if alternate else self.middle
        return leaf.public_bytes(PEM) + middle.public_bytes(PEM)
