"""The log fields of one send of a request to a target."""

from dataclasses import dataclass

from lycheepost.callers.forwarddeps import ForwardRequest
from lycheepost.callers.forwardwork import part_names
from lycheepost.callers.reading import AttemptTrace
from lycheepost.callers.relaying import AnswerRelay, body_fields
from lycheepost.core.ids import SoftwareVersion
from lycheepost.decide.attempts import Sends
from lycheepost.decide.records import Dispatch, Work


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """One attempt as it was sent.

    Attributes:
        work: The request, as the scheduler knows it.
        sends: The attempts before.
        after_event: Id of the event after which a stream goes on, if any.
        sent_seconds: When it was sent.
        is_relayed: Whether another daemon relays the request to this one.
        retry_counts: The counts of the retry budget if it had arrived before, else
            none.
    """

    dispatch: Dispatch
    work: Work
    sends: Sends
    software_version: SoftwareVersion | None
    after_event: int | None
    sent_seconds: float
    is_relayed: bool
    retry_counts: dict[str, float]


def sent_fields(
    sent: SentAttempt,
    request: ForwardRequest,
    relay: AnswerRelay,
    trace: AttemptTrace,
    now_seconds: float,
) -> dict[str, object]:
    """Return the fields of an attempt that has ended, or whose target is silent.

    Args:
        sent: The attempt.
        request: The caller's request.
        relay: Relays the responses to the caller.
        trace: What the attempt has relayed.
        now_seconds: The current time.
    """
    return {
        "target": sent.dispatch.target,
        "has_written": trace.has_written,
        "parts": part_names(sent.work.parts),
        "n_arrivals_before": sent.sends.n_arrivals,
        "is_relayed": sent.is_relayed,
        **{f"retry_{name}": count for name, count in sent.retry_counts.items()},
        "software_version": sent.software_version,
        "after_event": sent.after_event,
        "resumed_id": request.resumed_id,
        "predicted_seconds": round(sent.dispatch.predicted_wait_seconds, 3),
        "expected_cached_tokens": sent.dispatch.expected_cached_tokens,
        "waited_seconds": round(sent.sent_seconds - request.arrived_seconds, 4),
        "held_seconds": round(now_seconds - sent.sent_seconds, 4),
        "first_seconds": relay.first_seconds,
        "longest_gap_seconds": relay.longest_gap_seconds,
        **body_fields(trace.body),
    }
