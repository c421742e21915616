"""Running asynchronous tests, and waiting in them."""

from __future__ import annotations

import asyncio
import functools

import uvloop


def asyncio_test(function):
    """Run a test on the event loop that the program uses, for a minute at most."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        uvloop.run(asyncio.wait_for(function(*args, **kwargs), 60))

    return run


async def until(condition, within: float = 10.0) -> None:
    """Wait for a condition; the limit only ends a test that would hang."""
    async with asyncio.timeout(within):
        while not condition():
            await asyncio.sleep(0.005)
