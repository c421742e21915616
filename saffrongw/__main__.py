"""One api gateway: ``python -m saffrongw`` with LB_CONFIG naming its configuration."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path

import uvloop

from .clients import Clients
from .config import Config, parse
from .discovery import Watch
from .driver import Driver
from .hosts import Hosts
from .peers import Peers

ACCEPT_FOR = 0.5  # seconds after SIGTERM in which new connections are still served
SPARE = 48  # descriptors for all but clients and hosts: the loop, the watch, peers, logs
CLIENT_PART = 0.5  # of the descriptors that are left


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    sockets = max(SPARE, config.sockets - SPARE)
    client_sockets = int(CLIENT_PART * sockets)
    driver = Driver(config.settings, config.seed, loop)
    driver.hosts = Hosts(
        driver,
        config.settings.report_names,
        sockets - client_sockets,
        config.idle_close,
        config.connect_timeout,
    )
    if config.peer_listen and config.settings.may_tell_peers:
        await loop.create_datagram_endpoint(
            lambda: Peers(driver, config.peers, config.settings.rank), local_addr=config.peer_listen
        )
    driver.start(config.known)
    Watch(loop, config.discovery, config.zones, driver.listed).start()
    clients = Clients(driver, config, client_sockets)
    await clients.listen()
    gc.collect()
    gc.freeze()  # what is loaded by now stays: it need not be looked through again
    await stop.wait()
    await clients.drain(ACCEPT_FOR)


def main() -> int:
    """Read the configuration and serve; one plain line and 1 where it is wrong."""
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = parse(Path(os.environ["LB_CONFIG"]).read_text())
    except (OSError, KeyError, ValueError, TypeError) as wrong:
        print(f"saffrongw: no usable configuration: {wrong!r}", file=sys.stderr)
        return 1
    uvloop.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
