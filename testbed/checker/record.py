"""Typed records of what clients, hosts, discovery, the network and the process table saw of the gateways in a run.

The checker has no other input. Class and field names are stored in evidence files. All times are in microseconds of the
run's monotonic clock; ``Began`` marks the start of the scenario on it.
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
    """A client has written a whole request on connection ``conn``; ``reused`` if the connection carried an earlier one."""

    at: int
    request: str
    intent: int
    number: int  # 0 for the first try of the intent, 1 for its first retry
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
    """A client received a whole answer; ``kind`` is served, refused, failed or garbled."""

    at: int
    request: str
    gateway: int
    conn: int
    kind: str
    value: str = ""
    after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection ended with an unanswered request on it.

    ``by`` is gateway, left (the client disconnected early) or gave_up (its deadline and some grace had passed).
    """

    at: int
    request: str
    gateway: int
    conn: int
    by: str
    reused: bool
    part: bool  # some bytes of an answer had arrived


@dataclass(frozen=True, slots=True)
class Extra:
    """Bytes received after the last answer on a connection, which belong to no request."""

    at: int
    gateway: int
    conn: int
    request: str  # the last one answered on this connection
    data: str


@dataclass(frozen=True, slots=True)
class Unreached:
    """A client could not connect, so the gateway has received nothing."""

    at: int
    request: str
    gateway: int


@dataclass(frozen=True, slots=True)
class Attempt:
    """A gateway sent an attempt to a host.

    ``began`` is when its first byte left the gateway's side of the network, and ``at`` when its last byte arrived at the
    host (negative if it never did). ``work`` is in seconds of one core.
    """

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
    capacity: float  # of the host at that moment, in cores at nominal speed
    conn: int


@dataclass(frozen=True, slots=True)
class Turned:
    """A host answered an attempt with ``-BUSY``, so the attempt never ran."""

    at: int
    request: str
    host: str
    conn: int


@dataclass(frozen=True, slots=True)
class Effect:
    """A host began to execute a request."""

    at: int
    request: str
    host: str
    life: int
    cls: str
    key: str


@dataclass(frozen=True, slots=True)
class Made:
    """A host produced this value in answer to this request."""

    at: int
    request: str
    host: str
    value: str


@dataclass(frozen=True, slots=True)
class Told:
    """Discovery has written a host list or an update to a gateway.

    ``hosts`` holds (name, health, start time in ms since the run began, or 0).
    """

    at: int
    gateway: int
    seq: int
    whole: bool
    hosts: tuple[tuple[str, str, int], ...]


@dataclass(frozen=True, slots=True)
class HostEvent:
    """A host changed its state; ``what`` is up, drain, down, fell, frozen, thawed, moved or syntax (a malformed command)."""

    at: int
    host: str
    life: int
    what: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class GatewayEvent:
    """A gateway's process started, was ready, got a signal (kill, term, stop, cont, hup) or ended (exit)."""

    at: int
    gateway: int
    what: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of the scenario began; ``until`` is 0 if it has no duration."""

    at: int
    what: str
    until: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Late:
    """The testbed itself was stalled: times recorded in this span are uncertain by up to its length."""

    at: int
    until: int


@dataclass(frozen=True, slots=True)
class Starved:
    """Within this span, a runnable gateway waited for a core for ``delay`` us in total."""

    at: int
    until: int
    gateway: int
    delay: int


@dataclass(frozen=True, slots=True)
class Began:
    """All gateways are ready and requests may arrive."""

    at: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The run is over; later records are not judged."""

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
    """All records of a run in the order of observation, limited in number so that a run can't exhaust memory."""

    MAX_RECORDS: ClassVar[int] = 2_000_000

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.records: list[Record] = list(records)

    def add(self, record: Record) -> None:
        """Append a record; ``MemoryError`` at the limit, which ends the run with a clear cause."""
        if len(self.records) >= self.MAX_RECORDS:
            raise MemoryError(f"the log of a run is limited to {self.MAX_RECORDS} records")
        self.records.append(record)

    def of(self, kind: type[R]) -> Iterator[R]:
        """The records of one class."""
        return (record for record in self.records if type(record) is kind)  # type: ignore[misc]

    @property
    def began(self) -> int:
        """When the scenario began; 0 if it did not."""
        return next((record.at for record in self.of(Began)), 0)

    @property
    def finished(self) -> int | None:
        """When the run ended; None if it did not."""
        return next((record.at for record in self.of(Finished)), None)

    def save(self, path: Path) -> None:
        """Write one JSON object per line and record."""
        with path.open("w") as file:
            for record in self.records:
                fields = {f.name: getattr(record, f.name) for f in dataclasses.fields(record)}
                file.write(json.dumps({"record": type(record).__name__, **fields}) + "\n")

    @classmethod
    def load(cls, path: Path) -> Log:
        """Read what ``save`` wrote; ``ValueError`` names the first line that isn't a record."""
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
