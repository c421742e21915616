"""Real gateways that all start at one moment, against one list service that does one call at a time.

    python -m benchmarks.list_start [--gateways 200] [--whole-ms 25] [--silence 60] [--program FOLDER] [--out FILE]
    python -m benchmarks.list_start --plot PICTURE BEFORE AFTER     of two files that --out wrote

``--program`` names a checkout of another version, for before and after; ``--silence`` has the service say nothing for
so many seconds from the start on. Each gateway asks at a port of its own, so that it is known who asked; all ports
lead to the same worker. A third of the hosts that the gateways know is gone by now. The figures are taken at the
service, not believed of any gateway.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import h11

from testbed.model.list_service import Costs, Desk, Said
from testbed.model.registry import Line
from testbed.model.scenario import Scenario, settings_of
from testbed.net.relay import LOCAL
from testbed.runner.processes import GatewayProcess, run_line

SEQ, OLD = 80, 41


class Clerk(asyncio.Protocol):
    """One connection of one gateway."""

    def __init__(self, service: Service, gateway: int) -> None:
        self.service, self.gateway, self.http = service, gateway, h11.Connection(h11.SERVER)
        self.target, self.watch = "", None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.service.connections += 1

    def data_received(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self.target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    query = parse_qs(urlsplit(self.target).query)
                    index = int(query["index"][0]) if "index" in query else None
                    wait = int(query.get("wait", ["0"])[0]) / 1000 if index == SEQ else 0.0
                    if wait:  # nothing changes: a watch costs work only when it is answered
                        self.watch = self.service.loop.call_later(
                            wait, self.service.asks, self, index, True
                        )
                    else:
                        self.service.asks(self, index, False)
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except h11.ProtocolError:
            self.transport.abort()

    def reply(self, said: Said, body: bytes) -> None:
        if self.transport.is_closing() or self.http.our_state is not h11.SEND_RESPONSE:
            return
        status = 503 if said is Said.REFUSED else 200
        head = h11.Response(status_code=status, headers=[("content-length", str(len(body)))])
        data = (
            self.http.send(head)
            + self.http.send(h11.Data(data=body))
            + self.http.send(h11.EndOfMessage())
        )
        self.transport.write(data)
        self.http.start_next_cycle()

    def connection_lost(self, error: Exception | None) -> None:
        if self.watch:
            self.watch.cancel()


class Service:
    """All ports, one desk."""

    def __init__(self, costs: Costs, lines: list[Line], gone: list[Line]) -> None:
        self.loop, self.desk = asyncio.get_running_loop(), Desk(costs)
        self.began = time.monotonic()
        self.whole = self._body(True, lines)
        self.changes = self._body(False, [*lines[-len(gone) :], *gone])
        self.empty = json.dumps({"seq": SEQ, "whole": False, "hosts": []}).encode()
        self.connections = 0
        self.current: dict[int, float] = {}
        self.calls: list[tuple[float, int, bool]] = []  # at, by whom, the end of a watch
        self.refused: list[float] = []
        self.timer: asyncio.TimerHandle | None = None

    @staticmethod
    def _body(whole: bool, lines: list[Line]) -> bytes:
        shown = [line.shown("127.0.0.1:9") for line in lines]
        return json.dumps({"seq": SEQ, "whole": whole, "hosts": shown}).encode()

    def now(self) -> float:
        return time.monotonic() - self.began

    def asks(self, clerk: Clerk, index: int | None, watch: bool) -> None:
        self.calls.append((self.now(), clerk.gateway, watch))
        self.desk.arrive(self.now(), index is None, (clerk, index))
        self.look()

    def look(self) -> None:
        now = self.now()
        for (clerk, index), said in self.desk.advance(now):
            if said is Said.REFUSED:
                self.refused.append(now)
                clerk.reply(said, b"")
                continue
            if not clerk.transport.is_closing():
                self.current.setdefault(clerk.gateway, now)
            clerk.reply(
                said,
                self.whole if said is Said.WHOLE else self.empty if index == SEQ else self.changes,
            )
        if self.timer:
            self.timer.cancel()
        if (due := self.desk.due()) is not None:
            self.timer = self.loop.call_later(max(0.0, due - self.now()), self.look)


async def start(gateways: int, costs: Costs, silence: float, program: Path, within: float) -> dict:
    """One start of all; figures by name, times in seconds since the first process was begun."""
    lines = [Line(f"s-{n:04x}", "hall-a", n // 4) for n in range(80)]
    known, gone = (
        lines[:60],
        [Line(line.host, line.zone, line.block, "DELETED") for line in lines[:20]],
    )
    service = Service(costs, lines[20:], gone)
    loop = service.loop
    scenario = Scenario(name="start", gateways=gateways)
    run = run_line()
    pongs: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        nodes, servers = [], []
        for number in range(gateways):
            server = await loop.create_server(
                lambda number=number: Clerk(service, number), LOCAL, 0, backlog=16
            )
            servers.append(server)
            node = GatewayProcess(number, Path(folder), lambda: 0, Quiet(), run)
            nodes.append((node, "{}:{}".format(*server.sockets[0].getsockname()[:2])))
        peers = ["{}:{}".format(*node.peer_listen) for node, _ in nodes]
        for (node, discovery), peer in zip(nodes, peers, strict=True):
            known_list = {
                "seq": OLD,
                "whole": True,
                "hosts": [line.shown("127.0.0.1:9") for line in known],
            }
            node.write(
                {
                    "name": f"n{node.number}",
                    "listen": "{}:{}".format(*node.listen),
                    "discovery": discovery,
                    "seed": "1f",
                }
                | {
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                    "peer_listen": peer,
                    "peers": peers,
                }
                | {"known": known_list, "settings": settings_of(scenario, node.number)}
            )
        service.began = time.monotonic()
        if silence:
            service.desk.switch(0.0, down=True)
            loop.call_later(silence, lambda: (service.desk.switch(service.now()), service.look()))
        processes = []

        async def begin(node: GatewayProcess, discovery: str) -> None:
            variables = {"LB_NAME": f"n{node.number}", "LB_LISTEN": "{}:{}".format(*node.listen)}
            variables |= {"LB_DISCOVERY": discovery, "LB_CONFIG": str(node.path), "TMPDIR": folder}
            began = service.now()
            with (Path(folder) / f"n{node.number}.log").open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    "/bin/sh", "-c", run, cwd=program, env=dict(os.environ) | variables, stdout=log, stderr=log
                )  # fmt: skip
            processes.append(process)
            while not await node._pongs():
                if process.returncode is not None:
                    raise RuntimeError(f"a gateway has ended: {node.tail()}")
                await asyncio.sleep(0.1)
            pongs.append(service.now() - began)

        try:
            await asyncio.gather(*(begin(*node) for node in nodes))
            ready = service.now()
            async with asyncio.timeout(within):
                while len(service.current) < gateways:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pass
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
            for server in servers:
                server.close()
    times = sorted(at - silence for at in service.current.values())
    asked = sorted(at for at, _, watch in service.calls if not watch)
    first = next((at for at in asked if at >= silence), silence) - silence
    seconds = [sum(at <= c < at + 1 for c in asked) for at in asked]
    return {
        "gateways": gateways, "current": len(times), "all have answered PING after": ready,
        "PING answered (median, of its own start)": sorted(pongs)[len(pongs) // 2],
        "first call at": first, "half current at": times[len(times) // 2 - 1] if times else 0.0,
        "nine in ten at": times[int(0.9 * len(times)) - 1] if times else 0.0, "all at": times[-1] if times else 0.0,
        "calls": len(asked), "turned away": len(service.refused),
        "calls in the busiest second": max(seconds, default=0),
        "work of the service": service.desk.worked, "of it whole lists": service.desk.counts[Said.WHOLE] * costs.whole,
        "times": [round(at, 3) for at in times], "came": [round(at - silence, 3) for at in asked],
    }  # fmt: skip


def plot(picture: Path, files: list[Path]) -> None:
    """Gateways that are current, and calls in each second, of a run before and one after a change."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=(8, 6), layout="constrained"
    )
    for name, colour, file in zip(("before", "now"), ("tab:red", "tab:blue"), files, strict=True):
        found = json.loads(file.read_text())
        times, came = found["times"], found["came"]
        upper.step([0.0, *times], range(len(times) + 1), where="post", color=colour, label=name)
        seconds = range(int(max(came)) + 2)
        calls = [sum(s <= at < s + 1 for at in came) for s in seconds]
        lower.step(seconds, calls, where="post", color=colour, label=f"{name}: {len(came)} calls")
    upper.set_ylabel("gateways that are current")
    upper.set_title("200 gateways started at one moment, one list service, 25 ms a whole list")
    lower.set_ylabel("calls in a second")
    lower.set_xlabel("seconds since the first process was begun")
    for axes in (upper, lower):
        axes.set_ylim(bottom=0)
        axes.grid(alpha=0.3)
        axes.legend()
    figure.savefig(picture, dpi=110)


class Quiet:
    """No record is kept here."""

    def add(self, event: object) -> None:
        """Nothing."""


def main() -> None:
    """Play one start and print its figures."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--whole-ms", type=float, default=25.0)
    parser.add_argument("--silence", type=float, default=0.0)
    parser.add_argument("--within", type=float, default=60.0, help="seconds after all are ready")
    parser.add_argument("--program", type=Path, default=Path.cwd())
    parser.add_argument("--out", type=Path)
    parser.add_argument("--plot", type=Path, nargs=3, metavar=("PICTURE", "BEFORE", "AFTER"))
    chosen = parser.parse_args()
    if chosen.plot:
        plot(chosen.plot[0], chosen.plot[1:])
        return
    whole = chosen.whole_ms / 1000
    costs = Costs(whole, whole / 5, whole / 10)
    found = asyncio.run(
        start(chosen.gateways, costs, chosen.silence, chosen.program, chosen.within)
    )
    if chosen.out:
        chosen.out.write_text(json.dumps(found))
    for name, value in found.items():
        if not isinstance(value, list):
            print(f"{name:42} {value:.2f}" if isinstance(value, float) else f"{name:42} {value}")


if __name__ == "__main__":
    sys.exit(main())
