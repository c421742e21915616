"""Parsing of ClientHellos from the ssl module: complete, truncated and corrupted."""

from __future__ import annotations

import contextlib
import ssl

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffrongw.certs.client_hello import (
    MAX_HELLO_BYTES,
    ClientHello,
    ClientHelloError,
    parse_client_hello,
)


def client_hello_bytes(name: str | None = "gw.example", protocols: tuple[str, ...] = ()) -> bytes:
    """Return the ClientHello that a client of the ssl module sends."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    if protocols:
        context.set_alpn_protocols(list(protocols))
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = context.wrap_bio(incoming, outgoing, server_hostname=name)
    with pytest.raises(ssl.SSLWantReadError):
        client.do_handshake()
    return outgoing.read()


def split_into_records(hello: bytes, size: int) -> bytes:
    """Return the same hello in records of ``size`` bytes."""
    body = hello[5:]
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"\x16\x03\x01" + len(part).to_bytes(2) + part for part in parts)


def test_a_client_hello_yields_its_name_and_protocols():
    assert parse_client_hello(client_hello_bytes()) == ClientHello("gw.example", ())
    assert parse_client_hello(client_hello_bytes(None)) == ClientHello(None, ())
    assert parse_client_hello(client_hello_bytes("GW.Example", ("resp", "x"))) == ClientHello(
        "gw.example", (b"resp", b"x")
    )
    assert parse_client_hello(client_hello_bytes(protocols=("acme-tls/1",))).is_validation
    assert not parse_client_hello(
        client_hello_bytes(protocols=("acme-tls/1", "resp"))
    ).is_validation


def test_a_truncated_hello_yields_the_number_of_bytes_needed():
    hello = client_hello_bytes(protocols=("resp",))
    for cut in range(len(hello)):
        need = parse_client_hello(hello[:cut])
        assert isinstance(need, int)
        assert cut < need <= len(hello)


@pytest.mark.parametrize("size", [1, 3, 4, 7, 100])
def test_a_hello_split_over_many_records_is_parsed(size):
    spread = split_into_records(client_hello_bytes(), size)
    assert parse_client_hello(spread) == ClientHello("gw.example", ())
    assert all(isinstance(parse_client_hello(spread[:cut]), int) for cut in range(len(spread)))


@pytest.mark.parametrize(
    "data",
    [
        b"*1\r\n$4\r\nPING\r\n",  # a client without TLS
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x02\x00\x00\x05hello",
        b"\x16\x03\x01\x00\x00",
        b"\x16\x03\x01\xff\xff" + b"x" * 10,
        b"\x16\x03\x01\x00\x05\x02\x00\x00\x01x",  # a ServerHello
        b"\x16\x03\x01\x00\x04\x01\xff\xff\xff",  # a hello with a length of 16 MB
        b"\x16\x03\x01\x00\x05\x01\x00\x00\x01x",
    ],
)
def test_other_data_raises_client_hello_error(data):
    with pytest.raises(ClientHelloError):
        parse_client_hello(data)


@settings(max_examples=400, deadline=None)
@given(st.data())
def test_a_corrupted_hello_raises_no_other_error(data):
    hello = bytearray(client_hello_bytes("a" * 30 + ".example", ("resp", "acme-tls/1")))
    for _ in range(data.draw(st.integers(1, 6))):
        hello[data.draw(st.integers(0, len(hello) - 1))] = data.draw(st.integers(0, 255))
    try:
        found = parse_client_hello(bytes(hello))
    except ClientHelloError:
        return
    assert (
        isinstance(found, ClientHello)
        or len(hello) < found <= MAX_HELLO_BYTES + len(hello) + 16_384
    )


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_body_after_a_hello_header_is_parsed_or_rejected(tail):
    body = b"\x01" + len(tail).to_bytes(3) + tail
    with contextlib.suppress(ClientHelloError):
        assert isinstance(
            parse_client_hello(b"\x16\x03\x01" + len(body).to_bytes(2) + body), ClientHello
        )
