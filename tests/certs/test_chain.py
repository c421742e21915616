"""What may be put in service: each rule with a certificate that breaks it and nothing else."""

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
def test_a_good_one_tells_its_facts(kind):
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


def test_each_fault_is_told_as_what_it_is():
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


def test_one_without_its_chain_may_serve_and_a_small_skew_is_borne():
    leaf = ISSUER.sign(csr(), list(NAMES), NOW + 60, NOW + DAY)
    assert chain.check_pair(leaf.public_bytes(serialization.Encoding.PEM), KEY, (), NOW).chain == 1


def test_at_any_time_ended_ones_may_go_on():
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
def test_what_is_no_chain(pem, said):
    assert said in refused(pem)


def test_keys_that_can_not_be_used_are_told():
    odd = ed25519.Ed25519PrivateKey.generate().private_bytes(serialization.Encoding.PEM, *_plain())
    locked = ec.generate_private_key(ec.SECP256R1()).private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.BestAvailableEncryption(b"secret"),
    )
    assert "neither ECDSA nor RSA" in refused(issued(), odd)
    assert "can't be read" in refused(issued(), locked)
    assert "can't be read" in refused(issued(), b"no key")


def test_every_byte_flipped_is_refused_or_the_same_certificate():
    """Whatever a disk or a line does to the file, what passes has our key and is signed by its chain."""
    pem = bytearray(issued())
    good = chain.check_pair(bytes(pem), KEY, ("gw.example",), NOW)
    for at in range(0, len(pem), 3):
        spoilt = bytes(pem[:at]) + bytes([pem[at] ^ 0x15]) + bytes(pem[at + 1 :])
        try:
            facts = chain.check_pair(spoilt, KEY, ("gw.example",), NOW)
        except chain.ChainError:
            continue
        assert facts.names == good.names and facts.end == good.end


def test_the_proof_of_a_name_has_its_digest():
    now = datetime.now(UTC)
    cert, _ = chain.validation_certificate("gw.example", b"d" * 32, now, now + timedelta(days=1))
    found = x509.load_pem_x509_certificate(cert)
    extension = found.extensions.get_extension_for_oid(x509.ObjectIdentifier("1.3.6.1.5.5.7.1.31"))
    assert extension.critical and extension.value.value == b"\x04\x20" + b"d" * 32
    assert found.signature_hash_algorithm.name == hashes.SHA256().name
