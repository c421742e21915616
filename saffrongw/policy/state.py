"""What a gateway remembers, as plain records. Nothing here decides anything: ``rules.py`` does."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .actions import Action
from .request_state import AttemptState, RequestState


@dataclass(slots=True)
class Account:
    """One customer: counts by rank as (start, value), the limit."""

    customer: int
    key: tuple[int, int, int]  # plan, first gateway and size of its set, as told
    limit: float
    risen: int
    counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    spent: float = 0.0  # the sum of the counts, those of earlier lives too
    total: float = 0.0  # all units known to be spent: the counts, and what tellers knew besides
    news: tuple[int, ...] = ()  # ranks whose counts changed last, the latest at the end
    fresh: bool = True  # no other gateway has told of it yet
    out: int = 0
    others: tuple[int, ...] = ()  # when others' latest approvals became known
    spread: int = 0  # when its set was last told
    ceiling: float = 0.0  # units that its ceiling lets us send
    asked: float = 0.0  # rights asked for and not yet given
    given_at: int = 0  # ms: when those that came last were sent
    waiting: dict[int, float] = field(
        default_factory=dict
    )  # requests that wait for rights: their units
    owed: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # as their keeper: rank -> since when, rights
    used: int = 0  # when it was last let in
    part: float | None = (
        None  # of its use that was ours, while the others were heard; None: not known
    )
    closed: bool = False  # it was fast and spent nearly all: refused until a good part is back

    @property
    def plan(self) -> int:
        """Its plan's number."""
        return self.key[0]

    @property
    def first(self) -> int:
        """The first gateway of its set."""
        return self.key[1]

    @property
    def size(self) -> int:
        """How many gateways its set has."""
        return self.key[2]

    @property
    def room(self) -> float:
        """The limit less all that was spent."""
        return self.limit - self.total


class Memory:
    """All that a gateway holds, empty at its start."""

    def __init__(self) -> None:
        self.accounts: dict[int, Account] = {}
        self.idle_queue: deque[int] = deque()  # customers, in the order of their next look
        self.changed: dict[int, None] = {}  # customers whose counts changed since they were told
        self.heard: dict[int, int] = {}  # rank -> when it was last heard
        self.mute: dict[int, int] = {}  # rank -> answers in a row that it owed and did not give
        self.due: dict[
            int, dict[int, int]
        ] = {}  # keeper's rank -> customers, which of their keepers it is
        self.pushing = False  # a timer for what is due is set
        self.spent_last: dict[
            int, None
        ] = {}  # customers whose quota is nearly spent, the latest last
        self.asked: deque[tuple[int, int, list]] = (
            deque()
        )  # when, rank, customers and which of their keepers
        self.owing: dict[int, None] = {}  # customers to whose gateways rights are owed
        self.requests: dict[int, RequestState] = {}
        self.attempts: dict[tuple[int, int], tuple[AttemptState, RequestState]] = {}
        self.actions: list[Action] = []

    def begin(self, request: RequestState, attempt: AttemptState) -> None:
        """Count one more attempt in."""
        attempt.endpoint.in_flight += 1
        request.quota.out += 1
        self.attempts[request.event.request, len(request.attempts)] = attempt, request
        request.attempts.append(attempt)

    def ended(self, request: int, number: int) -> tuple[AttemptState, int]:
        """Count an attempt out; it and its request's class."""
        attempt, of = self.attempts.pop((request, number))
        attempt.in_flight = False
        attempt.endpoint.in_flight -= 1
        of.quota.out -= 1
        return attempt, of.event.kind
