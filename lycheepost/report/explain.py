"""Collects the log lines of one request and explains why it ended as it did.

Pure functions over lines, which may come from several daemons, in any order, and
with a prefix of a log collector in front of the JSON.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

_CAUSE_BY_CODE = {
    "not_configured": "The daemon had just started and held no configuration yet.",
    "key_unconfirmed": (
        "The daemon had not reached the store for so long that the key might have "
        "been taken away meanwhile."
    ),
    "invalid_api_key": "The key is in no configuration that was in force.",
    "no_route": "No route of the configuration in force matches host and path.",
    "no_target": "No target took new work: all had left, failed, or were changing.",
    "deadline": "The time that its caller waits was up, or would have been.",
    "over_share": "Its customer asked for more than its share while others waited.",
    "over_quota": (
        "Its customer had used up its quota; what is left stands in the status."
    ),
    "queue_full": "The queue was full.",
    "quarantined": (
        "Targets had been lost while they ran this same request, or others with a part"
        " of its prompt."
    ),
    "retry_budget": "Targets failed it, and the budget of retries was used up.",
    "shutting_down": "The daemon was leaving.",
    "outcome_unknown": "A target was lost with it; whether it ran is not known.",
    "not_run": "Every target that was tried refused it unrun.",
    "too_large": "Its body was larger than the configuration allows.",
    "bad_path": "Its path could not be forwarded byte for byte.",
    "bad_prompt": "What it said of its prompt could not be read.",
    "headers_too_large": "Its headers were larger than the configuration allows.",
    "too_slow": "Its body stopped coming.",
    "internal_error": "The daemon itself failed; its log holds the exception.",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of a log.

    Attributes:
        fields: All fields of the line.
    """

    fields: dict[str, object]

    def text(self, name: str) -> str:
        """Return a field as text; empty if it is missing."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs show about one request.

    Attributes:
        lines: Its lines in order of their timestamps.
        cause: One or more sentences.
    """

    lines: tuple[LogLine, ...]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Parse a line of a log; None if it holds no JSON object."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip())
    except msgspec.DecodeError:
        return None
    return LogLine(fields) if isinstance(fields, dict) else None


def explain(texts: Iterable[str], request_id: str) -> Explanation:
    """Explain the end of a request.

    Args:
        texts: Lines of logs, in any order.
        request_id: Id of the request, as given by its caller.
    """
    parsed = (parse_line(text) for text in texts if request_id in text)
    found = [
        line
        for line in parsed
        if line is not None and line.text("request_id") == request_id
    ]
    found.sort(key=lambda line: line.text("timestamp"))
    return Explanation(tuple(found), _describe_cause(found))


def _describe_cause(lines: list[LogLine]) -> str:
    if not lines:
        return (
            "No line names it: it did not come to these daemons in this time, or "
            "their logs dropped lines (look for 'logs: lines dropped')."
        )
    attempts = [line for line in lines if line.text("event") == "forward: sent"]
    parts = [_describe_attempt(number, line) for number, line in enumerate(attempts, 1)]
    return " ".join([*parts, _describe_end(lines, attempts)])


def _describe_attempt(number: int, line: LogLine) -> str:
    end = line.text("end")
    target = line.text("target")
    if end.startswith("not sent"):
        return f"It was placed at {target} and {end}."
    held = line.text("held_seconds")
    return f"Send {number} went to {target} and ended after {held} s: {end}."


def _describe_end(lines: list[LogLine], attempts: list[LogLine]) -> str:
    for line in reversed(lines):
        match line.text("event"):
            case "ingress: answered with an error":
                return _describe_error(line)
            case "relay: answer cut":
                last = line.text("last_event") or "none"
                return f"Its answer was cut after event {last}; no target could go on."
            case "ingress: client left":
                return "Its caller left before the end."
            case "ingress: failed":
                return _CAUSE_BY_CODE["internal_error"]
    if attempts and attempts[-1].text("end") == "served":
        return "It was served."
    return "Its end is not in these lines."


def _describe_error(line: LogLine) -> str:
    code = line.text("code")
    cause = _CAUSE_BY_CODE.get(code, f"The code is {code}.")
    status = line.text("status")
    executed = line.text("executed")
    return f"{cause} It was answered {status}; executed: {executed}."
