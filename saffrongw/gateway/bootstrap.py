"""The gateway process: builds its parts, serves until a signal, and shuts down in order."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import uvloop

from . import memory_usage, signals
from .admin_http.handlers import AdminHandlers
from .admin_http.server import AdminServer
from .config import Config
from .config_file import ConfigFileError, ConfigReloader, read_effective_config
from .discovery.client import DiscoveryClient
from .discovery.poll_schedule import PollSchedule
from .downstream.listener import ClientConnections
from .driver import Driver
from .extensions import Extensions
from .gossip_transport import GossipTransport
from .hot_restart.parts import GatewayParts
from .hot_restart.predecessor import PredecessorHandOver
from .hot_restart.successor import SuccessorHandOver
from .logging_setup import configure_logging
from .memory_usage import BufferedBytes, MemoryWatch
from .request_log import RequestLog
from .upstream.cluster import UpstreamCluster

# How long new connections are still accepted after SIGTERM.
ACCEPT_PERIOD_S = 0.5
# File descriptors not used for clients or endpoints: the event loop, discovery, gossip, logs.
RESERVED_DESCRIPTORS = 48
# The clients' share of the other descriptors; the rest is for upstream connections.
CLIENT_DESCRIPTOR_SHARE = 0.5
US_PER_S = 1e6


class DescriptorBudget(NamedTuple):
    """How many file descriptors clients and upstream connections may use."""

    clients: int
    upstream: int

    @classmethod
    def of(cls, sockets: int) -> DescriptorBudget:
        """Divide the configuration's ``limits.sockets``."""
        available = max(RESERVED_DESCRIPTORS, sockets - RESERVED_DESCRIPTORS)
        clients = int(CLIENT_DESCRIPTOR_SHARE * available)
        return cls(clients, available - clients)


class Runtime(NamedTuple):
    """The configuration and the parts of a running gateway."""

    config: Config
    extensions: Extensions | None
    parts: GatewayParts
    # None if no other process was serving the address.
    successor: SuccessorHandOver | None
    # Set by SIGTERM and SIGINT.
    stop_requested: asyncio.Event


async def serve(config: Config, path: Path, extensions: Extensions | None = None) -> None:
    """Run until SIGTERM or SIGINT; raises ``OSError`` if an address can't be bound.

    The order matters: a process that already serves the address is asked for its sockets before
    anything is bound, and SIGHUP is handled only once there is something to reload.
    """
    loop = asyncio.get_running_loop()
    # Empty extensions get the plain driver, which has no overhead for them.
    extensions = extensions or None
    stop_requested = _stop_on_signals(loop)
    budget = DescriptorBudget.of(config.sockets)
    driver = _build_driver(config, loop, extensions)
    driver.request_log = RequestLog.from_environment(driver.clock)
    cluster = _build_cluster(config, driver, budget)
    successor = await SuccessorHandOver.connect(loop, config.listen)
    await _start_driver(config, driver, successor, extensions)
    discovery = _start_discovery(config, driver)
    reloader = ConfigReloader(path, config, discovery, driver.metrics)
    _reload_on_sighup(loop, reloader, extensions)
    clients = ClientConnections(driver, config, budget.clients)
    admin = _build_admin(config, driver, clients, extensions)
    admin_server = AdminServer(loop, admin)
    if config.admin:
        admin_server.listen(config.admin)
    parts = GatewayParts(driver, cluster, clients, admin)
    _watch_memory(config, parts)
    runtime = Runtime(config, extensions, parts, successor, stop_requested)
    if await _must_serve(runtime):
        await _serve_until_stopped(runtime)
    elif successor:
        # Stopped before the hand-over, or replaced by a newer successor: the running process
        # continues to serve.
        successor.close()
    admin_server.close()
    for service in extensions.services if extensions else ():
        await service.stop()


def _stop_on_signals(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    return stop_requested


def _build_driver(
    config: Config, loop: asyncio.AbstractEventLoop, extensions: Extensions | None
) -> Driver:
    if extensions is None:
        return Driver(config.settings, config.seed, loop)
    # Imported here: a gateway without extensions does not load it.
    from .filtering_driver import FilteringDriver

    return FilteringDriver(config.settings, config.seed, loop, extensions)


def _build_cluster(config: Config, driver: Driver, budget: DescriptorBudget) -> UpstreamCluster:
    cluster = UpstreamCluster(
        driver,
        config.settings.load_report_fields,
        budget.upstream,
        config.idle_close_s,
        config.connect_timeout_s,
    )
    driver.connect_upstream(cluster)
    return cluster


async def _start_driver(
    config: Config,
    driver: Driver,
    successor: SuccessorHandOver | None,
    extensions: Extensions | None,
) -> None:
    """Start the driver, with the predecessor's or the configured endpoint list, and services."""
    driver.is_successor = successor is not None
    driver.start((successor and successor.endpoint_list) or config.known)
    for service in extensions.services if extensions else ():
        await service.start(driver)


def _start_discovery(config: Config, driver: Driver) -> DiscoveryClient:
    settings = config.settings
    schedule = PollSchedule(
        settings.node_count,
        random.Random(config.seed),
        config.known.version if config.known.endpoints else None,
        settings.notification_deadline_us / US_PER_S,
        has_clients=lambda: driver.last_request_id > 0,
        pushed=not settings.polls_endpoint_list,
        drain_grace_s=settings.drain_grace_us / US_PER_S,
    )
    client = DiscoveryClient(
        driver.loop, config.discovery, config.zones, driver.endpoint_list_received, schedule
    )
    client.start()
    return client


def _reload_on_sighup(
    loop: asyncio.AbstractEventLoop, reloader: ConfigReloader, extensions: Extensions | None
) -> None:
    """Handle SIGHUP from now on; one that is pending since start-up is handled at once."""

    def reload_all() -> None:
        reloader.reload()
        if extensions and extensions.reload:
            extensions.reload()

    loop.add_signal_handler(signal.SIGHUP, reload_all)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def _build_admin(
    config: Config, driver: Driver, clients: ClientConnections, extensions: Extensions | None
) -> AdminHandlers:
    admin = AdminHandlers(driver, clients, config)
    if extensions:
        admin.extension_metrics = extensions.metrics
        admin.extension_commands = extensions.admin_commands
        admin.draining_listeners = extensions.on_drain
    return admin


def _watch_memory(config: Config, parts: GatewayParts) -> None:
    """Report memory in the metrics, and log when the process comes close to its limit."""
    driver, cluster, clients, admin = parts

    def buffered() -> BufferedBytes:
        return BufferedBytes(
            client_input=clients.held_input_bytes,
            requests=driver.held_request_bytes,
            replies=clients.held_reply_bytes,
            upstream=cluster.held_bytes,
        )

    admin.memory_rows = lambda: memory_usage.rows(buffered())
    MemoryWatch(driver.loop, config.memory_bytes, buffered).start()


async def _must_serve(runtime: Runtime) -> bool:
    """Wait for a running process to hand over, if any; return whether this process must serve."""
    successor = runtime.successor
    if successor is None:
        return not runtime.stop_requested.is_set()
    successor.attach(runtime.parts)
    # Reported as healthy already: the running process serves for both until it hands over.
    runtime.parts.admin.is_serving = True
    await successor.wait_for_take_over(runtime.stop_requested)
    return successor.must_serve


async def _serve_until_stopped(runtime: Runtime) -> None:
    """Listen, serve until a signal, then hand over to a successor or drain."""
    parts, successor = runtime.parts, runtime.successor
    gossip = await _listen(runtime)
    parts.admin.is_serving = True
    if successor:
        successor.serve()
    predecessor = PredecessorHandOver(parts, gossip, ACCEPT_PERIOD_S)
    predecessor.listen()
    # Objects that exist by now are long-lived: exclude them from garbage collection.
    gc.collect()
    gc.freeze()
    await runtime.stop_requested.wait()
    parts.admin.notify_draining(True)
    await predecessor.stop()
    predecessor.close()


async def _listen(runtime: Runtime) -> GossipTransport | None:
    """Open the gossip socket and the listeners; reuse the predecessor's sockets if any."""
    config, successor = runtime.config, runtime.successor
    gossip = None
    if config.peer_listen and config.settings.may_send_gossip:
        gossip = GossipTransport(runtime.parts.driver, config.peers, config.settings.node_index)
        handed_over = successor.gossip_socket if successor else None
        await gossip.listen(handed_over, config.peer_listen)
    await runtime.parts.clients.listen(successor.listener if successor else None)
    if runtime.extensions:
        await runtime.parts.clients.open_listeners(runtime.extensions.listeners)
    return gossip


def run(
    path: str | None = None, build_extensions: Callable[[Config], Extensions] | None = None
) -> int:
    """Read the configuration and serve; return the exit status.

    Without a path, ``LB_CONFIG`` names the file. For an unusable configuration or an address that
    can't be bound, one line is printed to standard error and the status is 1.
    """
    configure_logging()
    signals.block_sighup()
    try:
        file = Path(path if path is not None else os.environ["LB_CONFIG"])
        config = read_effective_config(file)
    except KeyError as error:
        return _fail(f"no usable configuration: {error!r}")
    except ConfigFileError as error:
        return _fail(f"no usable configuration: {error.startup_text}")
    try:
        extensions = build_extensions(config) if build_extensions else None
        uvloop.run(serve(config, file, extensions))
    except OSError as error:
        return _fail(f"can't serve: {error}")
    return 0


def _fail(reason: str) -> int:
    print(f"saffrongw: {reason}", file=sys.stderr)
    return 1
