"""Feed hostile and damaged bytes to every edge that takes bytes.

Each edge is a hypothesis strategy and a check. A check fails when an edge raises
anything but its own typed error, lets through what it must not, or calls a write
refused that may have taken effect. ``features/fuzz`` runs every edge with a few
derandomized examples; this command runs them for as long as it is told:

    python tools/fuzz.py --seconds 600 --seed 1 [--edge NAME]

Exit code 0 when nothing was found, 1 otherwise; a finding prints its example.
"""

# ruff: noqa: E402
import argparse
import asyncio
import json
import logging
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

# Before the modules below make their loggers: hostile bytes fill any log.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)

from fuzzplatform import (
    ENTRIES,
    ERA_HEADERS,
    MEMBER_ROWS,
    STORE_ANSWERS,
    check_entry,
    check_era,
    check_member_row,
    check_store_answer,
)
from fuzzquotas import (
    QUOTA_COUNTS,
    QUOTA_DOCUMENTS,
    QUOTA_RECORDS,
    check_quota_counts,
    check_quota_document,
    check_quota_record,
)
from fuzzspeeds import (
    LOAD_HEADERS,
    SPEED_LISTS,
    check_load_header,
    check_speeds,
)
from fuzzstrategies import JSON, NESTED, NESTED_MSGPACK, mutated, with_fields

from lycheepost.app.settings import check_settings
from lycheepost.callers.parse import Endpoint, engine_body, parse_completion
from lycheepost.generated.engine import CacheEvents, EngineHealth, EngineLoad
from lycheepost.operators.intents import parse_intent
from lycheepost.peers.wire import MESSAGE_TYPES, WireCounts, decode_message
from lycheepost.ports.http_calls import HttpAnswer
from lycheepost.ports.http_table import HttpTable
from lycheepost.ports.table import (
    Committed,
    Condition,
    OutcomeUnknown,
    Row,
    TableError,
    Transaction,
    Write,
)
from lycheepost.report.history import unpack_slot
from lycheepost.state.revision_rows import decode_snapshot, read_deltas, read_head
from lycheepost.targets.sse import BrokenStreamError, EventChecker
from lycheepost.utils.documents import convert_document, parse_yaml

# Callers' bodies

_COMPLETION = with_fields(
    {
        "model": st.just("m") | JSON,
        "messages": st.lists(
            st.fixed_dictionaries({"role": st.just("user"), "content": JSON}),
            max_size=3,
        )
        | JSON,
        "prompt": st.text(max_size=20) | JSON,
        "max_tokens": st.integers(-2, 10) | JSON,
        "stream": st.booleans() | JSON,
        "cache_salt": st.just("stolen") | JSON,
        "priority": st.just(-9) | JSON,
        "stream_options": JSON,
        "n": JSON,
    }
)
BODIES = (
    st.binary(max_size=60)
    | NESTED
    | mutated(_COMPLETION.map(lambda body: json.dumps(body).encode()))
    | st.builds(
        # A field twice: whichever an engine reads, it must be ours.
        lambda body, value: (
            json.dumps(body).encode()[:-1]
            + b', "cache_salt": "stolen", "cache_salt": '
            + json.dumps(value).encode()
            + b"}"
        ),
        st.just({"model": "m", "messages": [{"role": "user", "content": "x"}]}),
        JSON,
    )
)


def check_body(body: bytes) -> None:
    """A body is refused by a typed error, or its salt and priority are ours."""
    for endpoint in Endpoint:
        match parse_completion(endpoint, body):
            case Success(call):
                sent = engine_body(call, "ours", 5, True)
                pairs = json.loads(sent, object_pairs_hook=list)
                names = Counter(name for name, _value in pairs)
                assert names["cache_salt"] == names["priority"] == 1, sent
                assert dict(pairs)["cache_salt"] == "ours", sent
            case Failure(error):
                assert 400 <= error.status < 500, error


# Engines' events

_ANSWER_ID = "chatcmpl-r1"


def make_stream(texts: list[str]) -> list[bytes]:
    """Return the events of a good stream."""
    chunks = [
        {"id": _ANSWER_ID, "choices": [{"index": 0, "delta": {"content": text}}]}
        for text in texts
    ]
    datas = [json.dumps(chunk, separators=(",", ":")) for chunk in chunks] + ["[DONE]"]
    return [
        f"id: {number}\ndata: {data}\n\n".encode()
        for number, data in enumerate(datas, start=1)
    ]


_TEXTS = st.lists(st.text(max_size=6), min_size=1, max_size=6)
_GOOD_STREAM = _TEXTS.map(make_stream)
CUT_STREAMS = st.tuples(_GOOD_STREAM, st.lists(st.integers(1, 40), max_size=10))
_SHUFFLED = st.tuples(_GOOD_STREAM, st.lists(st.integers(0, 6), max_size=12)).map(
    lambda pair: (pair[0], b"".join(pair[0][i % len(pair[0])] for i in pair[1]))
)
_DAMAGED = _GOOD_STREAM.flatmap(
    lambda events: st.tuples(st.just(events), mutated(st.just(b"".join(events))))
)
BAD_STREAMS = _SHUFFLED | _DAMAGED


def check_cut_stream(example: tuple[list[bytes], list[int]]) -> None:
    """However a good stream is cut into reads, all of it comes through."""
    events, lengths = example
    data = b"".join(events)
    checker = EventChecker(_ANSWER_ID)
    got = b""
    for length in lengths:
        got += checker.feed(data[:length])
        data = data[length:]
    got += checker.feed(data)
    assert got == b"".join(events), got
    assert checker.is_done


def check_bad_stream(example: tuple[list[bytes], bytes]) -> None:
    """Of doubled, lost or swapped events only whole ones in order come through."""
    events, data = example
    checker = EventChecker(_ANSWER_ID)
    got = b""
    try:
        got = checker.feed(data)
    except BrokenStreamError:
        return
    numbers = [part.split(b"\n")[0] for part in got.split(b"\n\n") if part]
    expected = [f"id: {number + 1}".encode() for number in range(len(numbers))]
    is_whole_events = got.endswith(b"\n\n") or not got
    assert is_whole_events, got
    assert [number.strip() for number in numbers] == expected or data != b"".join(
        events
    ), got


# Frames of peers

_FRAMES = st.builds(
    lambda kind, version, body: msgspec.msgpack.encode(
        {"version": version, "kind": kind, "sender": "d", "body": body}
    ),
    st.sampled_from(sorted(MESSAGE_TYPES)) | st.text(max_size=5),
    st.integers(0, 3),
    JSON.map(lambda value: json_to_msgpack(value)) | st.binary(max_size=40),
)
FRAMES = st.binary(max_size=60) | NESTED_MSGPACK | mutated(_FRAMES)


def json_to_msgpack(value: Any) -> bytes:
    """Return a document as msgpack; numbers too large for it become text."""
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return msgspec.msgpack.encode(str(value))


def check_frame(data: bytes) -> None:
    """A frame gives a known message or is counted; it never raises."""
    counts = WireCounts()
    message = decode_message(data, counts)
    known = tuple(MESSAGE_TYPES.values())
    assert message is None or isinstance(message, known), message


# Operators' documents

SETTINGS = (
    st.binary(max_size=60).map(lambda data: data.decode(errors="replace"))
    | JSON.map(json.dumps)
    | with_fields(
        {
            "deployment": st.just("x") | JSON,
            "daemon": JSON,
            "platform": JSON,
            "peers": with_fields({"secret_key": st.just("sekret-value")}),
            "limits": JSON,
            "fallback_configuration": JSON,
        }
    ).map(json.dumps)
)


def check_settings_text(text: str) -> None:
    """Settings are accepted or every fault is told; no secret is shown."""
    match parse_yaml(text).bind(check_settings):
        case Failure(faults):
            assert faults
            assert not any("sekret-value" in str(fault) for fault in faults), faults


INTENTS = JSON | with_fields(
    {
        "kind": st.sampled_from(["create_customer", "retire_target", "hold_ready"])
        | JSON,
        "customer": st.text(max_size=8) | JSON,
        "target": JSON,
        "changes": st.lists(JSON, max_size=3),
    }
)


def check_intent(document: Any) -> None:
    """An intent is accepted or its faults are told."""
    match parse_intent(document):
        case Failure(faults):
            assert faults


_ENGINE_RECORDS = (CacheEvents, EngineHealth, EngineLoad)
ENGINE_ANSWERS = JSON | with_fields(
    {
        "boot_id": st.text(max_size=5) | JSON,
        "events": st.lists(JSON, max_size=3),
        "state": JSON,
        "n_running": st.integers() | JSON,
        "age_seconds": JSON,
    }
)


def check_engine_answer(document: Any) -> None:
    """A load, health or cache-events answer is a record or has faults."""
    for record in _ENGINE_RECORDS:
        match convert_document("engine", document, record, record.__name__):
            case Success(value):
                assert isinstance(value, record)
            case Failure(faults):
                assert faults


# The platform's answers and stored bytes

TABLE_ANSWERS = st.tuples(
    st.sampled_from([200, 200, 200, 409, 429, 500, 503, 302, 404]),
    st.binary(max_size=40)
    | NESTED
    | mutated(
        st.just(b'{"rows":[{"key":"k","value":"AA==","version":3}],"next_key":null}')
    )
    | st.just(b'{"versions":[7]}')
    | st.just(b'{"rows":[]}'),
)


class _OneAnswer:
    """Stands for the HTTP caller and gives one answer to every call."""

    def __init__(self, answer: HttpAnswer) -> None:
        self._answer = answer

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[HttpAnswer, Any]:
        return Success(self._answer)


def check_table_answer(example: tuple[int, bytes]) -> None:
    """An unreadable answer to a write leaves its outcome unknown, not refused."""
    table = HttpTable(_OneAnswer(HttpAnswer(*example)))  # type: ignore[arg-type]
    transaction = Transaction((Condition("k", 0),), (Write("k", b"v"),))
    match asyncio.run(table.commit(transaction)):
        case Success(value):
            assert isinstance(value, Committed)
        case Failure(error):
            assert isinstance(error, TableError)
            assert example[0] != 200 or isinstance(error, OutcomeUnknown), error
    match asyncio.run(table.read(("k",))):
        case Success(rows):
            assert len(rows) == 1, rows
        case Failure(error):
            assert isinstance(error, TableError)


STORED = st.binary(max_size=60) | NESTED_MSGPACK | mutated(JSON.map(json_to_msgpack))


class _OneValue:
    """Stands for a table whose every row holds the same bytes."""

    def __init__(self, value: bytes) -> None:
        self._value = value

    async def read(self, keys: tuple[str, ...]) -> Result[Any, TableError]:
        return Success(tuple(Row(key, self._value, 1) for key in keys))


def check_stored(data: bytes) -> None:
    """Damaged rows and objects are typed failures; no reader dies of them."""
    table: Any = _OneValue(data)
    assert isinstance(asyncio.run(read_head(table)), Result)
    assert isinstance(asyncio.run(read_deltas(table, 0, 2)), Result)  # type: ignore[arg-type]
    assert isinstance(decode_snapshot(data), Result)
    unpack_slot(data)


@dataclass(frozen=True)
class Edge:
    """One edge that takes bytes."""

    strategy: st.SearchStrategy[Any]
    check: Callable[[Any], None]


EDGES = {
    "callers' bodies": Edge(BODIES, check_body),
    "cut event streams": Edge(CUT_STREAMS, check_cut_stream),
    "damaged event streams": Edge(BAD_STREAMS, check_bad_stream),
    "peers' frames": Edge(FRAMES, check_frame),
    "settings": Edge(SETTINGS, check_settings_text),
    "intents": Edge(INTENTS, check_intent),
    "engines' reports": Edge(ENGINE_ANSWERS, check_engine_answer),
    "table answers": Edge(TABLE_ANSWERS, check_table_answer),
    "stored rows and objects": Edge(STORED, check_stored),
    "servers' entries": Edge(ENTRIES, check_entry),
    "answers of the platform's store": Edge(STORE_ANSWERS, check_store_answer),
    "eras that the store states": Edge(ERA_HEADERS, check_era),
    "rows of daemons and duties": Edge(MEMBER_ROWS, check_member_row),
    "peers' counts of quotas": Edge(QUOTA_COUNTS, check_quota_counts),
    "loads that servers state": Edge(LOAD_HEADERS, check_load_header),
    "peers' speeds of targets": Edge(SPEED_LISTS, check_speeds),
    "operators' quotas": Edge(QUOTA_DOCUMENTS, check_quota_document),
    "records of quotas' use": Edge(QUOTA_RECORDS, check_quota_record),
}


def run_edge(name: str, n_examples: int, run_seed: int | None = None) -> None:
    """Run one edge; derandomized without a seed. Raises on a finding."""
    edge = EDGES[name]
    options = settings(
        max_examples=n_examples,
        derandomize=run_seed is None,
        database=None,
        deadline=None,
        phases=(Phase.explicit, Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )

    def check(example: Any) -> None:
        edge.check(example)

    test = options(given(edge.strategy)(check))
    if run_seed is not None:
        test = seed(run_seed)(test)
    test()


def main() -> int:
    """Run the edges in turns until the time is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--edge", choices=sorted(EDGES), default=None)
    parser.add_argument("--examples", type=int, default=500, help="Per edge and turn.")
    arguments = parser.parse_args()
    names = [arguments.edge] if arguments.edge else list(EDGES)
    until_seconds = time.monotonic() + arguments.seconds
    n_examples: Counter[str] = Counter()
    findings: set[str] = set()
    turn = arguments.seed
    while time.monotonic() < until_seconds and len(findings) < len(names):
        for name in names:
            if name in findings:
                continue
            try:
                run_edge(name, arguments.examples, turn)
            except Exception as error:
                findings.add(name)
                print(f"FOUND in {name}, seed {turn}: {type(error).__name__}: {error}")
                print("\n".join(getattr(error, "__notes__", [])))
            n_examples[name] += arguments.examples
        turn += 1
    for name in names:
        verdict = "FOUND" if name in findings else "nothing found"
        print(f"{name}: up to {n_examples[name]} examples, {verdict}")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
