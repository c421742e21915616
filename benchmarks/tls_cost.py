"""Cost of TLS: gateway CPU per handshake (full, resumed, during certificate changes) and per request (TLS and plain),
and requests lost while certificates change under 300 requests a second.

``python -m benchmarks.tls_cost [--rounds N] [--flood]``. The gateway is a process of its own, and its CPU time is read
from /proc; the simulated host and the clients run in this process. Ratios are taken within one run, with the kinds of
measurement interleaved.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import ssl
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import deque
from pathlib import Path

import hiredis
import uvloop

from saffrongw.certs import chain
from saffrongw.certs.certificate_store import CertificateSite
from saffrongw.certs.documents import CertNote
from testbed.acme_server.issuer import Issuer, request_of
from testbed.runner.processes import die_with_parent, free_port

ROOT = Path(__file__).parent.parent
NAME = "gw.example"
TICK = os.sysconf("SC_CLK_TCK")
ANSWER = b"*3\r\n$2\r\nok\r\n$-1\r\n$21\r\nlatency_ms=9,util=0.5\r\n"
PINGS, REQUESTS, CONNECTIONS = 400, 6_000, 20


class Host(asyncio.Protocol):
    """Simulated host that answers every command at once."""

    def connection_made(self, transport) -> None:
        self.transport, self.reader = transport, hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while self.reader.gets() is not False:
            self.transport.write(ANSWER)


class Client(asyncio.Protocol):
    """Client connection that sends one request at a time."""

    def __init__(self) -> None:
        self.reader, self.waiting, self.closed = hiredis.Reader(), asyncio.Queue(), False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            self.waiting.put_nowait(reply)

    def connection_lost(self, error) -> None:
        self.closed = True
        self.waiting.put_nowait(None)

    async def call(self, number: int):
        terms = b"c=read,t=team,d=2000,units=1,spread=2,first=0"
        words = (b"CALL.GET", b"%016x" % (number % 50), b"%016x" % number, terms)
        self.transport.write(hiredis.pack_command(words))
        return await self.waiting.get()


def client_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    return context


class Rig:
    """The gateway, its certificate directory and its host."""

    def __init__(self, folder: Path, share: float = 1.0, core: int | None = None) -> None:
        self.share, self.core = share, core
        self.folder, self.plain, self.tls = folder, free_port(), free_port()
        self.site, self.issuer = CertificateSite(folder / "state"), Issuer(time.time())
        self.site.folder.open()
        self.number = 0

    def install_certificate(self) -> bytes:
        """Install a new certificate and return it as DER."""
        key, now = chain.new_key("ecdsa-p256"), time.time()
        csr = request_of(chain.signing_request(key, (NAME,)))
        pem = self.issuer.chain(self.issuer.sign(csr, [NAME], now - 60, now + 86_400 * 90))
        self.site.certificates.install(NAME, pem, key, CertNote(names=(NAME,), imported=True), None)
        return chain.der_of(pem)

    async def start(self) -> None:
        sys.path.insert(0, str(ROOT / "tests"))
        from loopback_rig import SITE

        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(Host, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        line = {"dial": f"127.0.0.1:{port}", "site": "hall-a", "class": "m", "block": 1}
        hosts = [
            line | {"host": h, "health": "SERVING", "share": 1.0, "born_ms": 0} for h in "abcdef"
        ]
        plan = SITE["packages"][0] | {"perSecond": 100_000.0, "peakUnits": 100_000.0}
        text = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.plain}",
            "discovery": "127.0.0.1:1",
            "seed": "01",
        }
        text |= {"limits": {"sockets": 1_024}, "settings": SITE | {"packages": [plan]}}
        text["known"] = {"seq": 1, "whole": True, "hosts": hosts}
        (self.folder / "config.json").write_text(json.dumps(text))
        table = f'[certs]\nlisten = "127.0.0.1:{self.tls}"\nstate_dir = "{self.folder / "state"}"\n'
        (self.folder / "operator.toml").write_text(table + f"[certs.tls]\nshare = {self.share}\n")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "saffrongw"],
            cwd=ROOT,
            env=os.environ
            | {
                "LB_CONFIG": str(self.folder / "config.json"),
                "SAFFRONGW_OPERATOR": str(self.folder / "operator.toml"),
            },
            preexec_fn=self._prepare_process,
        )
        while await asyncio.to_thread(self.connect_and_ping) is None:
            await asyncio.sleep(0.1)

    def _prepare_process(self) -> None:
        die_with_parent()
        if self.core is not None:
            os.sched_setaffinity(0, {self.core})

    def cpu(self) -> float:
        """Return the CPU seconds that the gateway has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def connect_and_ping(self, session=None, context=None):
        """Connect and send one PING; return (session, resumed, certificate), or None on failure."""
        try:
            sock = socket.create_connection(("127.0.0.1", self.tls), timeout=5)
            with (context or client_context()).wrap_socket(
                sock, server_hostname=NAME, session=session
            ) as tls:
                tls.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert tls.recv(100) == b"+PONG\r\n"
                return tls.session, tls.session_reused, tls.getpeercert(binary_form=True)
        except OSError:
            return None

    def plain_connect_and_ping(self) -> None:
        with socket.create_connection(("127.0.0.1", self.plain), timeout=5) as sock:
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            assert sock.recv(100) == b"+PONG\r\n"

    def connection_cpu_us(self, what: str) -> float:
        """Return the gateway CPU in us per connection with one PING."""
        context, stop = client_context(), threading.Event()
        session = self.connect_and_ping(None, context)[0]
        swapper = None
        if what == "while swapping":

            def swapping() -> None:
                while not stop.wait(0.2):
                    self.install_certificate()

            swapper = threading.Thread(target=swapping)
            swapper.start()
        before = self.cpu()
        for _ in range(PINGS):
            if what == "plain":
                self.plain_connect_and_ping()
            elif what == "resumed":
                session, resumed, _ = self.connect_and_ping(session, context)
                assert resumed
            else:
                assert self.connect_and_ping(None, context) is not None
        used = (self.cpu() - before) / PINGS * 1e6
        stop.set()
        if swapper:
            swapper.join()
        return used

    async def request_cpu_us(self, secure: bool) -> float:
        """Return the gateway CPU in us per request on persistent connections."""
        loop = asyncio.get_running_loop()
        port, tls = (
            (self.tls, {"ssl": client_context(), "server_hostname": NAME})
            if secure
            else (self.plain, {})
        )
        clients = [
            (await loop.create_connection(Client, "127.0.0.1", port, **tls))[1]
            for _ in range(CONNECTIONS)
        ]
        before, failed = self.cpu(), 0

        async def go(client: Client) -> None:
            nonlocal failed
            for _ in range(REQUESTS // CONNECTIONS):
                self.number += 1
                reply = await client.call(self.number)
                if reply is None:
                    raise SystemExit("the gateway closed a connection")
                failed += isinstance(reply, hiredis.ReplyError)
                if failed == 1:
                    print("first refusal:", reply, file=sys.stderr)

        await asyncio.gather(*map(go, clients))
        for client in clients:
            client.transport.abort()
        assert failed < REQUESTS / 100, failed
        return (self.cpu() - before) / REQUESTS * 1e6

    async def under_load(self, seconds: float, rate: float) -> dict[str, int]:
        """Send requests on persistent and new connections while the certificate changes twice a second."""
        loop, counts = (
            asyncio.get_running_loop(),
            {"answered": 0, "refused": 0, "lost": 0, "dropped": 0, "swaps": 0},
        )
        tls = {"ssl": client_context(), "server_hostname": NAME}
        kept = [
            (await loop.create_connection(Client, "127.0.0.1", self.tls, **tls))[1]
            for _ in range(50)
        ]
        free = deque(
            kept
        )  # Used in rotation: the gateway closes a connection without requests for 3 s, as on the plain listener.
        tasks = set()

        async def one(number: int) -> None:
            client = free.popleft() if number % 10 and free else None
            own = client is None
            if own:
                try:
                    client = (await loop.create_connection(Client, "127.0.0.1", self.tls, **tls))[1]
                except OSError:
                    counts["dropped"] += 1
                    return
            reply = await client.call(number)
            if reply is None:
                counts["lost"] += 1
            elif isinstance(reply, hiredis.ReplyError):
                counts["refused"] += 1
            else:
                counts["answered"] += 1
            if own:
                client.transport.close()
            elif not client.closed:
                free.append(client)

        began, at = loop.time(), 0
        while (now := loop.time() - began) < seconds:
            if now * 2 > counts["swaps"]:
                counts["swaps"] += 1
                tasks.add(asyncio.ensure_future(asyncio.to_thread(self.install_certificate)))
            while at < now * rate:
                at += 1
                self.number += 1
                tasks.add(asyncio.ensure_future(one(self.number)))
            await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)
        counts["dropped"] += sum(client.closed for client in kept)
        return counts

    async def requests_during_flood(
        self, seconds: float, rate: float, floods: int
    ) -> tuple[list[float], int, int]:
        """Send plain requests while ``floods`` processes do TLS handshakes as fast as they can; return the latencies in
        ms, the number of requests refused or not sent, and the number of handshakes."""
        loop = asyncio.get_running_loop()
        run = [
            sys.executable,
            "-m",
            "benchmarks.tls_cost",
            "--flooder",
            str(self.tls),
            "--seconds",
            str(seconds),
        ]
        flooders = [
            subprocess.Popen(run, cwd=ROOT, stdout=subprocess.PIPE, preexec_fn=die_with_parent)
            for _ in range(floods)
        ]
        for flooder in flooders:
            await asyncio.to_thread(flooder.stdout.readline)  # Printed once it has started.
        clients = [
            (await loop.create_connection(Client, "127.0.0.1", self.plain))[1] for _ in range(20)
        ]
        free, latencies, refused, tasks = deque(clients), [], 0, set()

        async def one(client: Client, number: int) -> None:
            nonlocal refused
            began = loop.time()
            reply = await client.call(number)
            if isinstance(reply, hiredis.ReplyError | None):
                refused += 1
            else:
                latencies.append((loop.time() - began) * 1e3)
            free.append(client)

        began, at, late = loop.time(), 0, 0
        while (now := loop.time() - began) < seconds:
            while at < now * rate:
                at += 1
                self.number += 1
                if free:
                    tasks.add(asyncio.ensure_future(one(free.popleft(), self.number)))
                else:
                    late += 1
            await asyncio.sleep(0.001)
        await asyncio.gather(*tasks)
        done = [(await asyncio.to_thread(flooder.communicate))[0] for flooder in flooders]
        for client in clients:
            client.transport.abort()
        return latencies, refused + late, sum(map(int, done))


def flood_handshakes(port: int, seconds: float) -> None:
    """Do handshakes one after another, as fast as possible, and print their number."""
    context, count, end = client_context(), 0, time.monotonic() + seconds
    print("begun", flush=True)
    while time.monotonic() < end:
        try:
            sock = socket.create_connection(("127.0.0.1", port), timeout=5)
            with context.wrap_socket(sock, server_hostname=NAME):
                count += 1
        except OSError:
            continue
    print(count)


async def print_flood_table(seconds: float) -> None:
    """Print latencies of 500 plain requests a second on one core, with and without a handshake flood, by TLS share."""
    print("share  flood  answered  refused or not begun   p50 ms   p99 ms  handshakes a second")
    for share, floods in ((0.25, 0), (0.25, 5), (1.0, 5)):
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(Path(folder), share, max(os.sched_getaffinity(0)))
            rig.install_certificate()
            await rig.start()
            times, refused, handshakes = await rig.requests_during_flood(seconds, 500.0, floods)
            times.sort()
            middle, high = times[len(times) // 2], times[int(len(times) * 0.99)]
            row = f"{share:5}{floods:7}{len(times):10}{refused:22}{middle:9.1f}{high:9.1f}{handshakes / seconds:21.0f}"
            print(row, flush=True)
            rig.process.send_signal(signal.SIGTERM)
            rig.process.wait(10)


async def main(rounds: int, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder))
        rig.install_certificate()
        await rig.start()
        kinds = ("plain", "cold", "resumed", "while swapping")
        found: dict[str, list[float]] = {
            kind: [] for kind in (*kinds, "request, plain", "request, TLS")
        }
        for _ in range(rounds):
            for kind in kinds:
                found[kind].append(await asyncio.to_thread(rig.connection_cpu_us, kind))
            found["request, plain"].append(await rig.request_cpu_us(False))
            found["request, TLS"].append(await rig.request_cpu_us(True))
        base = statistics.median(found["plain"])
        print(f"{'':18}{'us of CPU, median':>20}{'least':>9}{'most':>9}{'a CPU-second':>14}")
        for kind, values in found.items():
            middle = statistics.median(values)
            more = f"{1e6 / max(1.0, middle - base):14,.0f}" if kind in kinds[1:] else ""
            print(f"{kind:18}{middle:20,.0f}{min(values):9,.0f}{max(values):9,.0f}{more}")
        ratio = statistics.median(
            b / a for a, b in zip(found["request, plain"], found["request, TLS"], strict=True)
        )
        print(f"a request over TLS costs {ratio:.2f} of a plain one (median of {rounds} rounds)")
        print("handshakes a CPU-second: a visit less a plain visit (connect, PING, close)")
        counts = await rig.under_load(seconds, 300.0)
        print(
            f"{seconds:g} s at 300 requests a second: "
            + ", ".join(f"{n} {name}" for name, n in counts.items())
        )
        rig.process.send_signal(signal.SIGTERM)
        rig.process.wait(10)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--flood", action="store_true", help="only requests beside a flood of handshakes"
    )
    parser.add_argument("--flooder", type=int, default=0, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.flooder:
        sys.exit(flood_handshakes(options.flooder, options.seconds))
    uvloop.run(
        print_flood_table(options.seconds)
        if options.flood
        else main(options.rounds, options.seconds)
    )
