"""One thread for blocking work: access to the shared folder and key generation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

Result = TypeVar("Result")


class BlockingWorker:
    """Runs functions one after another on a thread of its own, off the event loop."""

    def __init__(self) -> None:
        """Create the thread pool; its thread starts with the first call of ``run``."""
        self._pool = ThreadPoolExecutor(1, "certs")

    async def run(self, function: Callable[..., Result], *arguments: Any) -> Result:  # noqa: ANN401 - passed through
        """Call a function on the thread; return its result or raise its exception."""
        return await asyncio.get_running_loop().run_in_executor(self._pool, function, *arguments)

    def close(self) -> None:
        """Drop queued calls; a running one finishes."""
        self._pool.shutdown(wait=False, cancel_futures=True)
