"""Many nodes on one virtual clock, with a network and faults, all from one seed.

True time is us from 0. Each node has a clock with a rate of its own, and what it is told is that clock. Nothing here
waits: a day of a fleet takes as long as its machines need to compute.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from .machine import Machine, Make, Sent

TOLD_MOST = 400  # events that are kept for a story
LATE_MOST = 500_000  # messages on their way at once


@dataclass(slots=True)
class Link:
    """What happens to messages one way: delay in us (least, usual most), chances from 0 to 1."""

    delay: tuple[int, int] = (200, 2_000)
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0  # arrives after up to ``reorder_by`` us more
    reorder_by: int = 50_000
    cut: bool = False


@dataclass(slots=True, eq=False)
class Node:
    """One node, over all its lives."""

    name: str
    make: Make
    random: random.Random
    rate: float = 1.0
    offset: int = 0  # of its clock at true time 0
    life: int = 0
    machine: Machine | None = None  # None: it is down
    stopped: bool = False
    waiting: list[tuple[str, Any]] = field(default_factory=list)  # came while it stood still
    wake_at: int = -1  # true time of the wake that counts

    def clock(self, at: int) -> int:
        """Its own clock at a true time."""
        return self.offset + int(at * self.rate)

    def when(self, clock: int) -> int:
        """The first true time at which its own clock shows at least this."""
        return max(0, int((clock - self.offset) / self.rate) + 1)


class Fleet:
    """Nodes, network, and the order of everything that happens."""

    def __init__(self, seed: str, link: Link | None = None) -> None:
        self.random = random.Random(seed)
        self.seed, self.plain = seed, link or Link()
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.queue: list[tuple[int, int, int, Any]] = []  # true time, order, kind, what
        self.orders = 0
        self.counts: Counter[str] = Counter()
        self.told: deque[tuple[int, str]] = deque(maxlen=TOLD_MOST)
        self.watchers: list[Callable[[int, Node], None]] = []  # called after each step of a node
        self.size: Callable[[Any], int] | None = (
            None  # bytes of a message, where they are to be counted
        )
        self.sent: Counter[str] = Counter()
        self.got: Counter[str] = Counter()

    # -- making it ---------------------------------------------------------------------------------------------------

    def add(
        self, name: str, make: Make, rate: float = 1.0, offset: int = 0, start: int | None = 0
    ) -> Node:
        """One more node; started at a true time, or not at all."""
        node = Node(name, make, random.Random(f"{self.seed}:{name}"), rate, offset)
        self.nodes[name] = node
        if start is not None:
            self.at(start, lambda: self.start(name))
        return node

    def link(self, a: str, b: str) -> Link:
        """The way from one to another, to be changed."""
        found = self.links.get((a, b))
        if found is None:
            p = self.plain
            found = Link(p.delay, p.loss, p.double, p.reorder, p.reorder_by)
            self.links[a, b] = found
        return found

    def at(self, when: int, do: Callable[[], None]) -> None:
        """Have something happen at a true time."""
        self._push(when, 0, do)

    def _push(self, when: int, kind: int, what: Any) -> None:
        self.orders += 1
        heapq.heappush(self.queue, (when, self.orders, kind, what))

    # -- faults ------------------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """A new life, with empty memory."""
        node = self.nodes[name]
        node.life += 1
        node.stopped, node.wake_at = False, -1
        node.waiting.clear()
        self.tell(f"{name} starts, life {node.life}")
        node.machine = node.make(name, node.life, node.clock(self.now), node.random)
        self._step(node, node.machine.due(node.clock(self.now)))

    def kill(self, name: str) -> None:
        """It is gone, and what it knew."""
        node = self.nodes[name]
        self.tell(f"{name} is killed")
        node.machine, node.stopped = None, False
        node.waiting.clear()
        self._watch(node)

    def stop(self, name: str) -> None:
        """It stands still; its clock goes on."""
        self.tell(f"{name} is stopped")
        self.nodes[name].stopped = True

    def go_on(self, name: str) -> None:
        """It goes on: first with what came meanwhile, as a socket's buffer has it."""
        node = self.nodes[name]
        if not node.stopped:
            return
        self.tell(f"{name} goes on")
        node.stopped = False
        if node.machine is None:
            return
        waiting, node.waiting = node.waiting, []
        for sender, message in waiting:
            self._step(node, node.machine.receive(node.clock(self.now), sender, message))
        self._step(node, node.machine.due(node.clock(self.now)))

    def split(self, groups: Iterable[Iterable[str]], one_way: bool = False) -> Callable[[], None]:
        """Cut the ways between groups (one way: from the first to the others); what is returned heals them."""
        sides = [tuple(group) for group in groups]
        ways = [
            (a, b)
            for i, left in enumerate(sides)
            for j, right in enumerate(sides)
            if i != j and (not one_way or i == 0)
            for a in left
            for b in right
        ]
        self.tell(
            f"cut{' one way' if one_way else ''}: {' | '.join(' '.join(side) for side in sides)}"
        )
        for way in ways:
            self.link(*way).cut = True

        def heal() -> None:
            self.tell("the cut is healed")
            for way in ways:
                self.link(*way).cut = False

        return heal

    # -- running -----------------------------------------------------------------------------------------------------

    def run(self, until: int) -> None:
        """Let all happen up to a true time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, kind, what = heapq.heappop(self.queue)
            if kind == 0:
                what()
            elif kind == 1:
                self._deliver(*what)
            else:
                node, at = what
                if node.wake_at == at and node.machine is not None and not node.stopped:
                    node.wake_at = -1
                    self.counts["wakes"] += 1
                    self._step(node, node.machine.due(node.clock(self.now)))
        self.now = until

    def call(self, name: str, do: Callable[[Machine, int], Sent]) -> None:
        """Have a node's machine do something from outside; what it sends is sent."""
        node = self.nodes[name]
        if node.machine is not None and not node.stopped:
            self._step(node, do(node.machine, node.clock(self.now)))

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        node = self.nodes.get(to)
        if node is None or node.machine is None:
            self.counts["to nobody"] += 1
        elif node.stopped:
            if len(node.waiting) < 1_000:
                node.waiting.append((sender, message))
        else:
            self.counts["delivered"] += 1
            self.got[to] += 1
            self._step(node, node.machine.receive(node.clock(self.now), sender, message))

    def _step(self, node: Node, sent: Sent) -> None:
        for to, message in sent:
            self._send(node.name, to, message)
        if node.machine is not None and not node.stopped:
            at = max(self.now + 1, node.when(node.machine.next_at()))
            if node.wake_at != at:
                node.wake_at = at
                self._push(at, 2, (node, at))
        self._watch(node)

    def _watch(self, node: Node) -> None:
        for watcher in self.watchers:
            watcher(self.now, node)

    def _send(self, sender: str, to: str, message: Any) -> None:
        link = self.links.get((sender, to), self.plain)
        self.counts["sent"] += 1
        self.sent[sender] += 1
        if self.size is not None:
            self.counts["bytes"] += self.size(message)
        if link.cut or (link.loss and self.random.random() < link.loss):
            self.counts["cut" if link.cut else "lost"] += 1
            return
        copies = 1
        if link.double and self.random.random() < link.double:
            copies = 2
            self.counts["doubled"] += 1
        for _ in range(copies):
            wait = self.random.uniform(*link.delay)
            if link.reorder and self.random.random() < link.reorder:
                wait += self.random.random() * link.reorder_by
            if len(self.queue) < LATE_MOST:
                self._push(self.now + int(wait), 1, (sender, to, message))

    # -- stories -----------------------------------------------------------------------------------------------------

    def tell(self, what: str) -> None:
        """Keep a line for the story of a run."""
        self.told.append((self.now, what))

    def story(self, last: int = 40) -> str:
        """The last lines, with true times in seconds."""
        return "\n".join(f"{at / 1e6:9.3f}  {what}" for at, what in list(self.told)[-last:])
