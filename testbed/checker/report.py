"""A run's verdict as a text table, as JSON, and as a self-contained HTML page."""

from __future__ import annotations

import html
import json
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path

from ..model.scenario import Scenario
from .record import Answered, Closed, Fault, GatewayEvent, Late, Log, Sent
from .rules import RULES, Finding, Tally, Verdict, percentiles

TIMELINE_STEP_US = 500_000
MAX_USAGE_CURVES = 9  # drawn for the customers with the most requests relative to their quota
SECOND = 1_000_000


def _format_seconds(at: int, begin: int) -> str:
    return f"{(at - begin) / SECOND:.3f}"


def _align_columns(rows: Sequence[Sequence[object]]) -> str:
    """Rows with aligned columns: the first one left-justified, the others right-justified."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in texts) for i in range(len(texts[0]))]
    return "\n".join(
        "  ".join(
            c.ljust(w) if i == 0 else c.rjust(w)
            for i, (c, w) in enumerate(zip(row, widths, strict=True))
        )
        for row in texts
    )


def _service_rows(tallies: dict[str, Tally]) -> list[list[str]]:
    rows = []
    for name, t in tallies.items():
        times = percentiles(t.latencies)
        share = t.worth_served / t.worth_inside if t.worth_inside else 1.0
        rows.append(
            [name, t.offered, t.served, t.in_time, t.refused, t.failed, f"{share:.3f}"]
            + [f"{times.get(p, 0):.0f}" for p in ("p50", "p90", "p99")]
        )
    return [[str(cell) for cell in row] for row in rows]


SERVICE_COLUMNS = [
    "",
    "offered",
    "served",
    "in time",
    "refused",
    "failed",
    "service",
    "p50 ms",
    "p90 ms",
    "p99 ms",
]


def one_line(scenario: Scenario, verdict: Verdict, tries: int = 1) -> str:
    """The verdict on one line."""
    t = verdict.totals
    rules = ", ".join(f"{rule} {count}" for rule, count in sorted(verdict.counts.items()))
    again = f" (try {tries})" if tries > 1 else ""
    return (
        f"{scenario.name:<18} {verdict.outcome:<12} service {verdict.service:.3f}  offered {t['offered']}  "
        f"served {t['served']}  refused {t['refused']}  failed {t['failed']}{again}"
        + (f"  [{rules}]" if rules else "")
    )


def table(scenario: Scenario, log: Log, verdict: Verdict) -> str:
    """The verdict for a terminal: service, the customers furthest over their quota, and the first findings."""
    begin = log.began
    parts = [one_line(scenario, verdict), ""]
    parts.append(
        _align_columns(
            [SERVICE_COLUMNS, *_service_rows(verdict.plans), *_service_rows(verdict.classes)]
        )
    )
    uses = sorted(verdict.uses, key=lambda u: -(u.beyond / max(1, u.allowed_beyond)))[:5]
    rows = [["customer", "plan", "asked", "sent on", "beyond quota", "allowed", "least in ceiling"]]
    for u in uses:
        low = "" if u.ceiling_low is None else f"{u.ceiling_low:.1f}"
        rows.append([str(u.customer), u.plan, str(u.asked), f"{u.sent:.0f}", f"{u.beyond:.0f}"])
        rows[-1] += [f"{u.allowed_beyond:.1f}", low]
    parts += ["", _align_columns(rows), ""]
    parts.append(
        f"stand-ins late {verdict.late / 1000:.0f} ms, gateways waited {verdict.starved / 1000:.0f} ms for a core"
    )
    if verdict.findings:
        parts += ["", f"{sum(verdict.counts.values())} findings:"]
        for f in verdict.findings[:20]:
            parts.append(f"  {'' if f.certain else 'UNCERTAIN '}{_finding_line(f, begin)}")
        if sum(verdict.counts.values()) > 20:
            parts.append("  ...")
    return "\n".join(parts)


def _finding_line(f: Finding, begin: int) -> str:
    where = " ".join(
        part
        for part in (
            f"request {f.request}" if f.request else "",
            f"gateway n{f.gateway}" if f.gateway >= 0 else "",
            f"host {f.host}" if f.host else "",
        )
        if part
    )
    return (
        f"{f.rule} at {_format_seconds(f.at, begin)} s: {f.what}"
        + (f" ({where})" if where else "")
        + (f" - {f.evidence}" if f.evidence else "")
    )


def as_json(scenario: Scenario, verdict: Verdict) -> str:
    """The verdict as JSON."""
    return json.dumps(
        {"scenario": scenario.name, "seed": scenario.seed, **verdict.as_json()}, indent=1
    )


# -- the page ---------------------------------------------------------------------------------------------------

_STYLE = """
body{font:14px/1.45 system-ui,sans-serif;margin:24px auto;max-width:1100px;color:#1d2733;background:#fff}
h1{font-size:22px;margin:0 0 4px}h2{font-size:16px;margin:28px 0 8px}
.passed{color:#12733a}.broken{color:#b3261e}.inconclusive{color:#8a5a00}
table{border-collapse:collapse;width:100%}td,th{padding:3px 8px;border-bottom:1px solid #e3e8ee;text-align:right}
td:first-child,th:first-child{text-align:left}td.text{text-align:left}svg{width:100%;height:auto;display:block}
.legend span{display:inline-block;margin-right:16px}.legend i{display:inline-block;width:12px;height:12px;margin-right:5px;
vertical-align:-1px;border-radius:2px}.grid{display:grid;grid-template-columns:repeat(3,1fr);gap:10px}
.muted{color:#5b6b7c}
"""
_COLOURS = {"offered": "#8fa3b8", "served": "#1f8a4c", "refused": "#d08a00", "failed": "#c0352b"}
_W, _H, _LEFT, _TOP, _BOTTOM = 1080, 300, 46, 64, 26


def _count_by_step(log: Log, begin: int, end: int) -> dict[str, list[int]]:
    number = max(1, -(-(end - begin) // TIMELINE_STEP_US))
    found = {name: [0] * number for name in _COLOURS}

    def count(name: str, at: int) -> None:
        place = (at - begin) // TIMELINE_STEP_US
        if 0 <= place < number:
            found[name][place] += 1

    for sent in log.of(Sent):
        count("offered", sent.at)
    for answer in log.of(Answered):
        count(answer.kind if answer.kind in found else "failed", answer.at)
    for closed in log.of(Closed):
        if closed.by != "left":
            count("failed", closed.at)
    return found


def _x_position(at: int, begin: int, end: int, width: int, left: int) -> float:
    return left + (width - left - 8) * (at - begin) / max(1, end - begin)


def _timeline(log: Log, verdict: Verdict, begin: int, end: int) -> str:
    bins = _count_by_step(log, begin, end)
    top = max([1, *(max(values) for values in bins.values())])
    floor, span = _H - _BOTTOM, _H - _BOTTOM - _TOP
    out = [f'<svg viewBox="0 0 {_W} {_H}" role="img" aria-label="tries over time">']
    for late in log.of(Late):
        x = _x_position(max(begin, late.at), begin, end, _W, _LEFT)
        w = max(1.0, _x_position(late.until, begin, end, _W, _LEFT) - x)
        out.append(
            f'<rect x="{x:.1f}" y="{_TOP}" width="{w:.1f}" height="{span}" fill="#e9d5ff"><title>the stand-ins stood still</title></rect>'
        )
    for place, fault in enumerate(log.of(Fault)):
        x = _x_position(fault.at, begin, end, _W, _LEFT)
        w = (
            max(2.0, _x_position(min(end, fault.until), begin, end, _W, _LEFT) - x)
            if fault.until
            else 2.0
        )
        label = html.escape(fault.what + (f": {fault.detail}" if fault.detail else ""))
        y = 12 + 13 * (place % 4)
        out.append(
            f'<rect x="{x:.1f}" y="{_TOP}" width="{w:.1f}" height="{span}" fill="#f4c7c3" opacity=".45"><title>{label}</title></rect>'
        )
        out.append(
            f'<text x="{min(x, _W - 260):.1f}" y="{y}" font-size="11" fill="#8c2f27">{label}</text>'
        )
        out.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{y + 3}" y2="{floor}" stroke="#c0352b" stroke-dasharray="2 3"/>'
        )
    for event in log.of(GatewayEvent):
        if event.what in ("kill", "exit", "ready", "hup", "term") and begin < event.at < end:
            x = _x_position(event.at, begin, end, _W, _LEFT)
            out.append(
                f'<circle cx="{x:.1f}" cy="{floor + 6}" r="3" fill="#334"><title>n{event.gateway} {html.escape(event.what)}</title></circle>'
            )
    for second in range(
        0, int((end - begin) / SECOND) + 1, max(1, round((end - begin) / SECOND / 12))
    ):
        x = _x_position(begin + second * SECOND, begin, end, _W, _LEFT)
        out.append(
            f'<text x="{x:.1f}" y="{_H - 6}" font-size="11" text-anchor="middle" fill="#5b6b7c">{second} s</text>'
        )
    for part in range(5):
        y = floor - span * part / 4
        out.append(f'<line x1="{_LEFT}" x2="{_W - 8}" y1="{y:.1f}" y2="{y:.1f}" stroke="#e3e8ee"/>')
        rate = top * part / 4 * SECOND / TIMELINE_STEP_US
        out.append(
            f'<text x="{_LEFT - 6}" y="{y + 4:.1f}" font-size="11" text-anchor="end" fill="#5b6b7c">{rate:.0f}/s</text>'
        )
    for name, values in bins.items():
        points = " ".join(
            f"{_x_position(begin + i * TIMELINE_STEP_US + TIMELINE_STEP_US // 2, begin, end, _W, _LEFT):.1f},{floor - span * value / top:.1f}"
            for i, value in enumerate(values)
        )
        out.append(
            f'<polyline points="{points}" fill="none" stroke="{_COLOURS[name]}" stroke-width="1.8"/>'
        )
    for finding in verdict.findings[:60]:
        x = _x_position(min(max(begin, finding.at), end), begin, end, _W, _LEFT)
        colour = "#b3261e" if finding.certain else "#8a5a00"
        out.append(
            f'<path d="M{x:.1f} {_TOP} l5 -9 h-10 z" fill="{colour}"><title>{html.escape(_finding_line(finding, begin))}</title></path>'
        )
    return "".join(out) + "</svg>"


def _usage_curve(use, scenario: Scenario, begin: int, end: int) -> str:
    plan = next(p for p in scenario.plan if p.name == use.plan)
    width, height, left = 340, 150, 8
    length = (end - begin) / SECOND
    quota = plan.burst + plan.rate * length
    ceiling = quota * plan.ceiling
    top = max(quota, use.sent, 1.0) * 1.08

    def y(units: float) -> float:
        return height - 18 - (height - 40) * units / top

    def x(at: int) -> float:
        return _x_position(at, begin, end, width, left)

    out = [
        f'<svg viewBox="0 0 {width} {height}" role="img" aria-label="use of customer {use.customer}">'
    ]
    lines = [(plan.burst, quota, "#1f8a4c", "quota")]
    if ceiling and ceiling <= top:
        lines.append((plan.burst * plan.ceiling, ceiling, "#c0352b", "ceiling"))
    for low, high, colour, name in lines:
        out.append(
            f'<line x1="{x(begin):.1f}" y1="{y(low):.1f}" x2="{x(end):.1f}" y2="{y(high):.1f}" stroke="{colour}" stroke-dasharray="4 3"><title>{name}</title></line>'
        )
    step = max(1, len(use.curve) // 300)
    points = [f"{x(begin):.1f},{y(0):.1f}"]
    points += [f"{x(at):.1f},{y(units):.1f}" for at, units in use.curve[::step]]
    out.append(
        f'<polyline points="{" ".join(points)}" fill="none" stroke="#2457a6" stroke-width="1.6"/>'
    )
    label = f"customer {use.customer}, {use.plan}: asked {use.asked}, sent on {use.sent:.0f}, beyond {use.beyond:.0f}"
    out.append(f'<text x="{left}" y="13" font-size="11" fill="#1d2733">{html.escape(label)}</text>')
    return "".join(out) + "</svg>"


def _html_table(head: Iterable[str], rows: Iterable[Sequence[str]], text_from: int = 99) -> str:
    out = ["<table><tr>", *(f"<th>{html.escape(name)}</th>" for name in head), "</tr>"]
    for row in rows:
        out.append("<tr>")
        for place, cell in enumerate(row):
            kind = ' class="text"' if place >= text_from else ""
            out.append(f"<td{kind}>{html.escape(str(cell))}</td>")
        out.append("</tr>")
    return "".join(out) + "</table>"


def page(scenario: Scenario, log: Log, verdict: Verdict) -> str:
    """The whole report as one HTML page."""
    begin = log.began
    end = begin + int(scenario.length_s * SECOND) if log.finished is None else log.finished
    asked = {p.name: p.burst + p.rate * scenario.length_s for p in scenario.plan}
    uses = sorted(verdict.uses, key=lambda u: -(u.asked / asked[u.plan]))[:MAX_USAGE_CURVES]
    counts = Counter(verdict.counts)
    rules = [(rule, why, str(counts.get(rule, 0))) for rule, why in RULES.items()]
    legend = "".join(
        f'<span><i style="background:{c}"></i>{name}</span>' for name, c in _COLOURS.items()
    )
    parts = [
        '<!doctype html><html lang="en"><head><meta charset="utf-8">',
        f"<title>{html.escape(scenario.name)}: {verdict.outcome}</title><style>{_STYLE}</style></head><body>",
        f'<h1>{html.escape(scenario.name)}: <span class="{verdict.outcome}">{verdict.outcome}</span></h1>',
        f'<p class="muted">{html.escape(scenario.about)} Seed {scenario.seed}, {scenario.gateways} gateways, ',
        f"{scenario.hosts.count} hosts, {scenario.length_s:g} s. Service {verdict.service:.3f}. The stand-ins stood still ",
        f"for {verdict.late / 1000:.0f} ms, gateways waited {verdict.starved / 1000:.0f} ms for a core.</p>",
        f'<h2>Tries over time</h2><div class="legend">{legend}</div>{_timeline(log, verdict, begin, end)}',
        "<h2>Rules</h2>",
        _html_table(("rule", "what it says", "findings"), rules, 1),
        "<h2>Service</h2>",
        _html_table(
            SERVICE_COLUMNS, [*_service_rows(verdict.plans), *_service_rows(verdict.classes)]
        ),
        "<h2>Use against quota</h2>",
        '<p class="muted">Units sent on by all gateways together (blue), the quota (green), the ceiling (red).</p>',
        '<div class="grid">',
        *(f"<div>{_usage_curve(use, scenario, begin, end)}</div>" for use in uses),
        "</div>",
    ]
    if verdict.findings:
        rows = [
            (
                f.rule,
                _format_seconds(f.at, begin),
                "" if f.certain else "uncertain",
                f.request,
                f"n{f.gateway}" if f.gateway >= 0 else "",
                f.host,
                f.what,
                f.evidence,
            )
            for f in verdict.findings
        ]
        head = ("rule", "s", "", "request", "gateway", "host", "what", "evidence")
        parts += ["<h2>Findings</h2>", _html_table(head, rows, 2)]
    return "".join([*parts, "</body></html>"])


def write(folder: Path, scenario: Scenario, log: Log, verdict: Verdict) -> Path:
    """Write the report files to a folder and return the path of the HTML page."""
    (folder / "verdict.json").write_text(as_json(scenario, verdict))
    (folder / "report.txt").write_text(table(scenario, log, verdict) + "\n")
    path = folder / "report.html"
    path.write_text(page(scenario, log, verdict))
    return path
