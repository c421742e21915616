"""Hellos as real libraries send them, cut anywhere, spoilt anywhere."""

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


def real(name: str | None = "gw.example", protocols: tuple[str, ...] = ()) -> bytes:
    """The first bytes of a client of the TLS library."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    if protocols:
        context.set_alpn_protocols(list(protocols))
    into, out = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = context.wrap_bio(into, out, server_hostname=name)
    with pytest.raises(ssl.SSLWantReadError):
        client.do_handshake()
    return out.read()


def records(hello: bytes, size: int) -> bytes:
    """The same hello in records of so many bytes."""
    body = hello[5:]
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"\x16\x03\x01" + len(part).to_bytes(2) + part for part in parts)


def test_a_real_hello_tells_its_name_and_protocols():
    assert parse_client_hello(real()) == ClientHello("gw.example", ())
    assert parse_client_hello(real(None)) == ClientHello(None, ())
    assert parse_client_hello(real("GW.Example", ("resp", "x"))) == ClientHello(
        "gw.example", (b"resp", b"x")
    )
    assert parse_client_hello(real(protocols=("acme-tls/1",))).is_check
    assert not parse_client_hello(real(protocols=("acme-tls/1", "resp"))).is_check


def test_cut_at_every_byte_it_asks_for_more_and_never_for_what_it_has():
    hello = real(protocols=("resp",))
    for cut in range(len(hello)):
        need = parse_client_hello(hello[:cut])
        assert isinstance(need, int)
        assert cut < need <= len(hello)


@pytest.mark.parametrize("size", [1, 3, 4, 7, 100])
def test_spread_over_many_records_it_is_the_same(size):
    spread = records(real(), size)
    assert parse_client_hello(spread) == ClientHello("gw.example", ())
    assert all(isinstance(parse_client_hello(spread[:cut]), int) for cut in range(len(spread)))


@pytest.mark.parametrize(
    "data",
    [
        b"*1\r\n$4\r\nPING\r\n",  # a client that speaks no TLS
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x02\x00\x00\x05hello",
        b"\x16\x03\x01\x00\x00",
        b"\x16\x03\x01\xff\xff" + b"x" * 10,
        b"\x16\x03\x01\x00\x05\x02\x00\x00\x01x",  # a server's hello
        b"\x16\x03\x01\x00\x04\x01\xff\xff\xff",  # a hello of 16 MB
        b"\x16\x03\x01\x00\x05\x01\x00\x00\x01x",
    ],
)
def test_what_is_no_hello_is_said_to_be_none(data):
    with pytest.raises(ClientHelloError):
        parse_client_hello(data)


@settings(max_examples=400, deadline=None)
@given(st.data())
def test_bytes_changed_anywhere_never_do_more_than_raise_its_own_error(data):
    hello = bytearray(real("a" * 30 + ".example", ("resp", "acme-tls/1")))
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
def test_any_bytes_behind_a_hellos_head_end_in_time(tail):
    body = b"\x01" + len(tail).to_bytes(3) + tail
    with contextlib.suppress(ClientHelloError):
        assert isinstance(
            parse_client_hello(b"\x16\x03\x01" + len(body).to_bytes(2) + body), ClientHello
        )
