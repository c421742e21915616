"""``saffrongw leases``: what a running gateway knows of leases and tasks, and what an operator does to them."""

from __future__ import annotations

import argparse
import getpass
import http.client
import json
import re
from datetime import UTC, datetime

from saffrongw.admin import columns, unusable
from saffrongw.gateway.config import parse_address

WITHIN = 5.0  # seconds for an answer
ALARM_STATUS = 1  # exit status of ``list`` where no majority is heard, or a clock is wrong
SPANS = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}


class Away(Exception):
    """The gateway can't be asked, or says no."""


def ask(at: tuple[str, int], method: str, path: str, body: bytes = b"") -> bytes:
    """One call at a gateway's operators' address."""
    connection = http.client.HTTPConnection(*at, timeout=WITHIN)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        text = answer.read()
    except (OSError, http.client.HTTPException) as wrong:
        raise Away(f"{at[0]}:{at[1]}: {wrong}") from None
    finally:
        connection.close()
    if answer.status == 404 and text == b"no such call\n":
        raise Away(f"{at[0]}:{at[1]}: this gateway has no [leases]")
    if answer.status != 200:
        raise Away(text.decode(errors="replace").strip())
    return text


def span_of(text: str) -> float:
    """``90s``, ``10m``, ``2h``, ``1d`` in seconds."""
    found = re.fullmatch(r"([0-9.]{1,12})([smhd]?)", text)
    try:
        return float(found[1]) * SPANS[found[2] or "s"]
    except (TypeError, ValueError):
        raise argparse.ArgumentTypeError(f"{text!r} is no span; 90s, 10m, 2h, 1d are") from None


def when(at: float) -> str:
    """Unix seconds as people read them."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def head(state: dict) -> list[str]:
    """Of the gateway itself, with what is wrong."""
    since = state["since_majority_ms"]
    heard = "never" if since is None else f"{since / 1000:.1f} s ago"
    kind = "voter" if state["is_voter"] else "no voter: it knows only what it holds itself"
    lines = [
        f"gateway   {state['gateway']} ({kind}), life {state['life']}",
        f"voters    set {state['set']}: {', '.join(state['voters'])}; a majority was heard {heard}",
    ]
    if state["silent_ms"]:
        lines.append(f"silent    for {state['silent_ms'] / 1000:.1f} s yet, after its start")
    if not state["sealed"]:
        lines.append(
            "former    not sealed yet: nothing is granted before most of their voters have this file"
        )
    if state["set_seen"] > state["set"]:
        lines.append(f"old file  others have set {state['set_seen']}: this gateway gets nothing")
    if state["clock"]:
        lines.append(f"clock     {state['clock']}: it holds nothing")
    if state["not_believed"]:
        lines.append(
            f"clock     of these voters is not believed: {', '.join(state['not_believed'])}"
        )
    for hold in state["holds"]:
        why = f": {hold['why']}" if hold["why"] else ""
        lines.append(
            f"hold      {hold['lease']} until {when(hold['until'])}, by {hold['who']}{why}"
        )
    return lines


def list_text(state: dict) -> str:
    """Leases with their holders."""
    rows = [("lease", "holder", "number", "left", "tasks", "hold")]
    for row in state["leases"]:
        left = f"{row['left_ms'] / 1000:.1f} s" if row["holder"] else "-"
        tasks = ", ".join(row["tasks"][:3]) + (
            f" +{len(row['tasks']) - 3}" if len(row["tasks"]) > 3 else ""
        )
        hold = f"by {row['hold']['who']}" if row["hold"] else "-"
        rows.append(
            (row["lease"], row["holder"] or "nobody", str(row["number"]), left, tasks or "-", hold)
        )
    return "\n".join(
        [*head(state), "", columns(rows) if len(rows) > 1 else "no leases are known here"]
    )


def show_text(state: dict, name: str) -> str | None:
    """One lease or task, all of it."""
    tasks = [t for t in state["tasks"] if name in (t["task"], t["lease"])]
    lease = tasks[0]["lease"] if tasks else name
    row = next((r for r in state["leases"] if r["lease"] == lease), None)
    if row is None and not tasks:
        return None
    lines = [*head(state), "", f"lease     {lease}"]
    if row:
        left = f", {row['left_ms'] / 1000:.1f} s left" if row["holder"] else ""
        lines.append(f"holder    {row['holder'] or 'nobody'}{left}, number {row['number']}")
    for t in tasks:
        last = (
            f"turn {t['last_turn']} is known, number {t['last_number']}"
            if t["last_turn"] is not None
            else "-"
        )
        if not t["ours"]:
            last = "ask the holder"
        lines.append(f"task      {t['task']}: it is turn {t['turn_now']}; {last}")
        if t["last_end"]:
            lines.append(
                f"          our last call: {t['last_end']}{': ' + t['detail'] if t['detail'] else ''}"
            )
    return "\n".join(lines)


def arguments(commands: argparse._SubParsersAction) -> None:
    """Of the command."""
    leases = commands.add_parser("leases", help="who does the fleet's tasks")
    leases.add_argument(
        "--admin",
        required=True,
        metavar="HOST:PORT",
        help="the operators' address of a gateway, best of a voter",
    )
    leases.add_argument("--json", action="store_true", help="JSON")
    what = leases.add_subparsers(dest="what", required=True)
    what.add_parser(
        "list", help="all leases; status 1 where no majority is heard or a clock is wrong"
    )
    what.add_parser("show", help="one lease or task").add_argument("name")
    give = what.add_parser(
        "release", help="have this gateway give a lease back; another one takes it"
    )
    give.add_argument("name", help="a lease or a task")
    hold = what.add_parser("hold", help="nobody gets a lease until it ends")
    hold.add_argument("name", help="a lease or a task")
    hold.add_argument(
        "--for",
        dest="span",
        type=span_of,
        required=True,
        metavar="SPAN",
        help="90s, 10m, 2h; 0 ends it",
    )
    hold.add_argument("--why", default="", help="shown to all who ask")
    hold.add_argument("--who", default="", help="else the name of the user")


def run(given: argparse.Namespace) -> int:
    """Carry one of them out; 2 where that can't be done."""
    try:
        at = parse_address(given.admin)
    except ValueError as wrong:
        return unusable(wrong)
    try:
        if given.what == "release":
            print(ask(at, "POST", "/admin/leases/release", given.name.encode()).decode().strip())
            return 0
        if given.what == "hold":
            asked = {
                "lease": given.name,
                "for_s": given.span,
                "who": given.who or getpass.getuser(),
                "why": given.why,
            }
            print(
                ask(at, "POST", "/admin/leases/hold", json.dumps(asked).encode()).decode().strip()
            )
            return 0
        state = json.loads(ask(at, "GET", "/admin/leases"))
    except (Away, ValueError) as wrong:
        return unusable(wrong)
    if given.what == "show":
        text = show_text(state, given.name)
        if text is None:
            return unusable(f"no lease or task is called {given.name!r}")
        if given.json:
            keep = ("leases", "tasks")
            chosen = {
                k: [r for r in state[k] if given.name in (r.get("task"), r["lease"])] for k in keep
            }
            text = json.dumps(state | chosen)
        print(text)
        return 0
    print(json.dumps(state) if given.json else list_text(state))
    since = state["since_majority_ms"]
    bad = since is None or since > 120_000 or state["clock"] or state["set_seen"] > state["set"]
    return ALARM_STATUS if bad else 0
