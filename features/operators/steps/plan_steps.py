"""Steps for planning and confirming."""

import asyncio
import dataclasses
import json
import pathlib
import sys

from behave import given, then, when

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from world import FLEET, OPERATOR_KEYS, World  # noqa: E402

from lycheepost.utils.keys import hash_key  # noqa: E402


@given("{n:d} daemons and a fleet of three engines")
def given_fleet(context, n):
    context.world = World(context)
    for _ in range(n):
        context.world.add_daemon()
    plan = context.world.plan(0, FLEET)
    status, body = context.world.confirm(0, plan["plan_id"])
    assert status == 200, body
    context.caller_key = body["keys"][0]["key"]
    context.first_revision = body["revision"]
    context.plans = {}
    context.world.configuration(1)


@when("{operator} plans '{document}' at daemon {n:d}")
def when_plans(context, operator, document, n):
    plan = context.world.plan(n - 1, json.loads(document), operator)
    context.plans[operator] = plan


@when("{operator} confirms at daemon {n:d} {how}")
def when_confirms_how(context, operator, n, how):
    query = "?allow_unrelated=true" if how == "allowing unrelated" else ""
    plan_id = context.plans[operator]["plan_id"]
    context.answer = context.world.confirm(n - 1, plan_id, operator, "t", query)


@when("{operator} confirms at daemon {n:d}")
def when_confirms(context, operator, n):
    when_confirms_how(context, operator, n, "strictly")


@when("{operator} repeats the confirm at daemon {n:d}")
def when_repeats(context, operator, n):
    when_confirms_how(context, operator, n, "strictly")


@when('{operator} confirms again with token "{token}"')
def when_confirms_again(context, operator, token):
    plan_id = context.plans["ada"]["plan_id"]
    context.answer = context.world.confirm(1, plan_id, operator, token)


@when("ada confirms at both daemons at once")
def when_both(context):
    world = context.world
    path = f"/v1/plans/{context.plans['ada']['plan_id']}/confirm"
    headers = {"Idempotency-Key": "t"}

    async def run():
        calls = [world.acall(n, "POST", path, headers=headers) for n in (0, 1)]
        return await asyncio.gather(*calls)

    context.both = world.run(run())


@when('the next write to "{prefix}" is {fault}')
def when_fault(context, prefix, fault):
    context.world.table.fail(prefix, fault)


@when("the daemon dies at the write after the commit")
def when_dies(context):
    table = context.world.table
    inner = table.inner.commit
    state = {"is_dead": False}

    async def commit(transaction):
        if state["is_dead"]:
            raise asyncio.CancelledError
        outcome = await inner(transaction)
        state["is_dead"] = transaction.writes[0].key.startswith("configuration/")
        return outcome

    table.inner.commit = commit
    try:
        context.world.confirm(0, context.plans["ada"]["plan_id"])
    except Exception as error:
        assert state["is_dead"], error
    table.inner.commit = inner
    assert state["is_dead"]


@when("acme is disabled, removed and created again")
def when_again(context):
    context.first_salt = cache_salt(context)
    for document in (
        {"kind": "alter_customer", "customer": "acme", "is_enabled": False},
        {"kind": "remove", "what": "customer", "name": "acme"},
        {"kind": "create_customer", "customer": "acme"},
    ):
        plan_id = context.world.plan(0, document)["plan_id"]
        status, body = context.world.confirm(0, plan_id)
        assert status == 200, body


def cache_salt(context):
    (customer,) = context.world.configuration(1).customers
    return customer.cache_salt


@then("its cache salt differs from that of the first")
def then_other_salt(context):
    salt = cache_salt(context)
    assert salt and salt != context.first_salt, salt


@when("{seconds:d} seconds pass")
def when_time_passes(context, seconds):
    context.world.clock.advance(seconds)


@when("the store is down while ada {does}")
def when_store_down(context, does):
    world = context.world
    document = {"kind": "create_customer", "customer": "beta"}
    if does == "confirms":
        plan_id = world.plan(0, document)["plan_id"]
    world.model.faults.is_down = True
    if does == "confirms":
        context.answer = world.confirm(0, plan_id)
    else:
        context.answer = world.call(0, "POST", "/v1/intents", document)
    world.model.faults.is_down = False


@when("ada sends the intent '{document}'")
def when_sends(context, document):
    context.answer = context.world.call(0, "POST", "/v1/intents", json.loads(document))


@when("a call is made with {key}")
def when_called(context, key):
    keys = {
        "no key": "",
        "an unknown key": "lpo-nobody",
        "the caller key": context.caller_key,
        "an operator key": OPERATOR_KEYS["ada"],
    }
    context.answer = context.world.call(0, "GET", "/v1/intents", key=keys[key])


@when("the weight store is {store}")
def when_store(context, store):
    context.world.weights.faults.is_down = store == "down"


@then("the plan takes {seconds:d} s")
def then_takes(context, seconds):
    estimate = context.plans["ada"]["estimate"]
    assert estimate["seconds"] == seconds, estimate


@then('the conflicts are "{text}"')
def then_conflicts(context, text):
    found = " ".join(
        ("blocked " if item["is_blocking"] else "") + item["subject"]
        for item in context.plans["ada"]["conflicts"]
    )
    assert found.startswith(text), context.plans["ada"]["conflicts"]


@then('the conflicts are ""')
def then_no_conflicts(context):
    assert context.plans["ada"]["conflicts"] == []


@when("ben plans a pause of it, and its progress is recorded before he confirms")
def when_pause_moving(context):
    (name,) = context.answer[1]["intents"]
    document = {"kind": "pause_intent", "intent": name}
    plan = context.world.plan(1, document, "ben")
    manager = context.world.managers[0]
    basis = context.world.configuration(0)
    intent = basis.capacity_intents[0]
    moved = dataclasses.replace(intent, note="moved")
    changed = dataclasses.replace(basis, capacity_intents=[moved])
    context.world.run(manager.commit(basis.revision, changed))
    context.answer = context.world.confirm(1, plan["plan_id"], "ben")


@then("the intent is paused")
def then_paused(context):
    (intent,) = context.world.configuration(0).capacity_intents
    assert intent.state.value == "paused" and intent.note == "moved"


@then("the answer is {status:d}")
def then_status(context, status):
    assert context.answer[0] == status, context.answer


@then('the answer names "{text}"')
def then_names(context, text):
    assert text in json.dumps(context.answer[1]), context.answer


@then("the answer says when to retry")
def then_retry(context):
    assert context.answer[1]["retry_after_seconds"] > 0, context.answer
    assert context.answer[1]["kind"] == "store_unavailable", context.answer


@then('the configuration has no customer "{name}"')
def then_no_customer(context, name):
    for n in range(len(context.world.clients)):
        customers = context.world.configuration(n).customers
        assert name not in [item.customer for item in customers]


@then('the key shown works for "{name}" at every daemon')
def then_key_works(context, name):
    (shown,) = context.answer[1]["keys"]
    context.shown = shown["key"]
    for n, manager in enumerate(context.world.managers):
        context.world.configuration(n)
        found = manager.view.customer_by_key_hash[hash_key(shown["key"])]
        assert found.customer == name == shown["customer"]


@then("the key shown is stored in no row of the table")
def then_not_kept(context):
    secret = context.shown.removeprefix("lpk-").encode()
    assert all(secret not in row.value for row in context.world.model.rows.values())


@then("one revision was made")
def then_one_revision(context):
    for n in range(len(context.world.clients)):
        revision = context.world.configuration(n).revision
        assert revision == context.first_revision + 1, revision


@then("both answers are 200 and the same")
def then_same(context):
    first, second = context.both
    assert first == second and first[0] == 200, context.both


@then("{n:d} keys are shown and {withheld:d} withheld")
def then_keys(context, n, withheld):
    body = context.answer[1]
    assert (len(body["keys"]), body["n_keys_withheld"]) == (n, withheld), body


@then('the faults are at "{paths}"')
def then_faults(context, paths):
    found = sorted(fault["path"] for fault in context.answer[1]["faults"])
    assert found == sorted(paths.split()), context.answer


@then('the plan is blocked at "{subject}"')
def then_blocked(context, subject):
    blocking = [c for c in context.plans["ada"]["conflicts"] if c["is_blocking"]]
    assert [c["subject"] for c in blocking] and blocking[-1]["subject"] == subject
