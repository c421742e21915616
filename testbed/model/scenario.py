"""Scenarios: a TOML file with a seed, a deployment and a timeline of faults. Times are in seconds unless named ms."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import toml_schema
from toml_schema import key

FOLDER = Path(__file__).parent.parent / "scenarios"
Span = tuple[float, float]

FAULTS = {
    "kill": "SIGKILL to gateways, which are back after for_s with their last list",
    "restart": "SIGTERM to gateways one after another (gap_s apart), each back for_s after it has ended",
    "stop": "SIGSTOP to gateways, SIGCONT after for_s",
    "reload": "SIGHUP to gateways with discovery at a new address, count times, gap_s apart",
    "partition": "datagrams between the sides of gateways are lost for for_s; one_way: only from side a to side b",
    "peer_noise": "datagrams between gateways are doubled, reordered and lost by chance for for_s",
    "discovery_silent": "discovery says nothing for for_s; what changed then comes after it, shuffled if shuffle",
    "list_shrinks": "discovery leaves part of the hosts out of whole lists for for_s",
    "host_dies": "hosts vanish: connections reset, new ones refused; back cold after for_s (0: never)",
    "host_freezes": "hosts stand still as by SIGSTOP for for_s",
    "host_silent": "the network to hosts says nothing for for_s (a machine cut off); rack: a whole rack",
    "host_spoils": "part of the answers of hosts come spoilt, doubled or with noise for for_s",
    "host_moves": "hosts start anew, cold, under their ids at other addresses",
    "deploy": "hosts are replaced by new ones, batch at a time within for_s; each drains for drain_s first",
    "links": "connections to hosts suffer mode for for_s",
    "authoriser_faults": "part (share) of the checks meet a fault of any kind at the authorisers for for_s",
    "authoriser_hangs": "authorisers take checks and say nothing for for_s",
    "authoriser_restarts": "authorisers end with GOAWAY and are back after for_s, count times, gap_s apart",
    "burst": "arrivals come at times the usual rate for for_s",
    "shift": "part of the customers move their weight to other gateways at one stroke",
}
MODES = ("refuse", "reset_before", "reset_after", "throttle", "split", "delay")


@dataclass(frozen=True, slots=True)
class Class:
    """One class of requests."""

    name: str = key(form="[a-z][a-z0-9-]{0,31}")
    share: float = key(minimum=0)
    work_ms: Span = key((20.0, 60.0), minimum=0.1, maximum=60_000)
    aim_ms: int = key(800, minimum=1)
    deadline_ms: int = key(2000, minimum=10, maximum=60_000)
    worth: float = key(3.0, minimum=0)
    late_worth: float = key(0.0, minimum=0, maximum=1)
    effect: str = key("safe", choices=("safe", "keyed", "unsafe"))
    group: str = key("all", choices=("all", "zone", "cell"))
    window_ms: int = key(0, minimum=0)


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan and the behaviour of its customers."""

    name: str = key(form="[a-z][a-z0-9-]{0,31}")
    customers: int = key(minimum=0, maximum=10_000)
    rate: float = key(minimum=0.01, about="units a second for each customer")
    burst: float = key(minimum=1)
    price: float = key(1.0, minimum=0)
    over_cost: float = key(1.0, minimum=0)
    ceiling: float = key(0.0, minimum=0, about="times rate and burst; 0 = none")
    spread: tuple[int, int] = key((2, 3), minimum=1, about="gateways of a customer's set")
    use: Span = key((0.24, 0.48), minimum=0, about="of the rate, of most customers")
    full: float = key(0.15, minimum=0, maximum=1, about="share that uses nearly all")
    heavy: int = key(0, minimum=0, about="customers that ask heavy_x of their quota")
    heavy_x: float = key(4.4, minimum=0)


@dataclass(frozen=True, slots=True)
class Hosts:
    """The fleet of simulated hosts."""

    count: int = key(10, minimum=1, maximum=500)
    rack_size: int = key(4, minimum=1)
    cores: int = key(2, minimum=1)
    speed: Span = key((0.85, 1.1), minimum=0.01)
    slots: int = key(8, minimum=1, about="requests in work at once")
    queue: int = key(20, minimum=0)
    thrash: float = key(
        0.1, minimum=0, about="capacity lost for each request in work beyond two a core"
    )
    cold_from: float = key(0.3, minimum=0.01, maximum=1)
    cold_s: float = key(6.0, minimum=0)
    fall_multiple: float = key(3.0, minimum=1)
    fall_s: float = key(3.0, minimum=0.1)
    report_period_ms: Span = key((160.0, 730.0), minimum=1)
    idle_close_s: float = key(30.0, minimum=0.1)
    error_share: float = key(0.0005, minimum=0, maximum=1)
    drops_cancelled: bool = key(
        True, about="waiting requests whose connection has ended are dropped"
    )


@dataclass(frozen=True, slots=True)
class Network:
    """Conditions of the datagrams between gateways, and the delay of discovery."""

    peer_ms: Span = key((2.5, 18.0), minimum=0)
    peer_loss: float = key(0.03, minimum=0, maximum=1)
    peers_per_s: float = key(40.0, minimum=1)
    list_late_s: Span = key((0.2, 1.5), minimum=0, about="from a change to the gateway's agent")


@dataclass(frozen=True, slots=True)
class Clients:
    """How clients behave."""

    retries: int = key(2, minimum=0, maximum=5)
    backoff_ms: Span = key((40.0, 320.0), minimum=1)
    heed: float = key(0.6, minimum=0, maximum=1, about="share of customers that heed -BUSY MS")
    leave: float = key(0.01, minimum=0, maximum=1, about="share of tries whose client leaves early")
    patience: Span = key(
        (0.5, 1.0), minimum=0.01, maximum=1, about="of the class's deadline that a try waits"
    )
    notice_s: Span = key((0.8, 2.0), minimum=0, about="until the front notices a dead gateway")
    shift_s: Span = key((12.0, 24.0), minimum=0.1, about="until a customer's weights change")
    skew: float = key(0.7, minimum=0)


@dataclass(frozen=True, slots=True)
class Authoriser:
    """External authorisation servers that every gateway asks; count 0: none."""

    count: int = key(0, minimum=0, maximum=8)
    deny: float = key(0.0, minimum=0, maximum=1, about="share of the customers that are denied")
    fail: str = key("closed", choices=("open", "closed"))
    timeout_ms: int = key(250, minimum=1)
    in_flight: int = key(256, minimum=1, about="checks that a gateway may have out")
    cache_ms: float = key(0.0, minimum=0, about="lifetime that its answers state")
    delay_ms: Span = key((0.0, 4.0), minimum=0)
    open_most_ms: int = key(2000, minimum=10)


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of the timeline."""

    at: float = key(minimum=0)
    kind: str = key(choices=tuple(FAULTS))
    for_s: float = key(0.0, minimum=0)
    gateways: tuple[int, ...] = key((), minimum=0, about="which; empty: share of all")
    hosts: tuple[int, ...] = key(
        (), minimum=0, about="by place in the first list; empty: share of all"
    )
    rack: int = key(-1, minimum=-1)
    share: float = key(0.0, minimum=0, maximum=1)
    batch: float = key(0.15, minimum=0.01, maximum=1)
    drain_s: float = key(2.0, minimum=0)
    gap_s: float = key(1.0, minimum=0)
    count: int = key(1, minimum=1, maximum=20)
    times: float = key(2.5, minimum=0, maximum=20)
    mode: str = key("refuse", choices=MODES)
    one_way: bool = key(False)
    shuffle: bool = key(False)
    stale: bool = key(False, about="gateways come back with the list of the very start")
    a: tuple[int, ...] = key((), minimum=0)
    b: tuple[int, ...] = key((), minimum=0)


@dataclass(frozen=True, slots=True)
class Expect:
    """Requirements of this scenario in addition to the general rules."""

    service: float = key(
        0.0, minimum=0, maximum=1, about="worth served in time of that offered inside the quotas"
    )
    quota_slack: float = key(
        0.15, minimum=0, about="of burst + rate x time that may be sent on beyond it"
    )


CLASSES = (
    Class("sheet-read", 0.43, (55.0, 100.0), 800, 2000, 3.0, 0.0, "safe"),
    Class("test-upload", 0.34, (75.0, 130.0), 1200, 5000, 3.0, 0.2, "keyed", "cell", 5000),
    Class("report-issue", 0.23, (55.0, 100.0), 800, 2500, 5.0, 0.0, "unsafe"),
)
PLANS = (
    Plan("basico", 110, 1.1, 5.5, 1.2, 1.0),
    Plan("amplio", 22, 7.0, 13.0, 1.6, 0.8, 2.2),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A complete scenario."""

    name: str = key(form="[a-z][a-z0-9-]{0,47}")
    about: str = key("")
    seed: int = key(1, minimum=0)
    length_s: float = key(12.0, minimum=1, maximum=3600)
    gateways: int = key(3, minimum=1, maximum=32)
    sockets: int = key(512, minimum=64)
    ci: bool = key(True, about="belongs to the set that CI runs")
    cls: tuple[Class, ...] = key(CLASSES)
    plan: tuple[Plan, ...] = key(PLANS)
    hosts: Hosts = key(Hosts())
    network: Network = key(Network())
    clients: Clients = key(Clients())
    authoriser: Authoriser = key(Authoriser())
    fault: tuple[Fault, ...] = key(())
    expect: Expect = key(Expect())

    def __post_init__(self) -> None:
        if not self.cls or not self.plan:
            raise ValueError("at least one class and one plan are needed")
        if sum(c.share for c in self.cls) <= 0:
            raise ValueError("the classes' shares add up to nothing")
        for plan in self.plan:
            if not 1 <= plan.spread[0] <= plan.spread[1]:
                raise ValueError(f"plan {plan.name}: spread runs backwards")
            if plan.heavy > plan.customers:
                raise ValueError(f"plan {plan.name}: more heavy customers than customers")
        for number, fault in enumerate(self.fault):
            if fault.at > self.length_s:
                raise ValueError(
                    f"fault[{number}] begins at {fault.at:g} s, after the end at {self.length_s:g} s"
                )
            for place in (*fault.gateways, *fault.a, *fault.b):
                if place >= self.gateways:
                    raise ValueError(
                        f"fault[{number}] names gateway {place}, there are {self.gateways}"
                    )
            if fault.kind.startswith("authoriser") and not self.authoriser.count:
                raise ValueError(f"fault[{number}] needs authorisers, authoriser.count is 0")
            for place in fault.hosts:
                if place >= self.hosts.count:
                    raise ValueError(
                        f"fault[{number}] names host {place}, there are {self.hosts.count}"
                    )

    def spread(self, plan: Plan) -> tuple[int, int]:
        """Least and greatest gateway set size of the plan's customers, limited to the number of gateways."""
        return min(plan.spread[0], self.gateways), min(plan.spread[1], self.gateways)


def load(path: Path | str) -> Scenario:
    """Loads a scenario; raises ``toml_schema.SchemaError`` with file, line, key and cause."""
    return toml_schema.load(Scenario, path)


def named(name: str) -> Path:
    """The file of the scenario with this name; a path is returned as it is."""
    if "/" in name or name.endswith(".toml"):
        return Path(name)
    path = FOLDER / f"{name}.toml"
    if not path.exists():
        known = ", ".join(sorted(p.stem for p in FOLDER.glob("*.toml")))
        raise toml_schema.SchemaError(f"no scenario is called {name!r} (there are: {known})")
    return path


def settings_of(scenario: Scenario, rank: int) -> dict[str, Any]:
    """The policy settings for a gateway, in their JSON form; times in microseconds."""
    effects = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
    hosts = scenario.hosts
    return {
        "balancers": scenario.gateways,
        "rank": rank,
        "locality": 0,
        "discovery": "pushed",
        "zones": ["hall-a", "hall-b", "hall-c"],
        "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "classes": [
            {
                "name": c.name,
                "effect": effects[c.effect],
                "group": c.group,
                "target": c.aim_ms * 1000,
                "deadline": c.deadline_ms * 1000,
                "dedupWindow": c.window_ms * 1000,
                "credit": c.worth,
                "lateWorth": c.late_worth,
            }
            for c in scenario.cls
        ],
        "familyInfo": {
            "peerIntake": scenario.network.peers_per_s,
            "sharedCounter": False,
            "unitsTop": 1,
        },
        "loadReport": {"how": "inline", "names": ["util", "latency_ms", "inflight"]},
        "packages": [
            {
                "name": p.name,
                "perSecond": p.rate,
                "peakUnits": p.burst,
                "open": 0,
                "pays": p.price,
                "beyondEarns": 0.0,
                "overrunCost": p.over_cost,
                "hardRate": p.rate * p.ceiling,
                "capDepth": p.burst * p.ceiling,
                "capSlack": slack(p),
            }
            for p in scenario.plan
        ],
        "permissions": {
            "peers": scenario.gateways > 1,
            "probes": True,
            "cancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxAttempts": 4,
            "maxRetryAfter": 1_000_000,
            "idleClose": int(hosts.idle_close_s * 1e6),
            "connectTimeout": 250_000,
        },
        "rules": {
            "askWithin": 10_000_000,
            "coldFrom": hosts.cold_from,
            "warmWithin": int(hosts.cold_s * 1e6),
            "fallMultiple": hosts.fall_multiple,
            "overloadFor": int(hosts.fall_s * 1e6),
            "drainGrace": 1_000_000,
        },
    }


def slack(plan: Plan) -> float:
    """The slack of a plan's rate ceiling in units: a tenth of the ceiling's burst, at least one request."""
    return max(1.0, 0.1 * plan.burst * plan.ceiling)


def operator_text(scenario: Scenario, addresses: list[str]) -> str:
    """The operator file of gateways that use these authorisation servers."""
    a = scenario.authoriser
    names = ", ".join(f'"{address}"' for address in addresses)
    return (
        f'[authz]\nauthorisers = [{names}]\nfail = "{a.fail}"\ntimeout_ms = {a.timeout_ms}\n'
        f"in_flight = {a.in_flight}\n"
        f"[authz.breaker]\nopen_most_ms = {a.open_most_ms}\n"
    )
