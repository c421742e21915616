"""The gateway program as a separate process, configured by a file."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from client_rig import Caller
from fake_endpoint import FakeEndpoint
from loopback_rig import SITE

from testbed.runner.processes import die_with_parent, free_port


def configured(folder: Path, **changes) -> tuple[Path, int]:
    """Write a configuration file for the program; return its path and the port to listen on.

    The port is outside the range from which port 0 is assigned: another test's endpoint could be
    assigned the same port before the program binds it.
    """
    port = free_port()
    text = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "01"}
    text |= {"limits": {"sockets": 128}, "settings": SITE} | changes
    path = folder / "config.json"
    path.write_text(json.dumps(text))
    return path, port


async def started(host: FakeEndpoint, folder, **changes):
    """Start the program; return its process, a function to connect to it, and its configuration file."""
    known = {"seq": 1, "whole": True, "hosts": [host.line(host=name) for name in "abcdef"]}
    file, port = configured(folder, **({"known": known} | changes))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "saffrongw",
        env=os.environ | {"LB_CONFIG": str(file)},
        preexec_fn=die_with_parent,  # ends the program even if the test fails before it does so
    )
    loop = asyncio.get_running_loop()

    async def connect() -> Caller:
        async with asyncio.timeout(20):
            while True:
                try:
                    return (await loop.create_connection(Caller, "127.0.0.1", port))[1]
                except OSError:
                    await asyncio.sleep(0.02)

    return process, connect, file
