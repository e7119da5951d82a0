"""Renders the burn report as a table and as JSON."""

import math

import msgspec

from lycheepost.report.burn import Alarm, LevelBurn, PairBurn
from lycheepost.report.gather import BurnReport

_HEADINGS = ("customer", "model", "level", "objective", "left", "alarm", "burn rates")


def render_window(seconds: int) -> str:
    """Return a window's length in its largest whole unit, such as 6h."""
    for unit_seconds, unit in ((86400, "d"), (3600, "h"), (60, "m")):
        if seconds % unit_seconds == 0:
            return f"{seconds // unit_seconds}{unit}"
    return f"{seconds}s"


def render_coverage(report: BurnReport) -> list[str]:
    """Return lines that list which counts the report lacks."""
    lines = [f"{len(report.answered)} daemons answered"]
    lines += [f"MISSING {item.name}: {item.reason}" for item in report.missing]
    if report.history_gaps:
        lines.append(f"MISSING history: {report.history_gaps}")
    if report.n_slots_lost:
        lines.append(f"MISSING {report.n_slots_lost} slots that were never written")
    if report.disagreeing:
        names = ", ".join(report.disagreeing)
        lines.append(f"other objectives than the first daemon's: {names}")
    return lines


def render_table(report: BurnReport) -> str:
    """Return the report for a terminal, missing counts first."""
    rows: list[tuple[str, ...]] = [_HEADINGS]
    for pair in report.pairs:
        rows += [_render_level(pair, level) for level in pair.levels]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADINGS))]
    lines = render_coverage(report)
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _render_level(pair: PairBurn, level: LevelBurn) -> tuple[str, ...]:
    rates = " ".join(
        f"{render_window(window.window_seconds)}={render_rate(window.burn_rate)}"
        for window in level.windows
    )
    alarm = "" if level.alarm is Alarm.NONE else level.alarm.value.upper()
    return (
        pair.customer,
        pair.model,
        level.level.value,
        f"{level.objective_share:.2%}",
        render_share(level.budget_left_share),
        alarm,
        rates,
    )


def render_rate(rate: float | None) -> str:
    """Return a burn rate as text; a dash without events."""
    return "-" if rate is None else f"{rate:.2f}"


def render_share(share: float | None) -> str:
    """Return a share of the budget as text; a dash without events."""
    return "-" if share is None else f"{share:.0%}"


def render_seconds(seconds: float | None) -> str:
    """Return the bound of a histogram bucket as text."""
    if seconds is None:
        return "-"
    return "over 30 s" if math.isinf(seconds) else f"{seconds:g} s"


def encode(report: BurnReport) -> bytes:
    """Return the report as one line of JSON, without the raw slots."""
    document = msgspec.to_builtins(report)
    del document["slots"]
    document["is_complete"] = report.is_complete
    for pair in document["pairs"]:
        for name in ("ttft_p50_seconds", "ttft_p99_seconds"):
            # JSON has no infinity: a time above the last bound becomes null.
            if pair[name] is not None and math.isinf(pair[name]):
                pair[name] = None
    return msgspec.json.encode(document)
