"""The burn report as one HTML page without any outside file.

The plots answer, in this order, what a person on call asks: who is burning, how
fast and since when, and what the waits look like.
"""

import html
import io
from collections.abc import Callable

import matplotlib

matplotlib.use("Agg")

import matplotlib.dates  # noqa: E402
import matplotlib.figure  # noqa: E402
import numpy as np  # noqa: E402

from lycheepost.generated.report import BurnSlot  # noqa: E402
from lycheepost.report.burn import (  # noqa: E402
    Alarm,
    Level,
    LevelBurn,
    PairBurn,
    dedupe_slots,
    events_of,
    objective_of,
)
from lycheepost.report.gather import BurnReport  # noqa: E402
from lycheepost.report.render import (  # noqa: E402
    render_coverage,
    render_rate,
    render_seconds,
    render_share,
    render_window,
)
from lycheepost.report.samples import BUCKET_BOUNDS_SECONDS  # noqa: E402

_SHOWN_PAIRS = 20
"""Pairs in the plots, the fastest burning first; the table lists all."""
_WIDTH_INCHES = 9.0
_TITLES = {
    Level.FIRST_TOKEN: "First token",
    Level.BETWEEN_TOKENS: "Between tokens",
    Level.SUCCESS: "Success",
    Level.EXACTLY_ONCE: "Exactly once",
}
_COLOURS = {
    Level.FIRST_TOKEN: "#1f6feb",
    Level.BETWEEN_TOKENS: "#8250df",
    Level.SUCCESS: "#bc4c00",
    Level.EXACTLY_ONCE: "#1a7f37",
}
_STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 70em; color: #222; }
table { border-collapse: collapse; }
td, th { padding: .25em .7em; text-align: left; border-bottom: 1px solid #ddd; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.missing { background: #fff1c2; padding: .4em .8em; border-left: 4px solid #d29922; }
.page { background: #ffd7d5; font-weight: bold; }
.ticket { background: #fff1c2; }
svg { max-width: 100%; height: auto; }
"""


def render_page(report: BurnReport) -> str:
    """Return the whole page."""
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        "<title>Service-level burn</title>",
        f"<style>{_STYLE}</style><h1>Service-level burn</h1>",
        _render_coverage(report),
        "<h2>Error budget left, three days</h2>",
        _draw(lambda figure: _plot_budgets(figure, report.pairs)),
        "<h2>Burn over time, all customers</h2>",
        _draw(lambda figure: _plot_history(figure, report)),
        "<h2>Time to first token</h2>",
        _draw(lambda figure: _plot_waits(figure, report)),
        "<h2>Every customer and model</h2>",
        _render_rows(report),
        "</html>",
    ]
    return "\n".join(parts)


def _render_coverage(report: BurnReport) -> str:
    lines = []
    for line in render_coverage(report):
        kind = " class=missing" if line.startswith("MISSING") else ""
        lines.append(f"<p{kind}>{html.escape(line)}</p>")
    return "\n".join(lines)


def _render_rows(report: BurnReport) -> str:
    rows = [
        "<table><tr><th>customer<th>model<th>requests<th>p50<th>p99<th>level"
        "<th>objective<th>budget left<th>alarm<th>burn rates"
    ]
    for pair in report.pairs:
        rows += [_render_row(pair, level) for level in pair.levels]
    rows.append("</table>")
    return "\n".join(rows)


def _render_row(pair: PairBurn, level: LevelBurn) -> str:
    rates = ", ".join(
        f"{render_window(window.window_seconds)} {render_rate(window.burn_rate)}"
        for window in level.windows
    )
    kind = "" if level.alarm is Alarm.NONE else level.alarm.value
    return (
        f"<tr class='{kind}'><td>{html.escape(pair.customer)}"
        f"<td>{html.escape(pair.model)}<td class=number>{pair.n_requests}"
        f"<td class=number>{render_seconds(pair.ttft_p50_seconds)}"
        f"<td class=number>{render_seconds(pair.ttft_p99_seconds)}"
        f"<td>{_TITLES[level.level]}<td class=number>{level.objective_share:.2%}"
        f"<td class=number>{render_share(level.budget_left_share)}"
        f"<td>{kind}<td>{rates}"
    )


def _draw(plot: Callable[[matplotlib.figure.Figure], None]) -> str:
    """Return a figure as inline SVG."""
    figure = matplotlib.figure.Figure(layout="constrained")
    plot(figure)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _plot_budgets(
    figure: matplotlib.figure.Figure, pairs: tuple[PairBurn, ...]
) -> None:
    """Bars of what is left, one group a pair; a spent budget goes left of zero."""
    shown = pairs[:_SHOWN_PAIRS]
    figure.set_size_inches(_WIDTH_INCHES, 1.2 + 0.55 * max(1, len(shown)))
    axes = figure.subplots()
    height = 0.8 / len(Level)
    for index, level in enumerate(Level):
        for row, pair in enumerate(shown):
            left = pair.levels[index].budget_left_share
            if left is None:
                continue
            # Far overspent bars are cut, and say so by their number.
            width = 100 * max(left, -1.0)
            place = row + (index - (len(Level) - 1) / 2) * height
            axes.barh(place, width, height * 0.9, color=_COLOURS[level])
            if left < 0:
                text = f" {100 * left:.0f}%"
                axes.text(0, place, text, va="center", fontsize=7, color="#a40e26")
        axes.barh(0, 0, color=_COLOURS[level], label=_TITLES[level])
    axes.set_yticks(
        range(len(shown)), [f"{pair.customer}\n{pair.model}" for pair in shown]
    )
    axes.invert_yaxis()
    axes.axvline(0, color="#222", linewidth=0.8)
    axes.set_xlim(-105, 105)
    axes.set_xlabel("error budget left, %")
    axes.legend(loc="lower left", fontsize=8)


def _plot_history(figure: matplotlib.figure.Figure, report: BurnReport) -> None:
    """Burn rate of each level by slot; slots without events leave gaps."""
    figure.set_size_inches(_WIDTH_INCHES, 3.6)
    axes = figure.subplots()
    slots = dedupe_slots(report.slots)
    length_seconds = min((slot.length_seconds for slot in slots), default=1)
    for level in Level:
        allowed_share = 1 - objective_of(level, report.objectives)
        times, rates = _rates_over_time(slots, level, allowed_share, length_seconds)
        if times:
            axes.plot(times, rates, ".-", label=_TITLES[level], color=_COLOURS[level])
    axes.axhline(1, color="#222", linewidth=0.8, linestyle="--")
    axes.set_yscale("symlog", linthresh=1)
    axes.set_ylim(bottom=0)
    axes.set_ylabel("burn rate (1 = spends it in 3 days)")
    locator = matplotlib.dates.AutoDateLocator()
    axes.xaxis.set_major_locator(locator)
    axes.xaxis.set_major_formatter(matplotlib.dates.ConciseDateFormatter(locator))
    axes.set_xlabel("UTC")
    if axes.lines:
        axes.legend(fontsize=8)


def _rates_over_time(
    slots: list[BurnSlot], level: Level, allowed_share: float, length_seconds: int
) -> tuple[list[np.datetime64], list[float]]:
    starts = sorted({slot.start_wall_seconds for slot in slots})
    times: list[np.datetime64] = []
    rates: list[float] = []
    for start in starts:
        events = [
            events_of(level, count)
            for slot in slots
            if slot.start_wall_seconds == start
            for count in slot.counts
        ]
        n_events = sum(event[0] for event in events)
        if times and start - times[-1].astype(int) > 2 * max(length_seconds, 3600):
            times.append(np.datetime64(start - 1, "s"))
            rates.append(float("nan"))
        if n_events:
            times.append(np.datetime64(start, "s"))
            rates.append(sum(event[1] for event in events) / n_events / allowed_share)
    return times, rates


def _plot_waits(figure: matplotlib.figure.Figure, report: BurnReport) -> None:
    """Share of answers within each wait, all customers of each model."""
    figure.set_size_inches(_WIDTH_INCHES, 3.6)
    axes = figure.subplots()
    sums: dict[str, np.ndarray] = {}
    for slot in dedupe_slots(report.slots):
        for count in slot.counts:
            if sum(count.first_token_buckets):
                buckets = np.array(count.first_token_buckets)
                sums[count.model] = sums.get(count.model, 0) + buckets
    for model, buckets in sorted(sums.items()):
        shares = 100 * np.cumsum(buckets)[:-1] / buckets.sum()
        axes.step(BUCKET_BOUNDS_SECONDS, shares, where="post", label=model)
    objective = report.objectives
    axes.axvline(objective.ttft_objective_seconds, color="#222", linestyle="--")
    axes.axhline(100 * objective.objective_share, color="#222", linestyle=":")
    axes.set_xscale("log")
    axes.set_xticks(BUCKET_BOUNDS_SECONDS, [f"{b:g}" for b in BUCKET_BOUNDS_SECONDS])
    axes.minorticks_off()
    axes.set_ylim(0, 102)
    axes.set_xlabel("seconds (dashed: objective)")
    axes.set_ylabel("answers within, % (dotted: objective)")
    if sums:
        axes.legend(fontsize=8)
