"""Clients of a soak, which judge each answer as it comes."""

import asyncio
import time

from soakanswers import SentAttempt
from soakparts import QUARANTINED
from soakrun import LOST_KEY, SoakRun
from soakstreams import MAX_BYTES, VERSIONS, StreamClient, TakenStream

from lycheepost.app.platformdemo import (
    N_ALBUMS,
    DemoRequest,
    as_generated,
    check_answer,
    make_demo_request,
    make_prompt_headers,
)
from lycheepost.app.platformfleet import KEYS, Answer
from lycheepost.platform import headers as names
from lycheepost.platform.models.streamaudit import versions_of

_NOT_RUN = (408, 421, 429, 503)


async def ask(run: SoakRun, number: int) -> None:
    """Send one request through one daemon, and judge its answer."""
    fleet = run.fleet
    n_events = run.play.n_events
    asked = make_demo_request(run.rng, number, n_events)
    if asked.kind == "title":
        await ask_and_take_up(run, asked)
        return
    key = run.rng.choice((*KEYS, LOST_KEY))
    prompt = make_prompt_headers(run.rng, asked, n_events)
    headers = fleet.headers(key, **prompt)
    attempt_id = headers[names.ATTEMPT_ID]
    index = run.rng.randrange(len(fleet.processes))
    started_seconds = time.monotonic()
    attempt = run.note_sent(attempt_id, index, asked.path, key)
    answer = Answer(None, is_whole=False)
    try:
        async with asyncio.timeout(4.0):
            answer = await fleet.ask(
                asked.method, asked.path, headers, asked.body, index, MAX_BYTES
            )
    except TimeoutError:
        # A client that leaves; what came of its request is checked at the end.
        attempt.gave_up = True
    attempt.ended_seconds = time.monotonic()
    attempt.status, attempt.is_whole = answer.status, answer.is_whole
    elapsed_seconds = time.monotonic() - started_seconds
    if answer.status == 200 and answer.is_whole:
        run.words.handed_on_seconds[attempt_id] = time.monotonic()
    run.parts.note_answer(attempt_id, answer.body)
    asked = as_generated(asked, answer, VERSIONS, n_events)
    if is_endless(run, asked, {attempt_id}, answer):
        return
    check_answer(fleet, asked, attempt_id, answer, elapsed_seconds, run.report)
    if answer.status in _NOT_RUN and names.SEAL not in answer.headers:
        run.refused.add(attempt_id)


def is_endless(run: SoakRun, asked: DemoRequest, ids: set[str], answer: Answer) -> bool:
    """Count a body that its server sent without end; nobody can tell it is wrong."""
    found = (
        answer.status == 200
        and bool(ids & run.answers.with_body)
        and not asked.expected.startswith(answer.body)
    )
    if found:
        run.report.outcomes[f"{asked.kind} without end"] += 1
    return found


async def ask_and_take_up(run: SoakRun, asked: DemoRequest) -> None:
    """Ask for one stream, take it up where it is lost, and judge all of it."""
    key = run.rng.choice((*KEYS, LOST_KEY))
    started_seconds = time.monotonic()
    n_events = run.play.n_events
    tries: list[SentAttempt] = []

    def note_sent(attempt_id: str, index: int) -> None:
        attempt = run.note_sent(attempt_id, index, asked.path, key)
        attempt.is_continued = bool(tries)
        tries.append(attempt)

    def note_ended(stream: TakenStream, has_left: bool) -> None:
        tries[-1].ended_seconds = time.monotonic()
        tries[-1].status, tries[-1].is_whole = stream.status, stream.is_whole
        tries[-1].has_left = has_left

    client = StreamClient(run.fleet, run.rng, note_sent, note_ended, n_events)
    prompt = make_prompt_headers(run.rng, asked, n_events)
    stream, attempt_id = TakenStream(), ""
    try:
        async with asyncio.timeout(4.0):
            stream, attempt_id = await client.run(asked, key, prompt)
    except TimeoutError:
        tries[-1].ended_seconds = time.monotonic()
        tries[-1].gave_up = True
        return
    run.parts.note_answer(attempt_id, stream.refusal)
    if stream.is_whole:
        run.words.handed_on_seconds[attempt_id] = time.monotonic()
    run.report.outcomes["title taken up"] += stream.n_taken_up
    run.report.outcomes["title went on"] += stream.n_gone_on
    versions = versions_of(asked.body, stream.events, VERSIONS)
    if versions is not None and len(versions) > 1:
        run.mixed.append(attempt_id)
        return
    answer = Answer(
        200 if stream.events else stream.status,
        body=stream.body,
        is_whole=stream.is_whole,
    )
    elapsed_seconds = time.monotonic() - started_seconds
    generated = as_generated(asked, answer, VERSIONS, n_events)
    ids = {attempt.attempt_id for attempt in tries}
    if is_endless(run, generated, ids, answer):
        return
    check_answer(run.fleet, generated, attempt_id, answer, elapsed_seconds, run.report)


async def ask_with_part(run: SoakRun, part_id: str, number: int) -> None:
    """Ask for a title or a once-only stream with a crashing part; nobody misses it."""
    path = run.rng.choice(("/title/x", "/title/x", "/album/x"))
    index = run.rng.randrange(len(run.fleet.processes))
    shared = f"a0:2520,b{run.rng.randrange(N_ALBUMS):x}:3780"
    parts = f"{shared},{part_id}:100,own-{part_id}-{number}:20"
    headers = run.fleet.prompt_headers("k-one", parts=parts)
    attempt_id = headers[names.ATTEMPT_ID]
    run.parts.attempts[part_id].add(attempt_id)
    run.note_request(attempt_id, index, path, "k-one")
    try:
        async with asyncio.timeout(4.0):
            body = attempt_id.encode()
            answer = await run.fleet.ask("POST", path, headers, body, index)
    except TimeoutError:
        return
    run.faults["requests with a part refused"] += QUARANTINED in answer.body
    if answer.status in _NOT_RUN and names.SEAL not in answer.headers:
        run.refused.add(attempt_id)


async def drive(run: SoakRun) -> None:
    """Send requests until the faults are over and a little longer."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < run.until_seconds + 2.0:
            number += 1
            group.create_task(ask(run, number))
            await asyncio.sleep(run.rng.expovariate(run.play.rate_per_second))
