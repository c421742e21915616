"""Formats the JSON object of /admin/leases as text for ``saffrongw leases list`` and ``show``."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from saffrongw.admin import columns

JsonObject = dict[str, Any]

# Tasks that one cell of the table names.
MAX_TASKS_SHOWN = 3
MS_PER_S = 1_000


def timestamp(unix_s: float) -> str:
    """Return a Unix time in readable form."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def gateway_lines(state: JsonObject) -> list[str]:
    """Return the lines about the gateway itself, its problems and suspended leases."""
    since_ms = state["since_majority_ms"]
    last_majority = "never" if since_ms is None else f"{since_ms / MS_PER_S:.1f} s ago"
    kind = "voter" if state["is_voter"] else "no voter: it knows only what it holds itself"
    voters = ", ".join(state["voters"])
    lines = [
        f"gateway   {state['gateway']} ({kind}), life {state['life']}",
        f"voters    set {state['set']}: {voters}; a majority was heard {last_majority}",
    ]
    if state["silent_ms"]:
        silent_s = state["silent_ms"] / MS_PER_S
        lines.append(f"silent    for {silent_s:.1f} s yet, after its start")
    if not state["sealed"]:
        lines.append(
            "former    not sealed yet: nothing is granted"
            " before most of their voters have this file"
        )
    if state["set_seen"] > state["set"]:
        lines.append(f"old file  others have set {state['set_seen']}: this gateway gets nothing")
    if state["clock"]:
        lines.append(f"clock     {state['clock']}: it holds nothing")
    if state["not_believed"]:
        voters = ", ".join(state["not_believed"])
        lines.append(f"clock     of these voters is not believed: {voters}")
    return [*lines, *(_suspension_line(row) for row in state["holds"])]


def _suspension_line(row: JsonObject) -> str:
    reason = f": {row['why']}" if row["why"] else ""
    until = timestamp(row["until"])
    return f"hold      {row['lease']} until {until}, by {row['who']}{reason}"


def list_text(state: JsonObject) -> str:
    """Return the lines about the gateway, and a table of all leases with their holders."""
    rows = [("lease", "holder", "number", "left", "tasks", "hold")]
    rows += [_lease_cells(row) for row in state["leases"]]
    table = columns(rows) if state["leases"] else "no leases are known here"
    return "\n".join([*gateway_lines(state), "", table])


def _lease_cells(row: JsonObject) -> tuple[str, str, str, str, str, str]:
    tasks = ", ".join(row["tasks"][:MAX_TASKS_SHOWN])
    if len(row["tasks"]) > MAX_TASKS_SHOWN:
        tasks += f" +{len(row['tasks']) - MAX_TASKS_SHOWN}"
    return (
        row["lease"],
        row["holder"] or "nobody",
        str(row["number"]),
        f"{row['left_ms'] / MS_PER_S:.1f} s" if row["holder"] else "-",
        tasks or "-",
        f"by {row['hold']['who']}" if row["hold"] else "-",
    )


def show_text(state: JsonObject, name: str) -> str | None:
    """Return the details of one lease or task; None where the name is unknown."""
    tasks = [task for task in state["tasks"] if name in (task["task"], task["lease"])]
    lease = tasks[0]["lease"] if tasks else name
    row = next((row for row in state["leases"] if row["lease"] == lease), None)
    if row is None and not tasks:
        return None
    lines = [*gateway_lines(state), "", f"lease     {lease}"]
    if row:
        left = f", {row['left_ms'] / MS_PER_S:.1f} s left" if row["holder"] else ""
        lines.append(f"holder    {row['holder'] or 'nobody'}{left}, number {row['number']}")
    for task in tasks:
        lines += _task_lines(task)
    return "\n".join(lines)


def _task_lines(task: JsonObject) -> list[str]:
    last = "-"
    if not task["ours"]:
        last = "ask the holder"
    elif task["last_turn"] is not None:
        last = f"turn {task['last_turn']} is known, number {task['last_number']}"
    lines = [f"task      {task['task']}: it is turn {task['turn_now']}; {last}"]
    if task["last_end"]:
        detail = f": {task['detail']}" if task["detail"] else ""
        lines.append(f"          our last call: {task['last_end']}{detail}")
    return lines
