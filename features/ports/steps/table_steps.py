import asyncio
from unittest import mock

from behave import given, then, when
from reach import SLOW_SECONDS, reach
from returns.result import Success

from lycheepost.ports.http_table import make_http_table
from lycheepost.ports.table import Condition, Transaction, Write
from lycheepost.standin.platformfaults import Faults
from lycheepost.standin.table import make_table_app, make_table_model

MOMENT_SECONDS = 1.2


def write_model(context, key, value):
    transaction = Transaction((), (Write(key, value.encode()),))
    context.loop.run_until_complete(context.model.commit(transaction))


@given("a table reached by {implementation}")
def step_table(context, implementation):
    context.model = make_table_model()
    context.port = reach(
        context, implementation, context.model, make_table_app, make_http_table
    )


@given('the row "{key}" holds "{value}"')
def step_row(context, key, value):
    write_model(context, key, value)
    context.version = context.model.rows[key].version


@given('{n:d} rows under "{prefix}" and one under "{other}"')
def step_rows(context, n, prefix, other):
    for number in range(n):
        write_model(context, f"{prefix}{number}", "x")
    write_model(context, f"{other}0", "x")


@when("the table has the fault {fault}")
def step_fault(context, fault):
    faults = context.model.faults
    match fault:
        case "none":
            pass
        case "down":
            faults.is_down = True
        case "nobody listening":
            context.loop.run_until_complete(context.stop_serving())
        case "over its rate":
            context.model.writes.limit_per_second = 0
        case "moved row":
            write_model(context, "a", "moved")
        case "answer lost":
            faults.n_lost_answers = 1
        case "late write":
            faults.n_late_writes, faults.late_seconds = 1, 0.5
        case "slow answer":
            faults.answer_delay_seconds = SLOW_SECONDS
        case "slow service":
            faults.delay_seconds = SLOW_SECONDS
        case "one refusal":
            faults.n_refused = 1
        case "stale read":
            faults.n_stale_reads = 1
        case _:
            raise ValueError(fault)


@when('"{key}" is set to "{value}"')
def step_set(context, key, value):
    transaction = Transaction(
        (Condition(key, context.version),), (Write(key, value.encode()),)
    )
    outcome = context.loop.run_until_complete(context.port.commit(transaction))
    is_done = isinstance(outcome, Success)
    context.outcome = type(outcome.unwrap() if is_done else outcome.failure()).__name__


@when('"{key}" and "{other}" are set under a condition that "{missing}" exists')
def step_set_two(context, key, other, missing):
    transaction = Transaction(
        (Condition(missing, 1),), (Write(key, b"new"), Write(other, b"new"))
    )
    outcome = context.loop.run_until_complete(context.port.commit(transaction))
    assert outcome.failure().keys == (missing,)
    context.outcome = type(outcome.failure()).__name__


@when('"{key}" is read')
def step_read(context, key):
    outcome = context.loop.run_until_complete(context.port.read((key, "missing")))
    if isinstance(outcome, Success):
        row, missing = outcome.unwrap()
        assert missing is None
        context.outcome = row.value.decode()
    else:
        context.outcome = type(outcome.failure()).__name__


@when('"{key}" is read {n:d} times')
def step_read_often(context, key, n):

    async def read_all():
        for _ in range(n):
            assert not isinstance(await context.port.read((key,)), Success)

    with mock.patch.object(Faults, "refuses", return_value=True) as refuses:
        context.loop.run_until_complete(read_all())
        context.n_calls = refuses.call_count


@then("the service has had at most {n:d} calls")
def step_calls(context, n):
    assert 100 < context.n_calls <= n, context.n_calls


@when('"{prefix}" is scanned by pages of {limit:d}')
def step_scan(context, prefix, limit):
    async def scan():
        seen, after = [], None
        while True:
            page = (await context.port.scan(prefix, after, limit)).unwrap()
            seen += [row.key for row in page.rows]
            if page.next_key is None:
                return seen
            after = page.next_key

    context.seen = context.loop.run_until_complete(scan())


@then("the table outcome is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('after a moment "{key}" holds "{value}"')
def step_holds(context, key, value):
    if context.outcome == "OutcomeUnknown":
        context.loop.run_until_complete(asyncio.sleep(MOMENT_SECONDS))
    assert context.model.rows[key].value.decode() == value


@then("{n:d} rows are seen, each once")
def step_seen(context, n):
    assert len(context.seen) == len(set(context.seen)) == n, context.seen
