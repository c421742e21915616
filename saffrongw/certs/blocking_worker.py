"""One thread for work that may block: the shared folder and the making of keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

Result = TypeVar("Result")


class BlockingWorker:
    """Runs functions one after another on a thread of its own, off the event loop."""

    def __init__(self) -> None:
        """Create the thread's pool; the thread starts with the first work."""
        self._pool = ThreadPoolExecutor(1, "certs")

    async def run(self, function: Callable[..., Result], *arguments: Any) -> Result:  # noqa: ANN401 - passed on
        """Return what the function returns; its exceptions are raised here."""
        return await asyncio.get_running_loop().run_in_executor(self._pool, function, *arguments)

    def close(self) -> None:
        """Start nothing more; work that has begun ends by itself."""
        self._pool.shutdown(wait=False, cancel_futures=True)
