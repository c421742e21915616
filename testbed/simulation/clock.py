"""Simulates many nodes on one virtual clock, with a network and faults, all drawn from one seed.

True time is in us from 0. Each node has its own clock with its own rate and is passed only that clock's times. The
simulation never sleeps: it takes only as long as the nodes compute.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from .machine import Machine, Make, Sent

MAX_EVENT_LINES = 400  # latest event lines kept for ``story``
MAX_QUEUED_EVENTS = 500_000  # queue length above which messages are dropped


@dataclass(slots=True)
class Link:
    """Network conditions in one direction: delay in us (least, greatest without reordering), chances from 0 to 1."""

    delay: tuple[int, int] = (200, 2_000)
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0  # chance of up to ``reorder_by`` us of additional delay
    reorder_by: int = 50_000
    cut: bool = False


@dataclass(slots=True, eq=False)
class Node:
    """One node, across restarts."""

    name: str
    make: Make
    random: random.Random
    rate: float = 1.0
    offset: int = 0  # of its clock at true time 0
    life: int = 0
    machine: Machine | None = None  # None: the node is down
    stopped: bool = False
    waiting: list[tuple[str, Any]] = field(default_factory=list)  # messages received while stopped
    wake_at: int = -1  # true time of the current wake-up; queued earlier ones are ignored

    def clock(self, at: int) -> int:
        """The node's clock at a true time."""
        return self.offset + int(at * self.rate)

    def when(self, clock: int) -> int:
        """The first true time at which the node's clock shows at least ``clock``."""
        return max(0, int((clock - self.offset) / self.rate) + 1)


class Fleet:
    """The nodes, the network and the queue of events."""

    def __init__(self, seed: str, link: Link | None = None) -> None:
        self.random = random.Random(seed)
        self.seed, self.plain = seed, link or Link()
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.links: dict[tuple[str, str], Link] = {}
        # (true time, event number, kind, content); kind 0: call, 1: delivery, 2: wake-up.
        self.queue: list[tuple[int, int, int, Any]] = []
        self.event_number = 0
        self.counts: Counter[str] = Counter()
        self.event_lines: deque[tuple[int, str]] = deque(maxlen=MAX_EVENT_LINES)
        self.watchers: list[Callable[[int, Node], None]] = []  # called after each step of a node
        # The size of a message in bytes; None: bytes aren't counted.
        self.size: Callable[[Any], int] | None = None
        self.sent: Counter[str] = Counter()
        self.got: Counter[str] = Counter()

    # -- setup -------------------------------------------------------------------------------------------------------

    def add(
        self, name: str, make: Make, rate: float = 1.0, offset: int = 0, start: int | None = 0
    ) -> Node:
        """Adds a node, which starts at true time ``start``; None: it isn't started."""
        node = Node(name, make, random.Random(f"{self.seed}:{name}"), rate, offset)
        self.nodes[name] = node
        if start is not None:
            self.at(start, lambda: self.start(name))
        return node

    def link(self, a: str, b: str) -> Link:
        """Returns the link from ``a`` to ``b``, which the caller may change."""
        found = self.links.get((a, b))
        if found is None:
            default = self.plain
            found = Link(
                default.delay, default.loss, default.double, default.reorder, default.reorder_by
            )
            self.links[a, b] = found
        return found

    def at(self, when: int, do: Callable[[], None]) -> None:
        """Schedules a call at a true time."""
        self._queue_event(when, 0, do)

    def _queue_event(self, when: int, kind: int, what: Any) -> None:
        self.event_number += 1
        heapq.heappush(self.queue, (when, self.event_number, kind, what))

    # -- faults ------------------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a node with a new machine, which has no state of earlier lives."""
        node = self.nodes[name]
        node.life += 1
        node.stopped, node.wake_at = False, -1
        node.waiting.clear()
        self.tell(f"{name} starts, life {node.life}")
        node.machine = node.make(name, node.life, node.clock(self.now), node.random)
        self._step(node, node.machine.due(node.clock(self.now)))

    def kill(self, name: str) -> None:
        """Kills a node; its state and waiting messages are lost."""
        node = self.nodes[name]
        self.tell(f"{name} is killed")
        node.machine, node.stopped = None, False
        node.waiting.clear()
        self._notify_watchers(node)

    def stop(self, name: str) -> None:
        """Stops a node as SIGSTOP does; its clock runs on."""
        self.tell(f"{name} is stopped")
        self.nodes[name].stopped = True

    def go_on(self, name: str) -> None:
        """Resumes a stopped node; it first handles the messages received meanwhile, as from a socket's buffer."""
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
        """Cuts the links between groups (one way: from the first to the others) and returns a function that heals them."""
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
        """Runs all events up to a true time."""
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
        """Calls a running node's machine and sends the messages that the call returns."""
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
                self._queue_event(at, 2, (node, at))
        self._notify_watchers(node)

    def _notify_watchers(self, node: Node) -> None:
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
            if len(self.queue) < MAX_QUEUED_EVENTS:
                self._queue_event(self.now + int(wait), 1, (sender, to, message))

    # -- event log ---------------------------------------------------------------------------------------------------

    def tell(self, what: str) -> None:
        """Adds a line to the event log."""
        self.event_lines.append((self.now, what))

    def story(self, last: int = 40) -> str:
        """The last lines of the event log, with true times in seconds."""
        return "\n".join(f"{at / 1e6:9.3f}  {what}" for at, what in list(self.event_lines)[-last:])
