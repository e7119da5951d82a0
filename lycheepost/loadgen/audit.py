"""Checks every answer of a run against its request and the targets' records.

Pure: it reads records and evidence and returns findings. The evidence is read from
the targets directly and not through the system under test, so that false answers of
the system are detected.

An answer that is marked as truncated is counted, but is no violation; a truncated
answer that looks finished is one. Requests that were given up, rejected or never
reached the system are counted too, and are violations only if the rejection was
untrue.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.loadgen.outcomes import (
    Answered,
    CallRecord,
    CompletionRecord,
    Executed,
    Record,
    Refused,
    ServiceAnswered,
    Truncated,
)
from lycheepost.loadgen.requests import Completion

MAX_SHOWN_VIOLATIONS = 20

_MIN_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class ExpectedAnswers:
    """Expected answers of the engines.

    Attributes:
        text: Returns the only correct answer to a completion.
        prompt_hash: Returns the hash that an engine records for the prompt.
    """

    text: Callable[[Completion], str]
    prompt_hash: Callable[[Completion], int]


class Fault(Enum):
    """Kinds of violation."""

    WRONG_TEXT = "wrong_text"
    """Not the expected answer: words are lost, duplicated or out of order."""
    CROSSED = "crossed"
    """The answer of another request, or an answer with another request's id."""
    LOOKS_FINISHED = "looks_finished"
    """A part of the answer that is marked as complete."""
    DOUBLED = "doubled"
    """A call that must run at most once ran more than once."""
    LOST = "lost"
    """A call that was acknowledged never ran."""
    UNTRUE_NOT_RUN = "untrue_not_run"
    """A refusal says that the request was not executed, but a target received it."""
    REFUSAL_UNMARKED = "refusal_unmarked"
    """A refusal that does not say whether the request ran."""
    RESEND_DIFFERS = "resend_differs"
    """Two attempts with the same key got answers with different bytes."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One fault of one request."""

    fault: Fault
    number: int
    request_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class Evidence:
    """What the targets recorded.

    Attributes:
        order_runs: Number of runs of each order; None if no plain service's
            record could be read.
        prompt_hashes: Hashes of all prompts that engines received; None if no
            engine's record could be read.
    """

    order_runs: Counter[str] | None = None
    prompt_hashes: frozenset[int] | None = None


@dataclass(frozen=True, slots=True)
class AuditReport:
    """Findings of one run.

    Attributes:
        n_unresolved_calls: Calls whose callers do not know whether they ran.
        is_order_record_read: Whether calls were checked against the services' record.
    """

    n_checked: int
    n_answers: int
    n_truncated: int
    n_calls: int
    n_sends: int
    n_unresolved_calls: int
    is_order_record_read: bool
    is_prompt_record_read: bool
    violations: tuple[Violation, ...] = field(default=())

    @property
    def is_clean(self) -> bool:
        """Whether no violation was found."""
        return not self.violations


def audit(
    records: Iterable[Record], evidence: Evidence, answers: ExpectedAnswers
) -> AuditReport:
    """Check every record and return the findings.

    Args:
        records: All requests of the run with their outcomes.
        evidence: What the targets recorded.
        answers: The expected answers.
    """
    records = tuple(records)
    answer_index = _index_answers(records, answers)
    violations: list[Violation] = []
    n_answers = n_truncated = n_calls = n_sends = n_unresolved = 0
    for record in records:
        match record:
            case CompletionRecord():
                violations += _check_completion(record, evidence, answer_index)
                n_answers += isinstance(record.outcome, Answered)
                n_truncated += isinstance(record.outcome, Truncated)
            case CallRecord():
                violations += _check_call(record, evidence)
                n_calls += 1
                n_sends += len(record.attempts)
                n_answers += _is_acknowledged(record)
                n_unresolved += _is_unresolved(record)
    return AuditReport(
        n_checked=len(records),
        n_answers=n_answers,
        n_truncated=n_truncated,
        n_calls=n_calls,
        n_sends=n_sends,
        n_unresolved_calls=n_unresolved,
        is_order_record_read=evidence.order_runs is not None,
        is_prompt_record_read=evidence.prompt_hashes is not None,
        violations=tuple(violations),
    )


@dataclass(frozen=True, slots=True)
class _AnswerIndex:
    """Expected texts and prompt hashes by request number, and the reverse."""

    texts: dict[int, str]
    numbers: dict[str, int]
    prompt_hashes: dict[int, int]


def _index_answers(
    records: tuple[Record, ...], answers: ExpectedAnswers
) -> _AnswerIndex:
    requests = [
        record.request for record in records if isinstance(record, CompletionRecord)
    ]
    texts = {request.number: answers.text(request) for request in requests}
    return _AnswerIndex(
        texts=texts,
        numbers={text: number for number, text in texts.items()},
        prompt_hashes={
            request.number: answers.prompt_hash(request) for request in requests
        },
    )


def _check_completion(
    record: CompletionRecord, evidence: Evidence, answer_index: _AnswerIndex
) -> Iterator[Violation]:
    expected = answer_index.texts[record.request.number]
    match record.outcome:
        case Answered() as answer:
            yield from _check_answer(record, answer, expected, answer_index)
        case Truncated(text=text, is_explicit=is_explicit):
            if not is_explicit:
                yield _violation(record, Fault.LOOKS_FINISHED, "ended without a marker")
            if not expected.startswith(text):
                yield _violation(
                    record, Fault.WRONG_TEXT, _first_difference(text, expected)
                )
        case Refused() as refusal:
            yield from _check_executed_header(
                record.request.number, record.request_id, refusal
            )
            hashes = evidence.prompt_hashes or frozenset()
            is_seen = answer_index.prompt_hashes[record.request.number] in hashes
            if refusal.executed is Executed.NO and is_seen:
                detail = f"status {refusal.status} {refusal.code}"
                yield _violation(record, Fault.UNTRUE_NOT_RUN, detail)


def _check_answer(
    record: CompletionRecord,
    answer: Answered,
    expected: str,
    answer_index: _AnswerIndex,
) -> Iterator[Violation]:
    if answer.echoed_request != record.request_id:
        yield _violation(record, Fault.CROSSED, f"echoed {answer.echoed_request!r}")
    if answer.text == expected:
        return
    owner = answer_index.numbers.get(answer.text)
    if owner is not None:
        yield _violation(record, Fault.CROSSED, f"text of request {owner}")
    elif expected.startswith(answer.text):
        detail = f"{len(answer.text)} of {len(expected)} characters"
        yield _violation(record, Fault.LOOKS_FINISHED, detail)
    else:
        yield _violation(
            record, Fault.WRONG_TEXT, _first_difference(answer.text, expected)
        )


def _check_executed_header(
    number: int, request_id: str, refusal: Refused
) -> Iterator[Violation]:
    if refusal.executed is Executed.ABSENT:
        detail = f"status {refusal.status} {refusal.code}"
        yield Violation(Fault.REFUSAL_UNMARKED, number, request_id, detail)


def _check_call(record: CallRecord, evidence: Evidence) -> Iterator[Violation]:
    number = record.request.number
    for attempt in record.attempts:
        match attempt.outcome:
            case Refused() as refusal:
                yield from _check_executed_header(number, attempt.request_id, refusal)
            case ServiceAnswered(echoed_request=echoed):
                if echoed != attempt.request_id:
                    detail = f"echoed {echoed!r}"
                    yield Violation(Fault.CROSSED, number, attempt.request_id, detail)
    bodies = {
        (attempt.outcome.status, attempt.outcome.body)
        for attempt in record.attempts
        if isinstance(attempt.outcome, ServiceAnswered)
    }
    request_id = record.attempts[-1].request_id if record.attempts else ""
    if len(bodies) > 1:
        detail = f"{len(bodies)} different answers"
        yield Violation(Fault.RESEND_DIFFERS, number, request_id, detail)
    for status, body in bodies:
        if status < _MIN_ERROR_STATUS and record.request.order.encode() not in body:
            detail = "the answer names another order"
            yield Violation(Fault.CROSSED, number, request_id, detail)
    if evidence.order_runs is not None:
        yield from _check_runs(record, request_id, evidence.order_runs)


def _check_runs(
    record: CallRecord, request_id: str, order_runs: Counter[str]
) -> Iterator[Violation]:
    number = record.request.number
    n_runs = order_runs[record.request.order]
    if n_runs > 1:
        yield Violation(Fault.DOUBLED, number, request_id, f"ran {n_runs} times")
    if n_runs == 0 and _is_acknowledged(record):
        yield Violation(Fault.LOST, number, request_id, "acknowledged and never ran")
    is_denied = bool(record.attempts) and all(
        isinstance(attempt.outcome, Refused) and attempt.outcome.executed is Executed.NO
        for attempt in record.attempts
    )
    if n_runs and is_denied:
        detail = f"every send was refused as not run, ran {n_runs} times"
        yield Violation(Fault.UNTRUE_NOT_RUN, number, request_id, detail)


def _is_acknowledged(record: CallRecord) -> bool:
    return any(
        isinstance(attempt.outcome, ServiceAnswered)
        and attempt.outcome.status < _MIN_ERROR_STATUS
        for attempt in record.attempts
    )


def _is_unresolved(record: CallRecord) -> bool:
    return not _is_acknowledged(record) and not all(
        isinstance(attempt.outcome, Refused) and attempt.outcome.executed is Executed.NO
        for attempt in record.attempts
    )


def _violation(record: CompletionRecord, fault: Fault, detail: str) -> Violation:
    return Violation(fault, record.request.number, record.request_id, detail)


def _first_difference(text: str, expected: str) -> str:
    """Describe where two texts differ, without showing either."""
    pairs = zip(text, expected, strict=False)
    n_equal = next(
        (index for index, (left, right) in enumerate(pairs) if left != right),
        min(len(text), len(expected)),
    )
    return f"differs at character {n_equal} of {len(expected)}"
