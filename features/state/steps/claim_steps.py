import asyncio

from behave import given, then, when
from returns.result import Success

from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    DaemonId,
    IdempotencyKey,
    RequestId,
)
from lycheepost.standin.objects import make_object_model
from lycheepost.standin.table import make_table_model
from lycheepost.standin.virtualtime import VirtualTimeLoop
from lycheepost.state.claim_expiry import ClaimExpiryWork
from lycheepost.state.claim_rows import (
    N_SHARDS,
    Answered,
    ClaimBusy,
    Granted,
    StoredAnswer,
)
from lycheepost.state.claims import ClaimLimits, make_claim_manager
from lycheepost.state.leases import Lease

ANSWER = StoredAnswer(200, "application/json", b'{"ticket": 7}')
LONG_ANSWER = StoredAnswer(200, "application/json", b"\n7" * 20_000)
TOO_LONG_ANSWER = StoredAnswer(200, "application/json", b"7" * 300_000)


def use_virtual_time(context):
    context.loop.close()
    context.loop = VirtualTimeLoop()
    context.store = make_table_model(context.loop, 1e9, 1e9)
    context.objects = make_object_model(context.loop)


def start_manager(context, name, writes_per_second=1e4):
    context.boots[name] = f"{name}-{len(context.started)}"
    manager = make_claim_manager(
        context.store,
        context.objects,
        context.loop,
        DaemonId(name),
        ClaimLimits(
            wait_seconds=2.0,
            max_writes_per_second=writes_per_second,
        ),
        lambda owner, boot: context.boots.get(owner) == boot,
        context.boots[name],
        lambda: 1,
    )
    context.managers[name] = manager
    context.started.append(manager)
    context.closers.append(manager.stop)
    context.loop.run_until_complete(manager.start())


def claim(context, name, key="order", body=1):
    return context.managers[name].claim(
        CustomerId("kiosks"),
        IdempotencyKey(key),
        BodyFingerprint(body),
        RequestId("r"),
    )


def name_outcome(context, outcome):
    if not isinstance(outcome, Success):
        return type(outcome.failure()).__name__
    claim_outcome = outcome.unwrap()
    if isinstance(claim_outcome, Granted):
        context.n_runs += 1
    if isinstance(claim_outcome, Answered):
        assert claim_outcome.answer == context.answer, "not the first answer"
    return type(claim_outcome).__name__


@given("daemons A and B share a store")
def step_share(context):
    use_virtual_time(context)
    context.managers, context.boots, context.started = {}, {}, []
    context.n_runs = 0
    context.answer = None
    start_manager(context, "A")
    start_manager(context, "B")


@given("a daemon whose share of the table is 1 write a second")
def step_slow_share(context):
    use_virtual_time(context)
    context.managers, context.boots, context.started = {}, {}, []
    start_manager(context, "A", 1.0)


@when("A takes an order and {event}")
def step_event(context, event):
    faults = context.store.faults
    match event:
        case "the claim's answer is lost":
            faults.n_lost_answers = 1
        case "the claim is refused":
            faults.n_refused = 1
        case "the claim takes effect late":
            faults.n_late_writes, faults.late_seconds = 1, 1.0
        case "the claim takes effect after it gave up":
            faults.n_late_writes, faults.late_seconds = 1, 6.0
            context.loop.call_later(0.01, setattr, faults, "is_down", True)
            context.loop.call_later(4.0, setattr, faults, "is_down", False)
        case "the caller leaves during the claim":
            faults.delay_seconds = 1.0
            context.loop.call_later(3.0, setattr, faults, "delay_seconds", 0.0)
    context.loop.run_until_complete(take(context, event))


async def take(context, event):
    if event == "the caller leaves during the claim":
        try:
            await asyncio.wait_for(claim(context, "A"), 0.2)
        except TimeoutError:
            return
    outcome = await claim(context, "A")
    if not isinstance(outcome, Success):
        return
    granted = outcome.unwrap()
    context.n_runs += 1
    manager, faults = context.managers["A"], context.store.faults
    match event:
        case "answers it":
            context.answer = ANSWER
        case "answers it at length":
            context.answer = LONG_ANSWER
        case "answers it at too great length":
            context.answer = TOO_LONG_ANSWER
        case "answers it while the store is down":
            context.answer = ANSWER
            faults.is_down = True
            asyncio.get_running_loop().call_later(9.9, clear_faults, context)
        case "answers it before the store comes back":
            context.answer = LONG_ANSWER
            faults.is_down = context.objects.faults.is_down = True
            asyncio.get_running_loop().call_later(5, clear_faults, context)
        case "answers it, and the answer is lost":
            context.answer = ANSWER
            faults.n_lost_answers = 1
        case "proves that it has not run":
            await manager.release(granted)
            context.n_runs -= 1
        case "loses the target while it runs":
            await manager.abandon(granted)
        case "dies while it runs":
            await manager.stop()
            del context.boots["A"]
        case "restarts while it runs":
            await manager.stop()
    if context.answer is not None:
        await manager.store_answer(granted, context.answer)


def clear_faults(context):
    context.store.faults.is_down = context.objects.faults.is_down = False


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then("a resend through {name} is told {told}")
def step_told(context, name, told):
    if context.started and context.managers["A"]._writer._task.done():
        start_manager(context, "A") if "A" in context.boots else None
    outcome = context.loop.run_until_complete(claim(context, name))
    found = name_outcome(context, outcome)
    assert found == told, found


@then("the order has run at most once")
def step_at_most_once(context):
    assert context.n_runs <= 1, context.n_runs


@then("the same key with {body} through {name} is told {told}")
def step_body(context, body, name, told):
    fingerprint = 2 if body == "another body" else 1
    outcome = context.loop.run_until_complete(claim(context, name, body=fingerprint))
    found = name_outcome(context, outcome)
    assert found == told, found


@when("A and B take {n:d} orders at the same time")
def step_both(context, n):
    async def take_all():
        return await asyncio.gather(
            *(claim(context, name, f"o{i}") for i in range(n) for name in "AB")
        )

    context.outcomes = context.loop.run_until_complete(take_all())


@then("each order is granted to exactly one of them")
def step_one_each(context):
    names = [name_outcome(context, outcome) for outcome in context.outcomes]
    pairs = list(zip(names[::2], names[1::2], strict=True))
    assert all(sorted(pair) == ["Granted", "InProgress"] for pair in pairs), pairs


@when("A takes {n:d} different orders at the same time")
@when("it takes {n:d} different orders at the same time")
def step_many(context, n):
    async def take_all():
        return await asyncio.gather(*(claim(context, "A", f"o{i}") for i in range(n)))

    context.outcomes = context.loop.run_until_complete(take_all())


@then("all of them are granted with at most {n:d} transactions")
def step_transactions(context, n):
    assert all(isinstance(out.unwrap(), Granted) for out in context.outcomes)
    assert context.store.writes.n_units <= n, context.store.writes.n_units


@then("some orders are refused as not run with a time to come back")
def step_refused(context):
    refused = [
        out.failure() for out in context.outcomes if not isinstance(out, Success)
    ]
    assert refused
    busy = [error for error in refused if isinstance(error, ClaimBusy)]
    assert busy and all(error.retry_after_seconds >= 1 for error in busy)


@then("every granted order has its claim in the table")
def step_granted_rows(context):
    context.loop.run_until_complete(asyncio.sleep(60))
    granted = [out.unwrap() for out in context.outcomes if isinstance(out, Success)]
    assert granted
    assert {item.key for item in granted} == set(context.store.rows)


@when("{age:d} hours pass before the expiry pass with {keep:d} hours to keep")
def step_expiry(context, age, keep):
    lease = Lease("claim-expiry", "t", 1, float("inf"), 1)
    work = ClaimExpiryWork(context.store, context.objects, context.loop, keep * 3600)

    async def expire():
        await asyncio.sleep(age * 3600)
        for _ in range(N_SHARDS):
            await work.work(lambda: lease)

    assert context.objects.objects
    context.loop.run_until_complete(expire())


@then("the claim and its object are {fate}")
def step_fate(context, fate):
    n_left = (len(context.store.rows), len(context.objects.objects))
    assert n_left == ((1, 1) if fate == "kept" else (0, 0)), n_left
