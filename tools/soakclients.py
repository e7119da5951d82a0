"""Clients of a soak, which judge each answer as it comes."""

import asyncio
import time

from soakparts import QUARANTINED
from soakrun import LOST_KEY, SoakRun
from soakstreams import VERSIONS, StreamClient, TakenStream

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

RATE_PER_SECOND = 20.0
_NOT_RUN = (408, 421, 429, 503)


async def ask(run: SoakRun, number: int) -> None:
    """Send one request through one daemon, and judge its answer."""
    fleet = run.fleet
    asked = make_demo_request(run.rng, number)
    if asked.kind == "title":
        await ask_and_take_up(run, asked)
        return
    key = run.rng.choice((*KEYS, LOST_KEY))
    headers = fleet.headers(key, **make_prompt_headers(run.rng, asked))
    attempt_id = headers[names.ATTEMPT_ID]
    index = run.rng.randrange(len(fleet.processes))
    started_seconds = time.monotonic()
    run.sent_seconds[attempt_id] = (started_seconds, key)
    run.words.daemon_of[attempt_id] = index
    run.words.sent_seconds[attempt_id] = started_seconds
    run.requests.note(asked.path, started_seconds)
    answer = Answer(None, is_whole=False)
    try:
        async with asyncio.timeout(4.0):
            answer = await fleet.ask(
                asked.method, asked.path, headers, asked.body, index
            )
    except TimeoutError:
        # A client that leaves; what came of its request is checked at the end.
        pass
    elapsed_seconds = time.monotonic() - started_seconds
    if answer.status == 200 and answer.is_whole:
        run.words.handed_on_seconds[attempt_id] = time.monotonic()
    run.parts.note_answer(attempt_id, answer.body)
    asked = as_generated(asked, answer, VERSIONS)
    check_answer(fleet, asked, attempt_id, answer, elapsed_seconds, run.report)
    if answer.status in _NOT_RUN and names.SEAL not in answer.headers:
        run.refused.add(attempt_id)


async def ask_and_take_up(run: SoakRun, asked: DemoRequest) -> None:
    """Ask for one stream, take it up where it is lost, and judge all of it."""
    key = run.rng.choice((*KEYS, LOST_KEY))
    started_seconds = time.monotonic()

    def note_sent(attempt_id: str, index: int) -> None:
        now_seconds = time.monotonic()
        run.sent_seconds[attempt_id] = (now_seconds, key)
        run.words.daemon_of[attempt_id] = index
        run.words.sent_seconds[attempt_id] = now_seconds
        run.requests.note(asked.path, now_seconds)

    client = StreamClient(run.fleet, run.rng, note_sent)
    prompt = make_prompt_headers(run.rng, asked)
    stream, attempt_id = TakenStream(), ""
    try:
        async with asyncio.timeout(4.0):
            stream, attempt_id = await client.run(asked, key, prompt)
    except TimeoutError:
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
    generated = as_generated(asked, answer, VERSIONS)
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
    sent_seconds = time.monotonic()
    run.sent_seconds[attempt_id] = (sent_seconds, "k-one")
    run.words.daemon_of[attempt_id] = index
    run.words.sent_seconds[attempt_id] = sent_seconds
    run.requests.note(path, sent_seconds)
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
            await asyncio.sleep(run.rng.expovariate(RATE_PER_SECOND))
