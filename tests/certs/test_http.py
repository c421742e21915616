"""The HTTPS client with an authority that sends malformed, slow or endless replies, or is untrusted."""

from __future__ import annotations

import asyncio
import contextlib
import ssl

import pytest
import trustme
from async_testing import asyncio_test

from saffrongw.certs.acme_steps import HttpRequest
from saffrongw.certs.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, AuthorityClient
from saffrongw.certs.messages import AcmeError, FailureKind

CA = trustme.CA()
GOOD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"


@contextlib.asynccontextmanager
async def authority_server(
    tmp_path, data: bytes, then=None, ca: trustme.CA = CA, within: float = 20.0
):
    """Run a server that replies with these bytes; yield a function that sends it a request."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    ca.issue_cert("127.0.0.1").configure_cert(context)

    async def serve(reader, writer) -> None:
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            if then:
                await then(writer)
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=context)
    port = server.sockets[0].getsockname()[1]
    CA.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    https = AuthorityClient(str(tmp_path / "ca.pem"), within)
    yield lambda: https.send(HttpRequest("GET", f"https://127.0.0.1:{port}/dir", "directory"))
    server.close()


async def send_endless_body(writer) -> None:
    for _ in range(MAX_BODY_BYTES // 65_536 + 8):
        writer.write(b"x" * 65_536)
        await writer.drain()


async def send_nothing(writer) -> None:
    await asyncio.sleep(5)


async def drip_bytes(writer) -> None:
    for _ in range(60):
        writer.write(b"x")
        await writer.drain()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    ("data", "then", "within", "kind", "said"),
    [
        (b"garbage\r\n\r\n", None, 20, FailureKind.UNUSABLE, "no HTTP"),
        (
            b"HTTP/1.1 200 OK\r\nx: " + b"y" * (MAX_HEAD_BYTES + 99),
            None,
            20,
            FailureKind.UNUSABLE,
            "no HTTP",
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
            None,
            20,
            FailureKind.UNUSABLE,
            "no HTTP",
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab",
            None,
            20,
            FailureKind.UNREACHABLE,
            "ended within",
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            None,
            20,
            FailureKind.UNUSABLE,
            "no HTTP",
        ),
        (b"", None, 20, FailureKind.UNREACHABLE, "ended within"),
        (b"HTTP/1.1 200 OK\r\n\r\n", send_endless_body, 20, FailureKind.UNUSABLE, "longer than"),
        (b"", send_nothing, 0.2, FailureKind.UNREACHABLE, "no answer within"),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n",
            drip_bytes,
            0.3,
            FailureKind.UNREACHABLE,
            "no answer within",
        ),
    ],
)
def test_a_malformed_or_missing_reply_raises_acme_error(tmp_path, data, then, within, kind, said):
    @asyncio_test
    async def run():
        async with authority_server(tmp_path, data, then, within=within) as ask:
            with pytest.raises(AcmeError) as found:
                await ask()
            assert found.value.kind is kind
            assert said in found.value.detail

    run()


@asyncio_test
async def test_a_redirect_is_returned_and_not_followed(tmp_path):
    async with authority_server(
        tmp_path, b"HTTP/1.1 302 Found\r\nlocation: https://x/\r\ncontent-length: 0\r\n\r\n"
    ) as ask:
        assert (await ask()).status == 302


@asyncio_test
async def test_an_authority_with_an_untrusted_certificate_counts_as_unreachable(tmp_path):
    async with authority_server(tmp_path, GOOD + b"\r\n{}", ca=trustme.CA()) as ask:
        with pytest.raises(AcmeError) as found:
            await ask()
    assert found.value.kind is FailureKind.UNREACHABLE
    assert "VERIFY" in found.value.detail.upper()


@asyncio_test
async def test_links_and_headers_are_parsed(tmp_path):
    head = (
        GOOD
        + b'Link: <https://x/1>;rel="alternate", <https://x/2>; rel="alternate"\r\nLink: <https://x/3>;rel=next\r\n'
    )
    async with authority_server(tmp_path, head + b"Replay-Nonce: abc\r\n\r\n{}") as ask:
        answer = await ask()
    assert answer.linked("alternate") == ["https://x/1", "https://x/2"]
    assert answer.linked("next") == ["https://x/3"]
    assert (answer.headers["replay-nonce"], answer.body) == ("abc", b"{}")


@asyncio_test
async def test_a_refused_connection_counts_as_unreachable():
    with pytest.raises(AcmeError) as found:
        await AuthorityClient().send(HttpRequest("GET", "https://127.0.0.1:1/dir", "directory"))
    assert found.value.kind is FailureKind.UNREACHABLE
