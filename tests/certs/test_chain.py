"""Checks of certificate pairs: each rule with a certificate that breaks only this rule."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519

from saffrongw.certs import chain
from testbed.acme_server.issuer import Issuer, request_of
from testbed.acme_server.model import ari_name

NOW = 1_800_000_000.0
DAY = 86_400.0
KEY = chain.new_key("ecdsa-p256")
ISSUER = Issuer(NOW)
NAMES = ("gw.example", "*.b.example")


def csr(key: bytes = KEY) -> x509.CertificateSigningRequest:
    return request_of(chain.signing_request(key, NAMES))


def issued(key: bytes = KEY, start=NOW - DAY, end=NOW + DAY, names=NAMES, other=None) -> bytes:
    return ISSUER.chain(ISSUER.sign(csr(key), list(names), start, end, other))


def refused(pem: bytes, key: bytes = KEY, names=("gw.example",), now=NOW) -> str:
    with pytest.raises(chain.ChainError) as found:
        chain.check_pair(pem, key, names, now)
    return str(found.value)


@pytest.mark.parametrize("kind", ["ecdsa-p256", "ecdsa-p384", "rsa-2048"])
def test_a_valid_pair_yields_its_facts(kind):
    key = chain.new_key(kind)
    pem = issued(key)
    facts = chain.check_pair(pem, key, ("gw.example", "x.b.example"), NOW)
    assert (facts.start, facts.end, facts.chain) == (NOW - DAY, NOW + DAY, 2)
    assert facts.issuer == "Stand-in Intermediate"
    assert facts.ari == ari_name(x509.load_pem_x509_certificates(pem)[0])
    assert (
        facts.covers("gw.example")
        and not facts.covers("b.example")
        and not facts.covers("x.y.b.example")
    )


def test_each_fault_has_its_own_error_message():
    other = ec.generate_private_key(ec.SECP256R1()).public_key()
    assert "another key" in refused(issued(other=other))
    assert "does not cover c.example" in refused(issued(), names=("c.example",))
    assert "not valid yet" in refused(issued(start=NOW + DAY, end=NOW + 2 * DAY))
    assert "ended" in refused(issued(start=NOW - 2 * DAY, end=NOW - 1))
    leaf = ISSUER.sign(csr(), list(NAMES), NOW - DAY, NOW + DAY)
    pem = serialization.Encoding.PEM
    alone = leaf.public_bytes(pem)
    assert "did not sign" in refused(alone + ISSUER.root.public_bytes(pem))
    assert "did not sign" in refused(alone + alone)
    assert "an authority's" in refused(
        ISSUER.middle.public_bytes(pem), ISSUER.key.private_bytes(pem, *_plain()), names=()
    ) or "no name" in refused(
        ISSUER.middle.public_bytes(pem), ISSUER.key.private_bytes(pem, *_plain()), names=()
    )


def _plain():
    return serialization.PrivateFormat.PKCS8, serialization.NoEncryption()


def test_a_leaf_alone_and_a_small_clock_skew_are_accepted():
    leaf = ISSUER.sign(csr(), list(NAMES), NOW + 60, NOW + DAY)
    assert chain.check_pair(leaf.public_bytes(serialization.Encoding.PEM), KEY, (), NOW).chain == 1


def test_any_time_accepts_expired_and_future_certificates():
    pem = issued(start=NOW - 2 * DAY, end=NOW - 1)
    assert chain.check_pair(pem, KEY, (), NOW, any_time=True).end == NOW - 1
    assert (
        chain.check_pair(
            issued(start=NOW + DAY, end=NOW + 2 * DAY), KEY, (), NOW, any_time=True
        ).start
        == NOW + DAY
    )


@pytest.mark.parametrize(
    ("pem", "said"),
    [
        (b"", "no certificates"),
        (b"<html>", "no certificates"),
        (b"-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n", "no certificates"),
        (b"x" * 200_000, "longer than"),
        (issued() * 5, "10 certificates"),
    ],
)
def test_invalid_pem_is_rejected(pem, said):
    assert said in refused(pem)


def test_unusable_keys_are_rejected():
    odd = ed25519.Ed25519PrivateKey.generate().private_bytes(serialization.Encoding.PEM, *_plain())
    locked = ec.generate_private_key(ec.SECP256R1()).private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.BestAvailableEncryption(b"secret"),
    )
    assert "neither ECDSA nor RSA" in refused(issued(), odd)
    assert "can't be read" in refused(issued(), locked)
    assert "can't be read" in refused(issued(), b"no key")


def test_a_flipped_byte_is_rejected_or_changes_nothing():
    """A corrupted file must not put a different certificate in service."""
    pem = bytearray(issued())
    good = chain.check_pair(bytes(pem), KEY, ("gw.example",), NOW)
    for at in range(0, len(pem), 3):
        spoilt = bytes(pem[:at]) + bytes([pem[at] ^ 0x15]) + bytes(pem[at + 1 :])
        try:
            facts = chain.check_pair(spoilt, KEY, ("gw.example",), NOW)
        except chain.ChainError:
            continue
        assert facts.names == good.names and facts.end == good.end


def test_the_validation_certificate_has_the_digest():
    now = datetime.now(UTC)
    cert, _ = chain.validation_certificate("gw.example", b"d" * 32, now, now + timedelta(days=1))
    found = x509.load_pem_x509_certificate(cert)
    extension = found.extensions.get_extension_for_oid(x509.ObjectIdentifier("1.3.6.1.5.5.7.1.31"))
    assert extension.critical and extension.value.value == b"\x04\x20" + b"d" * 32
    assert found.signature_hash_algorithm.name == hashes.SHA256().name
