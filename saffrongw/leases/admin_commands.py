"""Admin HTTP commands on leases: list them, release one, suspend one."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from saffrongw.gateway.extensions import AdminCommand

from .candidates import shard_of
from .node_driver import NodeDriver
from .state_report import JsonObject
from .suspensions import SuspensionError
from .timing import SECOND_US

# Upper bound of ``for_s``, longer than any meaningful suspension.
MAX_SPAN_S = 1e9

HttpAnswer = tuple[int, bytes]


class AdminRequestError(ValueError):
    """The body of a request is malformed; the message says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class SuspendRequest:
    """The body of a request to suspend a lease; ``for_s`` 0 ends the suspension."""

    name: str
    for_s: float
    operator: str
    reason: str

    @classmethod
    def parse(cls, body: bytes) -> SuspendRequest:
        """Parse a JSON body; raise ``AdminRequestError`` if it is malformed."""
        try:
            fields = json.loads(body)
            name, for_s = str(fields["lease"]), float(fields["for_s"])
            operator, reason = str(fields["who"]), str(fields.get("why", ""))
            if not 0 <= for_s < MAX_SPAN_S:
                raise ValueError("for_s is no span")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise AdminRequestError(f"not a hold: {error!r}") from None
        return cls(name, for_s, operator, reason)


class LeaseAdminCommands:
    """The handlers of /admin/leases; ``state`` returns the current state as a JSON object."""

    def __init__(
        self,
        driver: Callable[[], NodeDriver],
        state: Callable[[], JsonObject],
        named_leases: list[str],
    ) -> None:
        """Act on the node driver that ``driver`` returns."""
        self.driver = driver
        self.state = state
        self.named_leases = named_leases

    def by_path(self) -> dict[bytes, AdminCommand]:
        """Return the handlers by HTTP path."""
        return {
            b"/admin/leases": (b"GET", self._list),
            b"/admin/leases/release": (b"POST", self._release),
            b"/admin/leases/hold": (b"POST", self._suspend),
        }

    def _lease_named(self, name: str) -> str | None:
        """Return the lease with this name, or that of the task with this name; None if neither."""
        driver = self.driver()
        node = driver.node
        if name in driver.runner.tasks:
            return shard_of(name, node.shard_count)
        known = node.acceptor.candidates.known(name) if node.acceptor else False
        return name if known or name in node.shard_names or name in self.named_leases else None

    def _list(self, _body: bytes) -> HttpAnswer:
        return 200, json.dumps(self.state()).encode() + b"\n"

    def _release(self, body: bytes) -> HttpAnswer:
        name = body.decode(errors="replace").strip()
        lease = self._lease_named(name)
        if lease is None:
            return 404, f"no lease or task is called {name!r}\n".encode()
        driver = self.driver()
        if not driver.is_holding(lease):
            row = next((row for row in self.state()["leases"] if row["lease"] == lease), None)
            other = row["holder"] if row and row["holder"] else "nobody that this gateway knows of"
            return 409, f"{lease}: held by {other}, not by this gateway\n".encode()
        driver.release(lease, "an operator released it", 2 * driver.node.timing.duration_us)
        return 200, f"{lease}: given back\n".encode()

    def _suspend(self, body: bytes) -> HttpAnswer:
        try:
            request = SuspendRequest.parse(body)
        except AdminRequestError as error:
            return 400, f"{error}\n".encode()
        lease = self._lease_named(request.name)
        if lease is None:
            return 404, f"no lease or task is called {request.name!r}\n".encode()
        driver = self.driver()
        now = driver.clock.now()
        now_s = driver.clock.wall(now) / SECOND_US
        until_s = now_s + request.for_s if request.for_s else 0.0
        try:
            driver.node.suspensions.put(lease, until_s, request.operator, request.reason, now_s)
        except SuspensionError as error:
            return 400, f"{error}\n".encode()
        driver.node.announce_now(now)
        if request.for_s and driver.is_holding(lease):
            driver.recall(lease)
        driver.wake()
        done = f"on hold for {request.for_s:g} s" if request.for_s else "no longer on hold"
        return 200, f"{lease}: {done}; the voters are told\n".encode()
