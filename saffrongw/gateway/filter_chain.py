"""Runs the request filters on each request, one after the other, before the policy sees it.

The driver registers a request before its first filter starts. So the request gets its one final
reply even if a filter hangs or the gateway drains meanwhile.
"""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from .extension_faults import ExtensionFaults
from .extensions import (
    Abort,
    Ending,
    FilteredRequest,
    FilterError,
    Reject,
    RequestFilter,
    Verdict,
    apply_verdict,
)
from .request_types import ClientRequest, RequestTerms


@dataclass(slots=True, eq=False)
class FilterRun:
    """One request's pass through the filters; ``notified`` are those whose ``on_end`` is due."""

    request: ClientRequest
    filtered_request: FilteredRequest
    notified: list[RequestFilter] = field(default_factory=list)
    task: asyncio.Task[None] | None = None
    timeout_timer: asyncio.TimerHandle | None = None


class FilterChainOwner(Protocol):
    """Carries out the filters' verdict on a request."""

    loop: asyncio.AbstractEventLoop

    @property
    def clock(self) -> Callable[[], int]:
        """The gateway's clock, in microseconds."""

    def request_continued(self, request: ClientRequest, terms: RequestTerms) -> None:
        """Pass a request to the policy, with these terms."""

    def request_rejected(self, request: ClientRequest, retry_after_us: int) -> None:
        """Send the final reply of a rejection."""

    def request_aborted(self, request: ClientRequest) -> None:
        """Send the final reply of a failure."""

    def call_after_us(
        self, delay_us: int, callback: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        """Call back after a delay."""


class FilterChain:
    """Runs the filters.

    ``time_share`` is the fraction of a request's time left that all filters together may take.
    """

    def __init__(
        self,
        owner: FilterChainOwner,
        filters: tuple[RequestFilter, ...],
        time_share: float,
        plan_count: int,
        faults: ExtensionFaults,
    ) -> None:
        """Run these filters in this order."""
        self.owner = owner
        self.filters = filters
        self.time_share = time_share
        self.plan_count = plan_count
        self.faults = faults
        # The runs of unfinished requests.
        self.runs: dict[ClientRequest, FilterRun] = {}

    def start(self, request: ClientRequest, terms: RequestTerms) -> None:
        """Run all filters on a request."""
        parts = request.parts
        body_bytes = len(parts[5]) if len(parts) > 5 else 0
        filtered_request = FilteredRequest(
            request.event.request, parts[2], terms, body_bytes, request.deadline_us
        )
        run = self.runs[request] = FilterRun(request, filtered_request)
        self._run_from(run, terms, 0)

    def end(self, request: ClientRequest, ending: Ending) -> None:
        """Notify the filters that saw a request of its end, and cancel a pending verdict."""
        run = self.runs.pop(request, None)
        if run is None:
            return
        self._stop_timeout(run)
        if run.task:
            run.task.cancel()
        for request_filter in run.notified:
            with self.faults.guard(request_filter.name):
                request_filter.on_end(run.filtered_request, ending)

    def _run_from(self, run: FilterRun, terms: RequestTerms, index: int) -> None:
        """Run the filters from this index on, until one has to be awaited or ends the request."""
        for position in range(index, len(self.filters)):
            request_filter = self.filters[position]
            run.notified.append(request_filter)
            verdict: Verdict | Awaitable[Verdict] | None = None
            with self.faults.guard(request_filter.name) as guard:
                verdict = request_filter.on_request(run.filtered_request)
            if guard.has_failed:
                verdict = _fallback(request_filter)
            if inspect.isawaitable(verdict):
                self._start_timeout(run)
                waiting = self._await_verdict(run, request_filter, verdict, terms, position)
                run.task = self.owner.loop.create_task(waiting)
                return
            changed = self._apply(run, request_filter, verdict, terms)
            if changed is None:
                return
            terms = changed
        self._stop_timeout(run)
        self.owner.request_continued(run.request, terms)

    async def _await_verdict(
        self,
        run: FilterRun,
        request_filter: RequestFilter,
        awaitable: Awaitable[Verdict],
        terms: RequestTerms,
        index: int,
    ) -> None:
        verdict: Verdict | None = None
        guard = self.faults.guard(request_filter.name)
        try:
            with guard:
                verdict = await awaitable
        except asyncio.CancelledError:
            # Cancelled by ``end``: the request is finished.
            if run.request.is_finished:
                raise
            # Cancelled by ``_timed_out``, or by the filter's own work: counts as a timeout.
            error = TimeoutError("no verdict in its share of the request's time")
            self.faults.record(request_filter.name, error)
            guard.has_failed = True
        if guard.has_failed:
            verdict = _fallback(request_filter)
        run.task = None
        if run.request.is_finished:
            return
        changed = self._apply(run, request_filter, verdict, terms)
        if changed is not None:
            self._run_from(run, changed, index + 1)

    def _start_timeout(self, run: FilterRun) -> None:
        """Start the timeout that all filters share, unless it is running already."""
        if run.timeout_timer is None:
            time_left_us = run.request.deadline_us - self.owner.clock()
            share_us = max(0, int(self.time_share * time_left_us))
            run.timeout_timer = self.owner.call_after_us(share_us, self._timed_out, run)

    def _stop_timeout(self, run: FilterRun) -> None:
        if run.timeout_timer:
            run.timeout_timer.cancel()
            run.timeout_timer = None

    def _timed_out(self, run: FilterRun) -> None:
        if run.task and not run.request.is_finished:
            # The next filter to be awaited starts a new timeout, a share of the time left by then.
            run.timeout_timer = None
            run.task.cancel()

    def _apply(
        self,
        run: FilterRun,
        request_filter: RequestFilter,
        verdict: Verdict | None,
        terms: RequestTerms,
    ) -> RequestTerms | None:
        """Return the terms to continue with; None if the verdict gave the final reply."""
        result = self._checked_verdict(request_filter, verdict, terms)
        if isinstance(result, Reject):
            self.owner.request_rejected(run.request, result.retry_after_us)
            return None
        if isinstance(result, Abort):
            self.owner.request_aborted(run.request)
            return None
        if result is not terms:
            run.filtered_request = replace(run.filtered_request, terms=result)
        return result

    def _checked_verdict(
        self, request_filter: RequestFilter, verdict: Verdict | None, terms: RequestTerms
    ) -> RequestTerms | Reject | Abort:
        """Return the result of a verdict.

        A malformed verdict is replaced by the fallback, and a malformed fallback by a rejection.
        """
        try:
            return apply_verdict(verdict, terms, self.plan_count)
        except FilterError as error:
            self.faults.record(request_filter.name, error)
        try:
            return apply_verdict(_fallback(request_filter), terms, self.plan_count)
        except FilterError:
            # Nothing was sent to an endpoint, so the client can safely retry after a rejection.
            return Reject()


def _fallback(request_filter: RequestFilter) -> Verdict | None:
    """Return the verdict that replaces a missing or malformed one; None if the filter has none."""
    return getattr(request_filter, "fallback", None)
