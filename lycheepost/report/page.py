"""Renders the burn report as one self-contained HTML page.

The plots show, in the order in which a person on call needs them: which customers
spend their error budgets, the burn rates over time, and the times to first token.
"""

import html
import io
import math
from collections.abc import Callable
from datetime import UTC, datetime

import matplotlib

matplotlib.use("Agg")

import matplotlib.dates  # noqa: E402
import matplotlib.figure  # noqa: E402
import numpy as np  # noqa: E402

from lycheepost.generated.report import BurnSlot  # noqa: E402
from lycheepost.report.burn import (  # noqa: E402
    HOUR_SECONDS,
    Alarm,
    LevelBurn,
    PairBurn,
    ServiceLevel,
    count_events,
    dedupe_slots,
    objective_share_of,
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

_MAX_PLOTTED_PAIRS = 20
"""Pairs of customer and model in the plots, most urgent first; the table has all."""
_WIDTH_INCHES = 9.0
_AXIS_TICKS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
_TITLES = {
    ServiceLevel.FIRST_TOKEN: "First token",
    ServiceLevel.BETWEEN_TOKENS: "Between tokens",
    ServiceLevel.SUCCESS: "Success",
    ServiceLevel.EXACTLY_ONCE: "Exactly once",
}
_COLOURS = {
    ServiceLevel.FIRST_TOKEN: "#1f6feb",
    ServiceLevel.BETWEEN_TOKENS: "#8250df",
    ServiceLevel.SUCCESS: "#bc4c00",
    ServiceLevel.EXACTLY_ONCE: "#1a7f37",
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
    """Return the HTML page."""
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
        _draw(lambda figure: _plot_first_token_times(figure, report)),
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
    """Plot the budget left as one group of bars per pair; overspent is negative."""
    shown = pairs[:_MAX_PLOTTED_PAIRS]
    figure.set_size_inches(_WIDTH_INCHES, 1.2 + 0.55 * max(1, len(shown)))
    axes = figure.subplots()
    height = 0.8 / len(ServiceLevel)
    for index, level in enumerate(ServiceLevel):
        for row, pair in enumerate(shown):
            left = pair.levels[index].budget_left_share
            if left is None:
                continue
            # Bars are clipped at -100 %; the number shows the full value.
            width = 100 * max(left, -1.0)
            position = row + (index - (len(ServiceLevel) - 1) / 2) * height
            axes.barh(position, width, height * 0.9, color=_COLOURS[level])
            if left < 0:
                text = f" {100 * left:.0f}%"
                axes.text(0, position, text, va="center", fontsize=7, color="#a40e26")
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
    """Plot the hourly burn rate of each level; hours without events leave gaps."""
    figure.set_size_inches(_WIDTH_INCHES, 3.6)
    axes = figure.subplots()
    slots = dedupe_slots(report.slots)
    for level in ServiceLevel:
        allowed_share = 1 - objective_share_of(level, report.objectives)
        times, rates = _rates_by_hour(slots, level, allowed_share)
        if times:
            axes.plot(
                matplotlib.dates.date2num(times),
                rates,
                ".-",
                label=_TITLES[level],
                color=_COLOURS[level],
            )
    axes.axhline(1, color="#222", linewidth=0.8, linestyle="--")
    axes.set_yscale("symlog", linthresh=1)
    axes.set_ylim(bottom=0)
    axes.set_ylabel("burn rate (1 spends it in 3 days)")
    axes.xaxis_date()
    locator = matplotlib.dates.AutoDateLocator()
    axes.xaxis.set_major_locator(locator)
    axes.xaxis.set_major_formatter(matplotlib.dates.ConciseDateFormatter(locator))
    axes.set_xlabel("UTC")
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=8, loc="upper left")


def _rates_by_hour(
    slots: list[BurnSlot], level: ServiceLevel, allowed_share: float
) -> tuple[list[float], list[float]]:
    """Return the burn rate of every hour; five-minute slots hold too few events."""
    sums: dict[int, tuple[int, int]] = {}
    for slot in slots:
        hour = slot.start_wall_seconds // HOUR_SECONDS
        for count in slot.counts:
            n_events, n_bad = count_events(level, count)
            before = sums.get(hour, (0, 0))
            sums[hour] = (before[0] + n_events, before[1] + n_bad)
    if not sums:
        return [], []
    hours = range(min(sums), max(sums) + 1)
    rates = [_rate(*sums.get(hour, (0, 0)), allowed_share) for hour in hours]
    if all(math.isnan(rate) for rate in rates):
        return [], []
    starts = [datetime.fromtimestamp(hour * HOUR_SECONDS, UTC) for hour in hours]
    times = [float(matplotlib.dates.date2num(start)) for start in starts]
    return times, rates


def _rate(n_events: int, n_bad: int, allowed_share: float) -> float:
    return n_bad / n_events / allowed_share if n_events else math.nan


def _plot_first_token_times(
    figure: matplotlib.figure.Figure, report: BurnReport
) -> None:
    """Plot the cumulative share of first tokens by time, per model."""
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
    axes.set_xticks(
        _AXIS_TICKS_SECONDS, [f"{bound:g}" for bound in _AXIS_TICKS_SECONDS]
    )
    axes.minorticks_off()
    axes.set_ylim(0, 102)
    axes.set_xlabel("seconds (dashed: objective)")
    axes.set_ylabel("answers within, % (dotted: objective)")
    if sums:
        axes.legend(fontsize=8)
