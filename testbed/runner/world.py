"""Runs a scenario: real gateways among simulated clients, hosts and services, with the scenario's faults."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import random
import secrets
import signal
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from ..checker.record import Began, Finished, Late, Log, Told
from ..checker.record import Fault as FaultRecord
from ..model import arrivals as drawn
from ..model.clock import Clock, Heartbeat
from ..model.registry import Agent, Change, Line, Registry
from ..model.scenario import Fault, Scenario, operator_text, settings_of
from ..net.clients import ClientSide
from ..net.discovery import AgentServer
from ..net.endpoints import Fleet, StandinHost
from ..net.relay import TcpFault, UdpRelay, Way, text_of
from .processes import GatewayProcess, run_line, watch

REFUSE = TcpFault("refuse")
DEAD_HOST_DETECTION_S = 1.0  # until the registry marks a host that died; delivery adds to it
TERM_NOTICE_S = 0.3  # from SIGTERM until clients open no new connections to the gateway
HELD_CHANGES_SPREAD_S = 2.0  # over which changes held back by a discovery silence are delivered
SETTLE_S = 0.3  # from all gateways ready to the start of the scenario

Progress = Callable[["World"], None]


class World:
    """All parts of one run. ``run`` returns the log; ``close`` ends all that was started, also after a failed ``run``."""

    def __init__(
        self, scenario: Scenario, folder: Path, run: str | None = None, operator: str = ""
    ) -> None:
        self.operator = operator  # text of the operator file of all gateways; empty for none
        self.scenario, self.folder = scenario, folder
        self.loop = asyncio.get_running_loop()
        self.clock, self.log = Clock(), Log()
        self.run_line = run or run_line()
        self.random = random.Random(f"{scenario.seed}:world")
        self.fleet = Fleet(scenario, self.clock, self.log, REFUSE)
        self.registry = Registry()
        self.agents: list[Agent] = []
        self.servers: list[AgentServer] = []
        self.held: list[list[Change]] = []  # by gateway: changes held back by a discovery silence
        self.last_delivery_s: list[float] = []
        self.gateways: list[GatewayProcess] = []
        self.locks: list[
            asyncio.Lock
        ] = []  # one per gateway, so that faults that restart it don't overlap
        self.udp: UdpRelay | None = None
        self.clients: ClientSide | None = None
        self.initial_hosts: list[StandinHost] = []
        self.authorisers: list[Any] = []
        self.tasks: list[asyncio.Task] = []
        self.begin = 0
        self.initial_host_lists: list[dict[str, Any]] = []
        self.arrivals = drawn.draw(scenario)

    # -- the start ------------------------------------------------------------------------------------------

    async def open(self) -> None:
        """Start all parts and wait until every gateway is ready."""
        s = self.scenario
        for place in range(s.hosts.count):
            self.initial_hosts.append(await self.fleet.add(place // s.hosts.rack_size, cold=False))
        changes = [self.registry.put(self._registry_line(host)) for host in self.initial_hosts]
        for number in range(s.gateways):
            agent = Agent()
            for change in changes:
                agent.receive(change)
            self.agents.append(agent)
            self.held.append([])
            self.last_delivery_s.append(0.0)
            server = AgentServer(
                agent,
                lambda line, number=number: self._address_for(line.host, number),
                lambda seq, whole, lines, number=number: self._record_update(
                    number, seq, whole, lines
                ),
            )
            await server.listen()
            self.servers.append(server)
            self.gateways.append(
                GatewayProcess(number, self.folder, self.clock, self.log, self.run_line)
            )
            self.locks.append(asyncio.Lock())
        if s.authoriser.count:
            await self._start_authorisers()
        if self.operator:
            path = self.folder / "operator.toml"
            path.write_text(self.operator)
            for gateway in self.gateways:
                gateway.variables["SAFFRONGW_OPERATOR"] = str(path)
        way = Way((s.network.peer_ms[0] / 1000, s.network.peer_ms[1] / 1000), s.network.peer_loss)
        self.udp = UdpRelay([g.peer_listen for g in self.gateways], f"{s.seed}:udp", way)
        await self.udp.open()
        self.clients = ClientSide(s, self.clock, self.log, [g.listen for g in self.gateways])
        self.initial_host_lists = [self._known_hosts(g.number) for g in self.gateways]
        await asyncio.gather(*(self._start_gateway(g) for g in self.gateways))

    async def _start_authorisers(self) -> None:
        from ..ext_authz_server.server import Authoriser, Behaviour, allow, deny

        a = self.scenario.authoriser

        def decide(request):
            customer = int(request.attributes.context_extensions["customer"], 16)
            denied = drawn.denied(self.scenario, customer)
            return deny(cache_ms=a.cache_ms) if denied else allow(cache_ms=a.cache_ms)

        self.plain = Behaviour({"delay": 1.0}, (a.delay_ms[0] / 1000, a.delay_ms[1] / 1000))
        for number in range(a.count):
            seed = f"{self.scenario.seed}:authoriser:{number}"
            self.authorisers.append(await Authoriser(decide, seed, self.plain).start())
        self.operator += operator_text(
            self.scenario, [authoriser.address for authoriser in self.authorisers]
        )

    def _registry_line(self, host: StandinHost) -> Line:
        return Line(host.name, host.zone, host.rack_number, "SERVING", host.born_ms)

    def _address_for(self, host: str, gateway: int) -> str:
        return self.fleet.hosts[host].dial(gateway)

    def _record_update(self, gateway: int, seq: int, whole: bool, lines: Sequence[Line]) -> None:
        hosts = tuple((line.host, line.health, line.born_ms) for line in lines)
        if whole or hosts:
            self.log.add(Told(self.clock(), gateway, seq, whole, hosts))

    def _known_hosts(self, number: int) -> dict[str, Any]:
        """The host list that a gateway's agent has now, as a discovery message with the current addresses."""
        agent = self.agents[number]
        seq = max([0, *(change.seq for change in agent.log)])
        hosts = [line.shown(self._address_for(line.host, number)) for line in agent.lines.values()]
        return {"seq": seq, "whole": True, "hosts": hosts}

    async def _start_gateway(
        self, gateway: GatewayProcess, known: dict[str, Any] | None = None
    ) -> None:
        number, udp = gateway.number, self.udp
        known = known or self._known_hosts(number)
        peers = [udp.address(number, other) for other in range(self.scenario.gateways)]
        gateway.write(
            {
                "name": f"n{number}",
                "listen": text_of(gateway.listen),
                "discovery": text_of(self.servers[number].address),
                "seed": secrets.token_hex(8),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.scenario.sockets},
                "peer_listen": text_of(gateway.peer_listen),
                "peers": [text_of(peer) for peer in peers],
                "peers_all": text_of(udp.address(number, None)),
                "known": known,
                "settings": settings_of(self.scenario, number),
            }
        )
        hosts = tuple((line["host"], line["health"], line["born_ms"]) for line in known["hosts"])
        await gateway.start(
            lambda: self.log.add(Told(self.clock(), number, known["seq"], True, hosts))
        )
        self.clients.down.discard(number)

    # -- the run --------------------------------------------------------------------------------------------

    async def run(self, progress: Progress | None = None) -> Log:
        """Run the scenario: send its requests, inject its faults, and wait for the requests still in flight."""
        await self.open()
        heartbeat = Heartbeat(self.clock, lambda at, until: self.log.add(Late(at, until)))
        gc.collect()
        gc.freeze()
        gc.disable()  # a collection would pause the testbed and falsify its timestamps
        try:
            self.begin = self.clock() + int(SETTLE_S * 1e6)
            self.log.add(Began(self.begin))
            arrive = self.loop.create_task(self._arrive())
            self.tasks += [
                arrive,
                *map(self.loop.create_task, (heartbeat.run(), watch(self.gateways))),
            ]
            faults = [
                self.loop.create_task(self._fault(n, f)) for n, f in enumerate(self.scenario.fault)
            ]
            self.tasks += faults
            if progress:
                self.tasks.append(self.loop.create_task(self._progress(progress)))
            await self._sleep_until(self.begin + int(self.scenario.length_s * 1e6))
            await arrive  # the last arrival may be due right at the end
            await self.clients.finish(max(c.deadline_ms for c in self.scenario.cls) / 1000 + 2)
            for fault in faults:
                if fault.done() and fault.exception():
                    raise fault.exception()
            self.log.add(Finished(self.clock()))
        finally:
            gc.enable()
            gc.unfreeze()
        return self.log

    async def _sleep_until(self, at: int) -> None:
        await asyncio.sleep(max(0, at - self.clock()) / 1e6)

    async def _progress(self, progress: Progress) -> None:
        while True:
            progress(self)
            await asyncio.sleep(0.5)

    async def _arrive(self) -> None:
        for arrival in self.arrivals:
            moved = dataclasses.replace(arrival, at=arrival.at + self.begin)
            if moved.at > self.clock():
                await self._sleep_until(moved.at)
            self.clients.start(moved)

    async def close(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        if self.clients:
            self.clients.close()
        await asyncio.gather(*(g.terminate() for g in self.gateways), return_exceptions=True)
        if self.udp:
            self.udp.close()
        for server in self.servers:
            server.close()
        for authoriser in self.authorisers:
            authoriser.stop()
        self.fleet.close()
        await asyncio.sleep(0)

    # -- discovery ------------------------------------------------------------------------------------------

    def publish(self, change: Change, delay: float = 0.0) -> None:
        """Deliver a change of the registry to every agent after a random delay, in order."""
        for number in range(self.scenario.gateways):
            delay_s = delay + self.random.uniform(*self.scenario.network.list_late_s)
            at = max(self.loop.time() + delay_s, self.last_delivery_s[number])
            self.last_delivery_s[number] = at + 1e-6
            self.loop.call_at(at, self._deliver, number, change)

    def _publish_health(self, host: StandinHost, health: str, delay: float = 0.0) -> None:
        """Publish a host's health, unless another fault has already removed the host from the registry."""
        if host.name in self.registry.lines:
            self.publish(self.registry.health(host.name, health), delay)

    def _deliver(self, number: int, change: Change) -> None:
        if self.servers[number].silent:
            self.held[number].append(change)
        else:
            self.agents[number].receive(change)
            self.servers[number].changed()

    # -- faults ---------------------------------------------------------------------------------------------

    async def _fault(self, number: int, fault: Fault) -> None:
        await self._sleep_until(self.begin + int(fault.at * 1e6))
        until = self.clock() + int(fault.for_s * 1e6) if fault.for_s else 0
        detail = []
        if fault.gateways or fault.kind in ("kill", "restart", "stop", "reload"):
            detail.append(
                "gateways " + " ".join(f"n{g.number}" for g in self._gateways(number, fault))
            )
        if fault.kind.startswith("host_") or fault.kind == "links":
            detail.append(f"{len(self._hosts(number, fault))} hosts")
        if fault.kind == "links":
            detail.append(fault.mode)
        self.log.add(FaultRecord(self.clock(), fault.kind, until, ", ".join(detail)))
        handler: Callable[[int, Fault], Awaitable[None]] | None = getattr(
            self, f"_{fault.kind}", None
        )
        if handler:  # bursts and shifts have none: they are part of the drawn arrivals
            await handler(number, fault)

    def _gateways(self, number: int, fault: Fault) -> list[GatewayProcess]:
        if fault.gateways:
            return [self.gateways[g] for g in fault.gateways]
        rng = random.Random(f"{self.scenario.seed}:fault:{number}")
        count = max(1, round((fault.share or 1.0) * len(self.gateways)))
        return sorted(rng.sample(self.gateways, count), key=lambda g: g.number)

    def _hosts(self, number: int, fault: Fault) -> list[StandinHost]:
        living = [host for host in self.fleet.hosts.values() if host.up]
        if fault.hosts:
            return [self.initial_hosts[place] for place in fault.hosts]
        if fault.rack >= 0:
            return [host for host in living if host.rack_number == fault.rack]
        if not fault.share or fault.kind == "host_spoils":
            return living
        rng = random.Random(f"{self.scenario.seed}:fault:{number}")
        return rng.sample(living, max(1, round(fault.share * len(living))))

    async def _stop_new_connections(self, gateway: GatewayProcess, after: float) -> None:
        await asyncio.sleep(after)
        if not gateway.ready:
            self.clients.down.add(gateway.number)

    async def _kill(self, number: int, fault: Fault) -> None:
        async def kill_and_restart(gateway: GatewayProcess) -> None:
            async with self.locks[gateway.number]:
                await gateway.kill()
                notice = self.loop.create_task(
                    self._stop_new_connections(
                        gateway, self.random.uniform(*self.scenario.clients.notice_s)
                    )
                )
                self.tasks.append(notice)
                await asyncio.sleep(fault.for_s)
                known = self.initial_host_lists[gateway.number] if fault.stale else None
                await self._start_gateway(gateway, known)

        await asyncio.gather(
            *(kill_and_restart(gateway) for gateway in self._gateways(number, fault))
        )

    async def _restart(self, number: int, fault: Fault) -> None:
        for gateway in self._gateways(number, fault):
            async with self.locks[gateway.number]:
                notice = self.loop.call_later(TERM_NOTICE_S, self.clients.down.add, gateway.number)
                await gateway.terminate()
                self.clients.down.add(gateway.number)
                notice.cancel()
                await asyncio.sleep(fault.for_s)
                await self._start_gateway(gateway)
            await asyncio.sleep(fault.gap_s)

    async def _stop(self, number: int, fault: Fault) -> None:
        chosen = self._gateways(number, fault)
        for gateway in chosen:
            gateway.signal(signal.SIGSTOP, "stop")
        await asyncio.sleep(fault.for_s)
        for gateway in chosen:
            gateway.signal(signal.SIGCONT, "cont")

    async def _reload(self, number: int, fault: Fault) -> None:
        for _ in range(fault.count):
            for gateway in self._gateways(number, fault):
                if gateway.ready:
                    server = self.servers[gateway.number]
                    await server.listen()
                    gateway.write(gateway.config | {"discovery": text_of(server.address)})
                    gateway.signal(signal.SIGHUP, "hup")
            await asyncio.sleep(fault.gap_s)

    async def _partition(self, number: int, fault: Fault) -> None:
        everyone = range(self.scenario.gateways)
        a = fault.a or (0,)
        b = fault.b or tuple(g for g in everyone if g not in a)
        ways = [(x, y) for x in a for y in b] + (
            [] if fault.one_way else [(y, x) for x in a for y in b]
        )
        for way in ways:
            self.udp.ways[way].cut = True
        await asyncio.sleep(fault.for_s)
        for way in ways:
            self.udp.ways[way].cut = False

    async def _peer_noise(self, number: int, fault: Fault) -> None:
        old = dict(self.udp.ways)
        for way, plain in old.items():
            self.udp.ways[way] = dataclasses.replace(
                plain, loss=fault.share or 0.2, double=0.1, reorder=0.2
            )
        await asyncio.sleep(fault.for_s)
        self.udp.ways.update(old)

    async def _discovery_silent(self, number: int, fault: Fault) -> None:
        chosen = [g.number for g in self._gateways(number, fault)]
        for gateway in chosen:
            self.servers[gateway].silence(True)
        await asyncio.sleep(fault.for_s)
        for gateway in chosen:
            held, self.held[gateway] = self.held[gateway], []
            if fault.shuffle:
                self.random.shuffle(held)
            for change in held:  # each after its own random delay
                wait = self.random.uniform(0, HELD_CHANGES_SPREAD_S)
                self.loop.call_later(wait, self._deliver, gateway, change)
            self.servers[gateway].silence(False)
        await asyncio.sleep(HELD_CHANGES_SPREAD_S)

    async def _list_shrinks(self, number: int, fault: Fault) -> None:
        names = sorted(self.registry.lines)
        rng = random.Random(f"{self.scenario.seed}:fault:{number}")
        hidden = frozenset(rng.sample(names, max(1, round((fault.share or 0.5) * len(names)))))
        for hide in (hidden, frozenset()):
            for agent, server in zip(self.agents, self.servers, strict=True):
                agent.hidden, agent.shrunk = hide, True
                server.changed()
            if hide:
                await asyncio.sleep(fault.for_s)

    async def _host_dies(self, number: int, fault: Fault) -> None:
        hosts = self._hosts(number, fault)
        for host in hosts:
            host.stop()
            self._publish_health(host, "DELETED", DEAD_HOST_DETECTION_S)
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            for host in hosts:
                await host.start(cold=True)
                self.publish(self.registry.put(self._registry_line(host)))

    async def _host_freezes(self, number: int, fault: Fault) -> None:
        hosts = self._hosts(number, fault)
        for host in hosts:
            host.freeze()
        await asyncio.sleep(fault.for_s)
        for host in hosts:
            host.thaw()

    async def _host_silent(self, number: int, fault: Fault) -> None:
        await self._set_link_fault(number, fault, TcpFault("silent"))

    async def _links(self, number: int, fault: Fault) -> None:
        await self._set_link_fault(number, fault, TcpFault(fault.mode, chance=fault.share or 1.0))

    async def _set_link_fault(self, number: int, fault: Fault, tcp_fault: TcpFault) -> None:
        # For ``links``, the share is that of affected connections; all chosen hosts are affected.
        hosts = self._hosts(
            number, dataclasses.replace(fault, share=0.0) if fault.kind == "links" else fault
        )
        for host in hosts:
            for relay in host.relays:
                relay.set(tcp_fault)
        await asyncio.sleep(fault.for_s)
        for host in hosts:
            for relay in host.relays:
                relay.set(None if host.up else REFUSE)

    async def _host_spoils(self, number: int, fault: Fault) -> None:
        hosts = self._hosts(number, fault)
        for host in hosts:
            host.spoil = fault.share or 0.1
        await asyncio.sleep(fault.for_s)
        for host in hosts:
            host.spoil = 0.0

    async def _host_moves(self, number: int, fault: Fault) -> None:
        for host in self._hosts(number, fault):
            host.stop()
            host.new_address()
            await host.start(cold=True)
            self.publish(self.registry.put(self._registry_line(host)))

    async def _authoriser_faults(self, number: int, fault: Fault) -> None:
        from ..ext_authz_server.server import MODES, Behaviour

        faults = [mode for mode in MODES if mode not in ("answer", "delay")]
        chances = {mode: (fault.share or 0.3) / len(faults) for mode in faults} | {"delay": 1.0}
        for authoriser in self.authorisers:
            authoriser.behaviour = Behaviour(chances, self.plain.delay)
        await asyncio.sleep(fault.for_s)
        for authoriser in self.authorisers:
            authoriser.behaviour = self.plain

    async def _authoriser_hangs(self, number: int, fault: Fault) -> None:
        from ..ext_authz_server.server import Behaviour

        for authoriser in self.authorisers:
            authoriser.behaviour = Behaviour({"silent": 1.0})
        await asyncio.sleep(fault.for_s)
        for authoriser in self.authorisers:
            authoriser.behaviour = self.plain

    async def _authoriser_restarts(self, number: int, fault: Fault) -> None:
        for _ in range(fault.count):
            for authoriser in self.authorisers:
                await authoriser.restart(fault.for_s)
            await asyncio.sleep(fault.gap_s)

    async def _deploy(self, number: int, fault: Fault) -> None:
        listed = [self.fleet.hosts[name] for name in self.registry.lines]
        hosts = [
            host for host in listed if host.up and not host.draining
        ]  # hosts that another deploy is replacing are left out
        hosts = hosts[: max(1, round((fault.share or 1.0) * len(hosts)))]
        size = max(1, round(fault.batch * len(hosts)))
        batches = [hosts[i : i + size] for i in range(0, len(hosts), size)]
        step = fault.for_s / len(batches)

        async def replace_one(host: StandinHost) -> None:
            host.draining = True
            self._publish_health(host, "DRAINING")
            await asyncio.sleep(fault.drain_s)
            host.stop()
            self._publish_health(host, "DELETED")
            new = await self.fleet.add(host.rack_number, cold=True)
            self.publish(self.registry.put(self._registry_line(new)))

        tasks = []
        for batch in batches:
            tasks += [self.loop.create_task(replace_one(host)) for host in batch]
            await asyncio.sleep(step)
        await asyncio.gather(*tasks)


async def play(
    scenario: Scenario, folder: Path, run: str | None = None, progress: Progress | None = None
) -> tuple[Log, World]:
    """Run a scenario once and end everything that it started, also after a failure."""
    folder.mkdir(parents=True, exist_ok=True)
    world = World(scenario, folder, run)
    try:
        log = await world.run(progress)
    finally:
        await world.close()
    return log, world
