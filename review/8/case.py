"""Case 8: a client that reads its value over TLS in seconds is cut off when operators drain."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import socket
import ssl
import sys
import time
from pathlib import Path

from rig import (
    LOCAL,
    ROOT,
    CannotRunError,
    World,
    call,
    free_port,
    http,
    is_trouble,
    request_id,
    run_case,
)

NAME = "gw.example.org"
# A long value (the pages allow 4 MiB), which the client reads in a little over 4 s.
VALUE_BYTES = 2 * 1024 * 1024
READ_BYTES, READ_EVERY_S = 14_000, 0.05
RECEIVE_BUFFER_BYTES = 32 * 1024
# The segment size of an Ethernet network: by the loopback interface's 64 KiB the kernel would take
# more of a value than on any real one.
SEGMENT_BYTES = 1_448
DRAIN_AFTER_S = 1.0
CLIENTS = 3


async def install_certificate(world: World, listen: str) -> str:
    """Write the operator file, and import a certificate; return the file of its authority."""
    import trustme

    authority = trustme.CA()
    issued = authority.issue_cert(NAME)
    folder = world.folder
    (folder / "key.pem").write_bytes(issued.private_key_pem.bytes())
    (folder / "key.pem").chmod(0o600)
    pems = [*issued.cert_chain_pems, authority.cert_pem]
    (folder / "cert.pem").write_bytes(b"".join(pem.bytes() for pem in pems))
    authority.cert_pem.write_to_path(str(folder / "ca.pem"))
    state = folder / "certs"
    state.mkdir(mode=0o700)
    text = f'[certs]\nlisten = "{listen}"\nstate_dir = "{state}"\n'
    text += f'[[certs.certificate]]\nnames = ["{NAME}"]\n'
    # Never asked: an imported certificate is not ordered.
    text += f'[[certs.authority]]\ndirectory = "https://{LOCAL}:{free_port()}/directory"\n'
    world.write_operator(world.gateways[0], text)
    importing = await asyncio.create_subprocess_exec(
        *(
            sys.executable,
            "-m",
            "saffrongw.admin.cli",
            "certs",
            "--operator",
            world.gateways[0].operator,
        ),
        *("import", "--cert", str(folder / "cert.pem"), "--key", str(folder / "key.pem")),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await importing.communicate()
    world.record.add(f"import: {importing.returncode} {output.decode().strip()!r}")
    if importing.returncode:
        raise CannotRunError("the certificate could not be imported")
    return str(folder / "ca.pem")


def read_slowly(world: World, listen: str, ca: str, customer: int) -> tuple[int, int]:
    """Send one request by TLS and read its value slowly; return the bytes expected and read."""
    request = request_id()
    context = ssl.create_default_context(cafile=ca)
    host, _, port = listen.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as plain:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        plain.settimeout(10)
        plain.connect((host, int(port)))
        with context.wrap_socket(plain, server_hostname=NAME) as client:
            client.sendall(call("sheet-read", 2_000, request, customer))
            data = b""
            expected = 0
            with contextlib.suppress(OSError):
                while not expected or len(data) < expected:
                    chunk = client.recv(READ_BYTES)
                    if not chunk:
                        break
                    data += chunk
                    if not expected and b"\r\n" in data:
                        head = data.partition(b"\r\n")[0]
                        world.record.add(f"client: {request} first bytes {head!r}")
                        if head[:1] != b"$":
                            break
                        expected = len(head) + 2 + int(head[1:]) + 2
                    time.sleep(READ_EVERY_S * len(chunk) / READ_BYTES)
            world.record.add(f"client: {request} read {len(data)} of {expected}")
            return expected, len(data)


async def play(world: World) -> list[str]:
    """Play the case and return what was broken."""
    for library in ("trustme", "cryptography", "joserfc"):
        if importlib.util.find_spec(library) is None:
            raise CannotRunError("build-2.sh was not run")
    listen = f"{LOCAL}:{free_port()}"
    ca = await install_certificate(world, listen)
    for host in world.hosts:
        host.value_bytes = VALUE_BYTES
    await world.start()
    await asyncio.sleep(1)
    reading = [
        asyncio.create_task(asyncio.to_thread(read_slowly, world, listen, ca, customer))
        for customer in range(1, CLIENTS + 1)
    ]
    await asyncio.sleep(DRAIN_AFTER_S)
    if is_trouble():
        status, _ = await http(world.gateways[0].admin, "POST", "/admin/quiesce")
        world.record.add(f"operators: quiesce answered {status}")
    found = await asyncio.gather(*reading)
    if not all(expected for expected, _ in found):
        raise CannotRunError("a value did not begin")
    return [
        f"a host served the request, its client got {read} of {expected} bytes, then the end"
        for expected, read in found
        if read < expected
    ]


run_case(Path(__file__).parent, World(3), play)
