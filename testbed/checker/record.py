"""What was seen from outside a gateway: one typed record for each thing that a client, a host, discovery, the
network or the process table showed. The checker knows nothing else.

All times are microseconds of the run's monotonic clock; ``Began`` says when its day began on it.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar, TypeVar


@dataclass(frozen=True, slots=True)
class Sent:
    """A client wrote a request whole; ``conn`` numbers its connection, ``reused`` if it had carried one before."""

    at: int
    request: str
    intent: int
    number: int  # which try of the intent, from 0
    gateway: int
    conn: int
    reused: bool
    customer: int
    plan: str
    cls: str
    units: float
    wait: int  # us that the client waits
    key: str
    first: int
    spread: int


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer has come: served, refused, failed."""

    at: int
    request: str
    gateway: int
    conn: int
    kind: str
    value: str = ""
    after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection with a request on it ended without a whole answer; by: gateway, left (the client went away
    early) or gave_up (its time and some grace were over)."""

    at: int
    request: str
    gateway: int
    conn: int
    by: str
    reused: bool
    part: bool  # some bytes of an answer had come


@dataclass(frozen=True, slots=True)
class Extra:
    """Bytes that answer nothing: what is behind the last answer of a connection."""

    at: int
    gateway: int
    conn: int
    request: str  # the last one answered there
    data: str


@dataclass(frozen=True, slots=True)
class Unreached:
    """A client could not connect: the gateway has taken nothing."""

    at: int
    request: str
    gateway: int


@dataclass(frozen=True, slots=True)
class Attempt:
    """A host got an attempt. ``began`` is when its first byte left the gateway's side of the network, ``at`` when
    its last byte came there or, below 0, never came. Work in seconds of one core."""

    began: int
    at: int
    request: str
    gateway: int
    host: str
    life: int
    rack: int
    cls: str
    key: str
    customer: int
    plan: str
    units: float
    work: float
    capacity: float  # of the host at that moment, cores at nominal speed
    conn: int


@dataclass(frozen=True, slots=True)
class Turned:
    """A host answered ``-BUSY``: this attempt never ran."""

    at: int
    request: str
    host: str
    conn: int


@dataclass(frozen=True, slots=True)
class Effect:
    """A host began to carry a request out."""

    at: int
    request: str
    host: str
    life: int
    cls: str
    key: str


@dataclass(frozen=True, slots=True)
class Made:
    """A host made this value for this request."""

    at: int
    request: str
    host: str
    value: str


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery has written this to a gateway; hosts as (name, health, born in ms since the run began or 0)."""

    at: int
    gateway: int
    seq: int
    whole: bool
    hosts: tuple[tuple[str, str, int], ...]


@dataclass(frozen=True, slots=True)
class HostEvent:
    """up, drain, down, fell, frozen, thawed, moved."""

    at: int
    host: str
    life: int
    what: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class GatewayEvent:
    """start, ready, kill, term, exit, stop, cont, hup."""

    at: int
    gateway: int
    what: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of the scenario began; until is 0 where it has no length."""

    at: int
    what: str
    until: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Late:
    """The stand-ins themselves stood still: nothing seen in this span has a time that can be trusted closer."""

    at: int
    until: int


@dataclass(frozen=True, slots=True)
class Starved:
    """A gateway wanted to run and the machine did not let it, for so many us within this span."""

    at: int
    until: int
    gateway: int
    delay: int


@dataclass(frozen=True, slots=True)
class Began:
    """All gateways are ready and the first arrival may come."""

    at: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The run is over: nothing after this was watched."""

    at: int


Record = (
    Sent
    | Answered
    | Closed
    | Extra
    | Unreached
    | Attempt
    | Turned
    | Effect
    | Made
    | Told
    | HostEvent
    | GatewayEvent
    | Fault
    | Late
    | Starved
    | Began
    | Finished
)
KINDS: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        *(Sent, Answered, Closed, Extra, Unreached, Attempt, Turned, Effect, Made, Told),
        *(HostEvent, GatewayEvent, Fault, Late, Starved, Began, Finished),
    )
}
R = TypeVar("R")


class Log:
    """All records of a run, in the order in which they were seen; bounded, so that a run can't fill memory."""

    MOST: ClassVar[int] = 2_000_000

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.records: list[Record] = list(records)

    def add(self, record: Record) -> None:
        """Keep one more; ``MemoryError`` past the bound, which ends the run with a clear cause."""
        if len(self.records) >= self.MOST:
            raise MemoryError(f"a run may leave {self.MOST} records at most")
        self.records.append(record)

    def of(self, kind: type[R]) -> Iterator[R]:
        """Those of one kind."""
        return (record for record in self.records if type(record) is kind)  # type: ignore[misc]

    @property
    def began(self) -> int:
        """When the day began; 0 where it did not."""
        return next((record.at for record in self.of(Began)), 0)

    @property
    def finished(self) -> int | None:
        """When the run was over; None where it was not."""
        return next((record.at for record in self.of(Finished)), None)

    def save(self, path: Path) -> None:
        """One JSON line a record."""
        with path.open("w") as file:
            for record in self.records:
                fields = {f.name: getattr(record, f.name) for f in dataclasses.fields(record)}
                file.write(json.dumps({"record": type(record).__name__, **fields}) + "\n")

    @classmethod
    def load(cls, path: Path) -> Log:
        """Read what ``save`` wrote; ``ValueError`` names the line that is none."""
        log = cls()
        with path.open() as file:
            for number, line in enumerate(file, 1):
                try:
                    raw: dict[str, Any] = json.loads(line)
                    kind = KINDS[raw.pop("record")]
                    if kind is Told:
                        raw["hosts"] = tuple(tuple(host) for host in raw["hosts"])
                    log.add(kind(**raw))
                except (ValueError, KeyError, TypeError, AttributeError) as wrong:
                    raise ValueError(f"{path}:{number}: not a record: {wrong}") from None
        return log
