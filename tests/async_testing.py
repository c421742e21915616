"""Helpers for asynchronous tests: running them, and waiting for conditions."""

from __future__ import annotations

import asyncio
import functools

import uvloop


def asyncio_test(function):
    """Run a test on the event loop that the program uses, with a timeout of one minute."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        uvloop.run(asyncio.wait_for(function(*args, **kwargs), 60))

    return run


async def until(condition, within: float = 10.0) -> None:
    """Wait until a condition holds; the timeout only stops a test that would hang."""
    async with asyncio.timeout(within):
        while not condition():
            await asyncio.sleep(0.005)
