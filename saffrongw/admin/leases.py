"""``saffrongw leases``: shows a gateway's leases and tasks, and releases or suspends leases."""

from __future__ import annotations

import argparse
import getpass
import http.client
import json
import re

from saffrongw.admin import input_error
from saffrongw.admin.lease_text import JsonObject, list_text, show_text
from saffrongw.gateway.config import Address, parse_address

ANSWER_TIMEOUT_S = 5.0
# Exit status of ``list`` where no majority of voters answers, the gateway's clock is wrong, or its
# file is older than that of others.
ALARM_STATUS = 1
# Time without answers of a majority of voters, above which ``list`` exits with ALARM_STATUS.
MAX_SINCE_MAJORITY_MS = 120_000
SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3_600, "d": 86_400}


class AdminCallError(Exception):
    """A gateway can't be reached or rejects the call; the message says why."""


def call_gateway(admin: Address, method: str, path: str, body: bytes = b"") -> bytes:
    """Make one call to a gateway's admin address; raise ``AdminCallError`` where it fails."""
    connection = http.client.HTTPConnection(*admin, timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        text = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise AdminCallError(f"{admin[0]}:{admin[1]}: {error}") from None
    finally:
        connection.close()
    if answer.status == http.client.NOT_FOUND and text == b"no such call\n":
        raise AdminCallError(f"{admin[0]}:{admin[1]}: this gateway has no [leases]")
    if answer.status != http.client.OK:
        raise AdminCallError(text.decode(errors="replace").strip())
    return text


def parse_span(text: str) -> float:
    """Return a duration in seconds; it is written ``90s``, ``10m``, ``2h`` or ``1d``."""
    match = re.fullmatch(r"([0-9.]{1,12})([smhd]?)", text)
    try:
        if match is None:
            raise ValueError(text)
        return float(match[1]) * SECONDS_BY_UNIT[match[2] or "s"]
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is no span; 90s, 10m, 2h, 1d are") from None


def arguments(commands: argparse._SubParsersAction) -> None:
    """Add the command with its options and subcommands."""
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
    release = what.add_parser(
        "release", help="have this gateway give a lease back; another one takes it"
    )
    release.add_argument("name", help="a lease or a task")
    suspend = what.add_parser("hold", help="nobody gets a lease until it ends")
    suspend.add_argument("name", help="a lease or a task")
    suspend.add_argument(
        "--for",
        dest="span",
        type=parse_span,
        required=True,
        metavar="SPAN",
        help="90s, 10m, 2h; 0 ends it",
    )
    suspend.add_argument("--why", default="", help="shown to all who ask")
    suspend.add_argument("--who", default="", help="else the name of the user")


def run(options: argparse.Namespace) -> int:
    """Carry out the command; return its exit status, 2 where it failed."""
    try:
        admin = parse_address(options.admin)
    except ValueError as error:
        return input_error(error)
    try:
        if options.what == "release":
            return _print_answer(admin, "/admin/leases/release", options.name.encode())
        if options.what == "hold":
            return _print_answer(admin, "/admin/leases/hold", _suspend_body(options))
        state = json.loads(call_gateway(admin, "GET", "/admin/leases"))
    except (AdminCallError, ValueError) as error:
        return input_error(error)
    if options.what == "show":
        return _show(state, options.name, options.json)
    print(json.dumps(state) if options.json else list_text(state))
    return ALARM_STATUS if _needs_attention(state) else 0


def _print_answer(admin: Address, path: str, body: bytes) -> int:
    print(call_gateway(admin, "POST", path, body).decode().strip())
    return 0


def _suspend_body(options: argparse.Namespace) -> bytes:
    fields = {
        "lease": options.name,
        "for_s": options.span,
        "who": options.who or getpass.getuser(),
        "why": options.why,
    }
    return json.dumps(fields).encode()


def _show(state: JsonObject, name: str, as_json: bool) -> int:
    text = show_text(state, name)
    if text is None:
        return input_error(f"no lease or task is called {name!r}")
    if as_json:
        matching = {
            key: [row for row in state[key] if name in (row.get("task"), row["lease"])]
            for key in ("leases", "tasks")
        }
        text = json.dumps(state | matching)
    print(text)
    return 0


def _needs_attention(state: JsonObject) -> bool:
    since_ms = state["since_majority_ms"]
    if since_ms is None or since_ms > MAX_SINCE_MAJORITY_MS:
        return True
    return bool(state["clock"]) or state["set_seen"] > state["set"]
