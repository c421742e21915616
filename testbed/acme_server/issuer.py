"""The keys and certificates of the stand-in authority: two roots, one intermediate signed by both, leaves."""

from __future__ import annotations

import base64
from datetime import UTC, datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

AGE = 10 * 365 * 86_400  # seconds that the roots are valid before and after they are made
PEM = serialization.Encoding.PEM


def unb64(text: str) -> bytes:
    """Base64url with or without its padding."""
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def request_of(text: str) -> x509.CertificateSigningRequest:
    """A signing request as ACME carries it; ``ValueError``."""
    return x509.load_der_x509_csr(unb64(text))


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _when(at: float) -> datetime:
    return datetime.fromtimestamp(int(at), UTC)


def _authority(name: str, issuer: str, key, signer, now: float) -> x509.Certificate:
    return (
        x509.CertificateBuilder()
        .subject_name(_name(name))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(_when(now - AGE))
        .not_valid_after(_when(now + AGE))
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(signer, hashes.SHA256())
    )


class Issuer:
    """Signs what it is asked to sign. Names: ``Stand-in Root``, ``Stand-in Root B``, ``Stand-in Intermediate``."""

    def __init__(self, now: float) -> None:
        self.root_key, self.other_key, self.key = (
            ec.generate_private_key(ec.SECP256R1()) for _ in range(3)
        )
        self.root = _authority("Stand-in Root", "Stand-in Root", self.root_key, self.root_key, now)
        self.other = _authority(
            "Stand-in Root B", "Stand-in Root B", self.other_key, self.other_key, now
        )
        self.middle = _authority(
            "Stand-in Intermediate", "Stand-in Root", self.key, self.root_key, now
        )
        self.crossed = _authority(
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
        """A leaf for these names; ``key``: another public key than the request's (a fault)."""
        return (
            x509.CertificateBuilder()
            .subject_name(_name(names[0][:64]))
            .issuer_name(_name("Stand-in Intermediate"))
            .public_key(key or csr.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(_when(start))
            .not_valid_after(_when(end))
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
        """The leaf and its intermediate; the alternate one leads to the other root."""
        middle = self.crossed if alternate else self.middle
        return leaf.public_bytes(PEM) + middle.public_bytes(PEM)
