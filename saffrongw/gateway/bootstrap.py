"""One gateway as a process: its parts put together, its signals, its log, its end."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import uvloop

from ..policy.settings_schema import SettingsError
from . import signals
from .admin_http.handlers import AdminHandlers
from .admin_http.server import AdminServer
from .config import Config, parse_address, parse_config
from .discovery.client import DiscoveryClient
from .discovery.poll_schedule import PollSchedule
from .downstream.connection import ClientConnections
from .driver import Driver
from .extensions import Extensions
from .gossip_transport import GossipTransport
from .hot_restart.successor import PredecessorHandOver, SuccessorHandOver, either
from .metrics import Metrics
from .upstream.cluster import UpstreamCluster

log = logging.getLogger(__name__)

ACCEPT_FOR = 0.5  # seconds after SIGTERM in which new connections are still served
SPARE = 48  # descriptors for all but clients and hosts: the loop, the watch, peers, logs
CLIENT_PART = 0.5  # of the descriptors that are left
LOG_SPAN, LOG_MOST = 10.0, 50  # seconds / lines logged in that time
UNUSABLE = (
    OSError,
    LookupError,
    ValueError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    SettingsError,
)


class RateLimitedLogFilter(logging.Filter):
    """Guards against a log that grows with what goes wrong: so many lines in a span, the rest are counted."""

    def __init__(self) -> None:
        super().__init__()
        self.began, self.lines = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether this line is written."""
        if record.created - self.began > LOG_SPAN:
            if self.lines > LOG_MOST:
                record.msg = f"({self.lines - LOG_MOST} lines left out before) {record.msg}"
            self.began, self.lines = record.created, 0
        self.lines += 1
        return self.lines <= LOG_MOST


def read(path: Path) -> Config:
    """The configuration's file; LB_ADMIN names the operators' address where the file doesn't."""
    config = parse_config(path.read_text())
    told = os.environ.get("LB_ADMIN")
    return replace(config, admin=parse_address(told)) if told and config.admin is None else config


def reload(path: Path, config: Config, watch: DiscoveryClient, figures: Metrics) -> Config:
    """SIGHUP: read the file again. A wrong one is logged and the old one stays; only the watch can move."""
    try:
        new = read(path)
    except UNUSABLE as wrong:
        log.warning("reload: no usable configuration, the old one stays: %.200r", wrong)
        figures.reloads_failed += 1
        return config
    figures.reloads += 1
    if replace(new, discovery=config.discovery, known=config.known, seed=config.seed) != config:
        log.warning("reload: only another address of discovery takes effect before a restart")
    watch.move(new.discovery)
    return replace(config, discovery=new.discovery)


async def serve(config: Config, path: Path, plugs: Extensions | None = None) -> None:
    """Run until SIGTERM or SIGINT; without plugs no stage or observer is looked for at all."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    sockets = max(SPARE, config.sockets - SPARE)
    client_sockets = int(CLIENT_PART * sockets)
    if plugs:
        from .filter_chain import (
            FilteringDriver,  # only here: a gateway without plugs does not even load it
        )

        driver: Driver = FilteringDriver(config.settings, config.seed, loop, plugs)
    else:
        driver = Driver(config.settings, config.seed, loop)
    driver.hosts = UpstreamCluster(
        driver,
        config.settings.load_report_fields,
        sockets - client_sockets,
        config.idle_close_s,
        config.connect_timeout_s,
    )
    hosts = driver.hosts
    inheritance = await SuccessorHandOver.of(loop, config.listen)
    driver.succeeds = inheritance is not None
    driver.start((inheritance and inheritance.listed) or config.known)
    for service in plugs.services if plugs else ():
        await service.start(driver)
    asking = PollSchedule(
        config.settings.node_count,
        random.Random(config.seed),
        config.known.version if config.known.endpoints else None,
        config.settings.notification_deadline_us / 1e6,
        has_clients=lambda: driver.last_number > 0,
        pushed=not config.settings.polls_endpoint_list,
        drain_grace_s=config.settings.drain_grace_us / 1e6,
    )
    watch = DiscoveryClient(loop, config.discovery, config.zones, driver.listed, asking)
    watch.start()

    def hang_up() -> None:
        nonlocal config
        config = reload(path, config, watch, driver.figures)
        if plugs and plugs.again:
            plugs.again()

    loop.add_signal_handler(signal.SIGHUP, hang_up)
    signal.pthread_sigmask(
        signal.SIG_UNBLOCK, {signal.SIGHUP}
    )  # one that came since the start is carried out now
    clients = ClientConnections(driver, config, client_sockets)
    operations = AdminHandlers(driver, clients, config)
    if plugs:
        operations.more, operations.calls, operations.on_drain = (
            plugs.figures,
            plugs.calls,
            plugs.on_drain,
        )
    calls = AdminServer(loop, operations)
    if config.admin:
        calls.listen(config.admin)
    if inheritance:
        inheritance.attach(driver, hosts, clients, operations)
        operations.serving = True  # the running process does, until it hands over
        await either(inheritance.go.wait(), stop.wait())
    if inheritance.falls_to_us if inheritance else not stop.is_set():
        peers = None
        if config.peer_listen and config.settings.may_send_gossip:
            peers = GossipTransport(driver, config.peers, config.settings.node_index)
            await peers.listen(inheritance and inheritance.peers, config.peer_listen)
        await clients.listen(inheritance and inheritance.listener)
        if plugs:
            await clients.open_fronts(plugs.fronts)
        operations.serving = True
        if inheritance:
            inheritance.serve()
        estate = PredecessorHandOver(driver, hosts, clients, operations, peers, ACCEPT_FOR)
        estate.listen()
        gc.collect()
        gc.freeze()  # what is loaded by now stays: it need not be looked through again
        await stop.wait()
        operations.drains(True)
        if estate.has_heir:
            await estate.hand_over()
        else:
            await clients.drain(ACCEPT_FOR)
        estate.close()
    elif inheritance:
        inheritance.close()  # told to end before it came to serve, or replaced: the running process goes on
    calls.close()
    for service in plugs.services if plugs else ():
        await service.stop()


def start_log() -> None:
    """Warnings and worse on standard error, so many lines a span."""
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(RateLimitedLogFilter())


def run(path: str | None = None, plug: Callable[[Config], Extensions] | None = None) -> int:
    """Read the configuration and serve; one plain line and 1 where it is wrong. Without a path LB_CONFIG names it."""
    start_log()
    signals.block_sighup()
    try:
        file = Path(path if path is not None else os.environ["LB_CONFIG"])
        config = read(file)
    except UNUSABLE as wrong:
        print(f"saffrongw: no usable configuration: {wrong!r}", file=sys.stderr)
        return 1
    try:
        uvloop.run(serve(config, file, plug(config) if plug else None))
    except OSError as wrong:
        print(f"saffrongw: can't serve: {wrong}", file=sys.stderr)
        return 1
    return 0
