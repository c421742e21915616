"""Waits for the first of several coroutines to end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


async def wait_for_first(*coroutines: Coroutine[Any, Any, object]) -> None:
    """Run all until the first one ends, and cancel the others; raises its error if it failed."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    for task in done:
        task.result()
