"""How late the event loop of a test is."""

from __future__ import annotations

import asyncio
import time

LAG_POLL_S = 0.01


class LoopLag:
    """How late this process itself was: the crowd, the endpoint and the clients share its loop."""

    def __init__(self) -> None:
        """Start to measure."""
        # When the loop was late, and by how much, in seconds.
        self.delays: list[tuple[float, float]] = []
        self.task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_POLL_S
            await asyncio.sleep(LAG_POLL_S)
            if (late_s := time.monotonic() - due_s) > LAG_POLL_S:
                self.delays.append((due_s, late_s))

    def since(self, start_s: float) -> float:
        """By how much the loop was late in all since a time."""
        return sum(late_s for due_s, late_s in self.delays if due_s + late_s > start_s)

    def between(self, start_s: float, end_s: float) -> float:
        """By how much the loop was late between two times."""
        return sum(
            max(0.0, min(end_s, due_s + late_s) - max(start_s, due_s))
            for due_s, late_s in self.delays
        )
