"""Reports the results of one run as a record, a table and JSON."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from lycheepost.loadgen.audit import MAX_SHOWN_VIOLATIONS, AuditReport
from lycheepost.loadgen.outcomes import (
    Answered,
    CallRecord,
    CompletionRecord,
    GaveUp,
    Record,
    Refused,
    ServiceAnswered,
    Unreached,
)
from lycheepost.loadgen.requests import Completion

_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_MICROSECONDS = 600 * _MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Quantiles of one distribution; zero if it is empty."""

    n_values: int
    p50_seconds: float
    p95_seconds: float
    p99_seconds: float
    max_seconds: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Results of a run as its callers saw them.

    Attributes:
        n_over_bound: Arrivals that were not sent because too many requests were in
            flight.
        hit_rate: Cached prompt tokens divided by prompt tokens, from the answers.
        reusable_tokens: Prompt tokens of levels that some engine had computed for
            an earlier answer of this run.
        recomputed_tokens: Reusable tokens that were computed again.
        refusals: Number of refusals by reason.
    """

    elapsed_seconds: float
    n_sent: int
    n_over_bound: int
    n_answered: int
    n_refused: int
    n_gave_up: int
    n_unreached: int
    prompt_tokens: int
    cached_tokens: int
    hit_rate: float
    reusable_tokens: int
    recomputed_tokens: int
    completion_tokens: int
    ttft: Quantiles
    worst_gap: Quantiles
    call: Quantiles
    refusals: dict[str, int]
    audit: AuditReport

    @property
    def exit_code(self) -> int:
        """Return 0 for an audit of at least one answer without violations, else 1."""
        return 0 if self.audit.is_clean and self.audit.n_answers else 1


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to ten minutes."""
    return HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Add one value, limited to the range of the histogram."""
    microseconds = max(1, int(seconds * _MICROSECONDS_PER_SECOND))
    histogram.record_value(min(microseconds, _MAX_MICROSECONDS))


def read_quantiles(histogram: HdrHistogram) -> Quantiles:
    """Return the reported quantiles of ``histogram``."""
    if not histogram.get_total_count():
        return Quantiles(0, 0.0, 0.0, 0.0, 0.0)

    def at(percentile: float) -> float:
        return (
            float(histogram.get_value_at_percentile(percentile))
            / _MICROSECONDS_PER_SECOND
        )

    return Quantiles(histogram.get_total_count(), at(50), at(95), at(99), at(100))


def make_report(
    records: Iterable[Record],
    findings: AuditReport,
    elapsed_seconds: float,
    n_sent: int,
    n_over_bound: int,
) -> LoadReport:
    """Compute the report of a run from its records."""
    records = tuple(records)
    ttft, gaps, calls = make_histogram(), make_histogram(), make_histogram()
    counts: Counter[str] = Counter()
    refusals: Counter[str] = Counter()
    reuse = _Reuse()
    for outcome, request in _final_outcomes(records):
        counts[type(outcome).__name__] += 1
        match outcome:
            case Answered():
                record_seconds(ttft, outcome.ttft_seconds)
                if outcome.worst_gap_seconds:
                    record_seconds(gaps, outcome.worst_gap_seconds)
                if request is not None:
                    reuse.add(request, outcome)
            case ServiceAnswered(seconds=seconds):
                record_seconds(calls, seconds)
            case Refused(code=code, status=status):
                refusals[code or str(status)] += 1
    return LoadReport(
        elapsed_seconds=elapsed_seconds,
        n_sent=n_sent,
        n_over_bound=n_over_bound,
        n_answered=counts[Answered.__name__] + counts[ServiceAnswered.__name__],
        n_refused=counts[Refused.__name__],
        n_gave_up=counts[GaveUp.__name__],
        n_unreached=counts[Unreached.__name__],
        prompt_tokens=reuse.prompt_tokens,
        cached_tokens=reuse.cached_tokens,
        hit_rate=reuse.cached_tokens / max(1, reuse.prompt_tokens),
        reusable_tokens=reuse.reusable_tokens,
        recomputed_tokens=reuse.recomputed_tokens,
        completion_tokens=reuse.completion_tokens,
        ttft=read_quantiles(ttft),
        worst_gap=read_quantiles(gaps),
        call=read_quantiles(calls),
        refusals=dict(refusals),
        audit=findings,
    )


def _final_outcomes(
    records: tuple[Record, ...],
) -> Iterable[tuple[object, Completion | None]]:
    for record in records:
        match record:
            case CompletionRecord():
                yield record.outcome, record.request
            case CallRecord(attempts=attempts):
                outcomes = [attempt.outcome for attempt in attempts]
                answers = [
                    outcome
                    for outcome in outcomes
                    if isinstance(outcome, ServiceAnswered)
                ]
                ends = [*outcomes, *answers]
                if ends:
                    yield ends[-1], None


class _Reuse:
    """Counts prompt tokens that were computed more than once.

    The tokens of a level are estimated from its share of the prompt's characters,
    because only the engine counts tokens.
    """

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.completion_tokens = 0
        self.reusable_tokens = 0
        self.recomputed_tokens = 0
        self._computed: set[tuple[str, str]] = set()

    def add(self, request: Completion, answer: Answered) -> None:
        """Add one answer; answers are added in the order in which they ended."""
        self.prompt_tokens += answer.prompt_tokens
        self.cached_tokens += answer.cached_tokens
        self.completion_tokens += answer.completion_tokens
        n_characters = sum(len(section.text) for section in request.sections)
        n_reusable = 0
        for section in request.sections:
            name = (request.customer, section.name)
            if name in self._computed:
                n_reusable += len(section.text)
            self._computed.add(name)
        reusable_tokens = answer.prompt_tokens * n_reusable // max(1, n_characters)
        self.reusable_tokens += reusable_tokens
        self.recomputed_tokens += max(0, reusable_tokens - answer.cached_tokens)


def encode(report: LoadReport) -> bytes:
    """Return the report as one line of JSON."""
    document = msgspec.to_builtins(report)
    document["exit_code"] = report.exit_code
    document["audit"]["is_clean"] = report.audit.is_clean
    return msgspec.json.encode(document)


def render_table(report: LoadReport) -> str:
    """Return the report as a table that ends with the result of the audit."""
    findings = report.audit
    rows = [
        ("time", f"{report.elapsed_seconds:.1f} s"),
        ("sent", f"{report.n_sent}, over the bound {report.n_over_bound}"),
        ("answered", f"{report.n_answered}"),
        ("refused", f"{report.n_refused} {_render_counts(report.refusals)}"),
        ("gave up", f"{report.n_gave_up}"),
        ("unreached", f"{report.n_unreached}"),
        ("truncated", f"{findings.n_truncated}"),
        ("prefix hit rate", f"{report.hit_rate:.1%} of {report.prompt_tokens} tokens"),
        ("recomputed", _render_recomputed(report)),
        ("first token", _render_quantiles(report.ttft)),
        ("worst gap", _render_quantiles(report.worst_gap)),
        ("service call", _render_quantiles(report.call)),
        ("calls audited", _render_calls(findings)),
        ("answers audited", f"{findings.n_answers}, {_render_verdict(findings)}"),
    ]
    lines = [f"{name:<16}{value}" for name, value in rows]
    for item in findings.violations[:MAX_SHOWN_VIOLATIONS]:
        lines.append(
            f"  {item.fault.value}: request {item.number} "
            f"({item.request_id}): {item.detail}"
        )
    return "\n".join(lines)


def _render_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


def _render_recomputed(report: LoadReport) -> str:
    share = report.recomputed_tokens / max(1, report.prompt_tokens)
    return f"{report.recomputed_tokens} tokens, {share:.1%} of all prompt tokens"


def _render_quantiles(values: Quantiles) -> str:
    if not values.n_values:
        return "none"
    return (
        f"p50 {values.p50_seconds * 1000:.1f} ms, p95 {values.p95_seconds * 1000:.1f}"
        f" ms, p99 {values.p99_seconds * 1000:.1f} ms, most"
        f" {values.max_seconds * 1000:.1f} ms (n={values.n_values})"
    )


def _render_calls(findings: AuditReport) -> str:
    source = "against the services' record"
    if not findings.is_order_record_read:
        source = "the services' record was not read"
    return (
        f"{findings.n_calls} in {findings.n_sends} sends, "
        f"{findings.n_unresolved_calls} unresolved, {source}"
    )


def _render_verdict(findings: AuditReport) -> str:
    if findings.is_clean:
        return "no violation"
    return f"{len(findings.violations)} violations"
