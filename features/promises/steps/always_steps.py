"""Steps for restarts, configuration, operators, orders, streams and caches."""

import asyncio
import json
from dataclasses import replace

import aiohttp
from behave import given, then, when
from calling import (
    ORDER,
    answer_text,
    body_of,
    complete,
    expected_text,
    headers_of,
    n_runs,
    order,
)
from fleet import CRASH_TEXT
from promise_steps import run
from returns.pipeline import is_successful

from lycheepost.standin.faults import CrashAfterRun, CrashBeforeRun, LostAnswer

LONG_TOKENS = 1200
"""Tokens that take more than two seconds, longer than the one second that a listener
waits when it is closed."""


# Restarts


@when("a daemon restarts and immediately gets requests, repeatedly")
def when_requests_after_restart(context):
    fleet = context.fleet
    url = fleet.urls()[1]

    async def act():
        await fleet.stop_daemon(1)
        starting = asyncio.create_task(fleet.start_daemon(1))
        statuses = []
        async with aiohttp.ClientSession() as session, asyncio.timeout(2):
            while not statuses or statuses[-1] != 200:
                status, _document = await complete(session, fleet, url, "hello")
                statuses.append(status)
                await asyncio.sleep(0.01)
        await starting
        return statuses

    context.statuses = run(context, act())


@then("it never says that the key is wrong")
def then_no_401(context):
    assert set(context.statuses) <= {0, 200, 503}, context.statuses


@then("it answers a completion within 2 seconds")
def then_answers(context):
    assert context.statuses[-1] == 200


@given("the platform is down")
def given_platform_down(context):
    standins = context.fleet.standins
    for service in (standins.table, standins.objects, standins.vm_list):
        service.faults.is_down = True


@when("daemon {index:d} restarts")
def when_restart(context, index):
    run(context, context.fleet.restart(index))


@then("daemon {index:d} has revision {revision:d} again within {seconds:d} seconds")
def then_revision(context, index, revision, seconds):
    fleet = context.fleet
    run(context, fleet.wait_for(lambda: fleet.revisions()[index] == revision, seconds))


@then("daemon {index:d} answers completions")
def then_completions(context, index):
    fleet = context.fleet

    async def act():
        async with aiohttp.ClientSession() as session:
            for number in range(5):
                url = fleet.urls()[index]
                answer = await complete(session, fleet, url, f"hello {number}")
                assert answer[0] == 200, answer
                text = expected_text(f"hello {number}", 8)
                assert answer_text(answer[1]) == text

    run(context, act())


@then("an order is refused as not run and did not run")
def then_order_refused(context):
    fleet = context.fleet

    async def act():
        async with aiohttp.ClientSession() as session:
            return await order(session, fleet, fleet.urls()[1])

    status, executed, _body = run(context, act())
    assert (status, executed) == (503, "no"), (status, executed)
    assert n_runs(fleet) == 0


# Configuration


@when("{n:d} changes are accepted while a daemon restarts and old updates arrive late")
def when_changes(context, n):
    fleet = context.fleet
    context.seen = {index: [] for index in range(fleet.n_daemons)}

    async def watch():
        while True:
            for index, revision in enumerate(fleet.revisions()):
                context.seen[index].append((id(fleet.daemons[index]), revision))
            await asyncio.sleep(0.01)

    async def act():
        watching = asyncio.create_task(watch())
        restarting = asyncio.create_task(fleet.restart(2))
        revisions = fleet.daemons[0].state.revisions
        async with asyncio.timeout(6):
            while revisions.revision < 1 + n:
                basis = revisions.revision
                old = revisions.accepted
                first, *others = revisions.accepted.customers
                first = replace(first, share_weight=1.0 + basis)
                changed = replace(revisions.accepted, customers=[first, *others])
                # A commit that fails because a read was stale is retried.
                if is_successful(await revisions.commit(basis, changed)):
                    fleet.standins.table.faults.n_stale_reads = 3
                await asyncio.sleep(0.01)
                # A peer that was disconnected publishes its old configuration.
                for daemon in fleet.daemons:
                    daemon.state.revisions.adopt(old, "peer")
        await restarting
        await fleet.wait_for(lambda: set(fleet.revisions()) == {1 + n}, 4)
        watching.cancel()

    run(context, act())


@then("every daemon reaches the last revision within 4 seconds")
def then_reached(context):
    assert set(context.fleet.revisions()) == {6}, context.fleet.revisions()


@then("no daemon ever showed a lower revision than before")
def then_upward(context):
    for seen in context.seen.values():
        for before, after in zip(seen, seen[1:], strict=False):
            # The revision of a daemon only rises; a restarted daemon starts again.
            assert before[0] != after[0] or before[1] <= after[1], (before, after)


# Operators


async def call_operator(session, fleet, url, path, document=None):
    headers = {"Authorization": f"Bearer {fleet.operator_key}"}
    try:
        async with session.post(
            f"{url}{path}", json=document, headers=headers
        ) as response:
            return response.status, await response.json()
    except aiohttp.ClientError:
        return 0, {}


RETIRE = {"kind": "retire_target", "target": "caption-llm-0"}


async def plan_at(session, fleet, index, intent):
    status, plan = await call_operator(
        session, fleet, fleet.urls()[index], "/v1/intents", intent
    )
    assert status == 200, plan
    return f"/v1/plans/{plan['plan_id']}/confirm"


@when("an operator plans to retire engine 0 and does not confirm")
def when_planned(context):
    async def act():
        async with aiohttp.ClientSession() as session:
            await plan_at(session, context.fleet, 0, RETIRE)

    run(context, act())


@then("the revision is still 1 and engine 0 still gets work")
def then_unchanged(context):
    fleet = context.fleet
    engine = fleet.standins.engines[0]
    before = len(engine.records)
    report = run(context, fleet.load_with(lambda: asyncio.sleep(0)))
    assert set(fleet.revisions()) == {1}
    assert report.n_answered == report.n_sent
    assert len(engine.records) > before


@when("an operator retires engine 0 and confirms it during traffic")
def when_retired(context):
    fleet = context.fleet
    engine = fleet.standins.engines[0]

    async def retire():
        async with aiohttp.ClientSession() as session:
            path = await plan_at(session, fleet, 1, RETIRE)
            status, answer = await call_operator(session, fleet, fleet.urls()[2], path)
        assert status == 200, answer
        await asyncio.sleep(3)
        context.n_before = len(engine.records)

    context.report = run(context, fleet.load_with(retire, n_seconds=4.2))


@then("engine 0 gets no new request 3 seconds after the confirmation")
def then_no_work(context):
    engine = context.fleet.standins.engines[0]
    assert context.n_before > 0
    assert len(engine.records) == context.n_before, (
        context.n_before,
        len(engine.records),
    )


@when("two operators confirm plans on one basis, {how}")
def when_race(context, how):
    fleet = context.fleet
    intents = [
        {"kind": "alter_customer", "customer": "brandon", "share_weight": weight}
        for weight in (2.0, 3.0)
    ]

    async def act():
        async with aiohttp.ClientSession() as session:
            paths = [await plan_at(session, fleet, 0, intent) for intent in intents]
            if "lost" in how:
                fleet.standins.table.faults.n_lost_answers = 1
            if "restarts" in how:
                await fleet.restart(0)
            urls = fleet.urls()
            confirms = [
                call_operator(session, fleet, urls[1 + index], path)
                for index, path in enumerate(paths)
            ]
            if "at the same time" in how:
                return await asyncio.gather(*confirms)
            return [await confirm for confirm in confirms]

    context.answers = run(context, act())


@then("exactly one is in force and the other was told what has changed")
def then_one_won(context):
    fleet = context.fleet
    statuses = [status for status, _answer in context.answers]
    assert sorted(statuses) == [200, 409], context.answers
    run(context, fleet.wait_for(lambda: set(fleet.revisions()) == {2}, 4))
    winner = statuses.index(200)
    configuration = fleet.daemons[0].state.revisions.accepted
    (weight,) = [
        customer.share_weight
        for customer in configuration.customers
        if customer.customer == "brandon"
    ]
    assert weight == (2.0, 3.0)[winner]
    assert "brandon" in json.dumps(context.answers[1 - winner][1]), context.answers


# Orders


SERVICE_FAULTS = {
    "the service's answer is lost": LostAnswer(),
    "the service crashes before the run": CrashBeforeRun(),
    "the service crashes after the run": CrashAfterRun(),
}


@when("an order is sent {n:d} times through all daemons and {failure}")
def when_order(context, n, failure):
    fleet = context.fleet
    if failure in SERVICE_FAULTS:
        for service in fleet.standins.services:
            service.faults.add(SERVICE_FAULTS[failure])
    if failure == "the table's answer is lost":
        fleet.standins.table.faults.n_lost_answers = 1

    async def act():
        urls = fleet.urls()
        async with aiohttp.ClientSession() as session:
            sends = [
                lambda number=number: order(session, fleet, urls[number % len(urls)])
                for number in range(n)
            ]
            if failure == "all sends come at once":
                return await asyncio.gather(*(send() for send in sends))
            answers = []
            for number, send in enumerate(sends):
                answers.append(await send())
                if failure == "the daemon that ran it restarts" and number == 0:
                    await fleet.restart(0)
            return answers

    context.answers = run(context, act())


@then("the order ran {runs}")
def then_runs(context, runs):
    # The record covers all calls, so a second run would be counted as well.
    n = n_runs(context.fleet)
    assert n == 1 or (runs == "at most once" and n == 0), (n, context.answers)


@then("every answer to it is the same, or says that the outcome is unknown")
def then_same(context):
    bodies = {body for status, _executed, body in context.answers if status < 300}
    assert len(bodies) <= 1, bodies
    for status, executed, body in context.answers:
        if status >= 300:
            assert executed in ("unknown", "yes"), (status, executed, body)
    if bodies:
        assert json.loads(next(iter(bodies)))["order"] == ORDER


@when("an order is sent with a key that another order has used")
def when_other_body(context):
    fleet = context.fleet

    async def act():
        async with aiohttp.ClientSession() as session:
            await order(session, fleet, fleet.urls()[0])
            other = {"order_id": "order-2"}
            return await order(session, fleet, fleet.urls()[1], other)

    context.answers = [run(context, act())]


@then("it is refused with 422 and has not run")
def then_422(context):
    assert context.answers[0][:2] == (422, "no"), context.answers
    assert n_runs(context.fleet, "order-2") == 0


# Streams and caches


@when("a caller sends a crashing prompt {n:d} times through all daemons during traffic")
def when_crashing_prompt(context, n):
    fleet = context.fleet
    boots = [engine.boot_id for engine in fleet.standins.engines]
    context.answers = []

    async def send():
        urls = fleet.urls()
        async with aiohttp.ClientSession() as session:
            for number in range(n):
                answer = await complete(
                    session, fleet, urls[number % len(urls)], f"a {CRASH_TEXT} prompt"
                )
                context.answers.append(answer)
                # A pause before the retry; published clients wait half a second.
                await asyncio.sleep(0.3)

    context.report = run(context, fleet.load_with(send, n_seconds=1.0))
    engines = fleet.standins.engines
    context.n_crashed = sum(
        engine.boot_id != boot for engine, boot in zip(engines, boots, strict=True)
    )


@then("at most {n:d} engines have crashed")
def then_crashed(context, n):
    assert 1 <= context.n_crashed <= n, context.n_crashed


@then("the caller is told that the prompt is not retried")
def then_quarantined(context):
    last = context.answers[-1]
    assert last[0] == 422, context.answers
    assert last[1]["error"]["code"] == "quarantined", last


@when("two customers send the same prompt, the first one three times")
def when_same_prompt(context):
    fleet = context.fleet
    prompt = "the same long prompt " * 200

    async def act():
        cached = []
        async with aiohttp.ClientSession() as session:
            for customer in (0, 0, 0, 1):
                status, document = await complete(
                    session, fleet, fleet.urls()[0], prompt, customer
                )
                assert status == 200, document
                details = document["usage"]["prompt_tokens_details"]
                cached.append(details["cached_tokens"])
        return cached

    context.cached = run(context, act())


@then("the first customer's repeats found cached tokens")
def then_cached(context):
    assert min(context.cached[1:3]) > 500, context.cached


@then("the second customer's did not")
def then_not_cached(context):
    assert context.cached[3] == 0, context.cached


@when("daemon {index:d} drains and stops while {n:d} long answers run through it")
def when_drain(context, index, n):
    fleet = context.fleet
    url = fleet.urls()[index]

    async def act():
        async with aiohttp.ClientSession() as session:
            sends = [
                asyncio.create_task(
                    complete(
                        session, fleet, url, f"long {number}", max_tokens=LONG_TOKENS
                    )
                )
                for number in range(n)
            ]
            await asyncio.sleep(0.3)
            await fleet.daemons[index].drain()
            await fleet.daemons[index].stop()
            return await asyncio.gather(*sends)

    context.answers = run(context, act())


@then("all {n:d} answers are complete")
def then_complete(context, n):
    assert len(context.answers) == n
    for number, (status, document) in enumerate(context.answers):
        assert status == 200, document
        assert answer_text(document) == expected_text(f"long {number}", LONG_TOKENS)


@when("{n:d} callers leave in the middle of long answers")
def when_leave(context, n):
    fleet = context.fleet

    async def leave(session, number):
        async with session.post(
            f"{fleet.urls()[0]}/v1/chat/completions",
            json=body_of(f"leaving {number}", max_tokens=2000, stream=True),
            headers=headers_of(fleet),
        ) as response:
            await response.content.readany()
            response.close()

    async def act():
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(*(leave(session, number) for number in range(n)))
        engines = fleet.standins.engines
        await fleet.wait_for(lambda: not any(engine.running() for engine in engines), 2)

    run(context, act())


@then("the engines run nothing 2 seconds later")
def then_idle(context):
    assert not any(engine.running() for engine in context.fleet.standins.engines)
