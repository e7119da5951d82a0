import asyncio
from dataclasses import replace

from behave import given, then, when
from claim_steps import clear_faults, use_virtual_time
from returns.result import Success

from lycheepost.bench.fleet import make_configuration
from lycheepost.core.ids import Revision
from lycheepost.generated.configuration import Customer
from lycheepost.state.revision_rows import REVISION_PREFIX, read_head
from lycheepost.state.revisions import make_revision_manager
from lycheepost.state.snapshots import SnapshotWork


def run(context, work):
    return context.loop.run_until_complete(work)


def make_manager(context, fallback=None, seed=0):
    return make_revision_manager(
        context.store, context.objects, context.loop, fallback=fallback, seed=seed
    )


def add_customer(manager, name):
    before = manager.accepted
    customers = [*before.customers, Customer(customer=name, key_hashes=[])]
    return manager.commit(
        Revision(before.revision), replace(before, customers=customers)
    )


def count_in_force(context, name):
    manager = make_manager(context)
    assert isinstance(run(context, manager.refresh()), Success)
    return [item.customer for item in manager.accepted.customers].count(name)


@given("an accepted configuration")
def step_accepted(context):
    use_virtual_time(context)
    context.manager = make_manager(context)
    assert run(context, add_customer(context.manager, "first")) == Success(1)


@given("6 accepted changes, of which a snapshot holds 4")
def step_six(context):
    step_accepted(context)
    work = SnapshotWork(context.store, context.objects, context.manager, every=4)
    for number in range(2, 7):
        run(context, add_customer(context.manager, f"c{number}"))
        run(context, work.work(None))
    assert work.n_written == 1


@when("a daemon with its own settings restarts with {sources}")
def step_restarts(context, sources):
    is_table_up = sources.startswith("table")
    context.store.faults.is_down = not is_table_up
    context.objects.faults.is_down = "snapshot" not in sources
    fallback = make_configuration(3, 0)
    context.fresh = make_manager(context, fallback)
    context.seen = []
    context.fresh.subscribe(
        lambda view: context.seen.append(view.configuration.revision)
    )
    run(context, context.fresh.start())
    context.closers.append(context.fresh.stop)
    if sources == "peers":
        context.loop.call_later(
            0.01, context.fresh.adopt, context.manager.accepted, "peer A"
        )


@then("it serves at once from its settings")
def step_settings(context):
    assert len(context.fresh.view.customers) == 3


@then("within 6 seconds it serves revision {revision:d} from {first}")
def step_serves(context, revision, first):
    run(context, asyncio.sleep(6))
    status = context.fresh.status()
    assert status["revision"] == revision, status
    assert status["source"].startswith(first), status


@then("once all sources answer it serves revision 6 and has never gone back")
def step_upward(context):
    clear_faults(context)
    context.fresh.adopt(replace(context.manager.accepted, revision=3), "peer late")
    run(context, asyncio.sleep(5))
    assert context.fresh.revision == 6
    assert context.seen == sorted(set(context.seen)), context.seen


@when("a change is committed and the store shows {fault}")
def step_commit_fault(context, fault):
    faults = context.store.faults
    match fault:
        case "answer lost":
            faults.n_lost_answers = 1
        case "late write":
            faults.n_late_writes, faults.late_seconds = 1, 1.0
        case "stale read after a loss":
            faults.n_lost_answers = 1
            context.loop.call_later(0.01, setattr, faults, "n_stale_reads", 1)
        case "down":
            faults.is_down = True
        case "answer lost, then down":
            faults.n_lost_answers = 1
            context.loop.call_later(0.01, setattr, faults, "is_down", True)
    context.outcome = run(context, add_customer(context.manager, "wanted"))


@then("the operator is told {told}")
def step_told_operator(context, told):
    is_done = isinstance(context.outcome, Success)
    found = "Success" if is_done else type(context.outcome.failure()).__name__
    assert found == told, context.outcome


@then("after a minute the change is in force {times}")
def step_in_force(context, times):
    clear_faults(context)
    run(context, asyncio.sleep(60))
    assert count_in_force(context, "wanted") == (1 if times == "once" else 0)


@when("two daemons commit different changes on the same basis at the same time")
def step_race(context):
    other = make_manager(context)
    run(context, other.refresh())

    async def commit_both():
        return await asyncio.gather(
            add_customer(context.manager, "mine"), add_customer(other, "yours")
        )

    context.outcomes = run(context, commit_both())


@then("one change is accepted and the other operator is told the new revision")
def step_one_wins(context):
    won = [out for out in context.outcomes if isinstance(out, Success)]
    lost = [out for out in context.outcomes if not isinstance(out, Success)]
    assert [out.unwrap() for out in won] == [2]
    assert [out.failure().current for out in lost] == [2]
    names = [count_in_force(context, name) for name in ("mine", "yours")]
    assert sorted(names) == [0, 1]


@when("{n:d} targets are added in one change")
def step_many_targets(context, n):
    changed = make_configuration(990, n)
    outcome = run(context, context.manager.commit(Revision(1), changed))
    assert outcome == Success(2), outcome


@then("a daemon that starts from the table has all {n:d} targets")
def step_has_all(context, n):
    fresh = make_manager(context)
    run(context, fresh.refresh())
    assert len(fresh.view.targets) == n
    assert fresh.accepted == context.manager.accepted


@when("20 more changes are accepted with a snapshot every 4")
def step_twenty(context):
    context.old_head = run(context, read_head(context.store)).unwrap()
    context.old = SnapshotWork(context.store, context.objects, context.manager, 4)
    writer = make_manager(context)
    work = SnapshotWork(context.store, context.objects, writer, every=4)
    run(context, writer.refresh())
    for number in range(20):
        run(context, add_customer(writer, f"d{number}"))
        run(context, work.work(None))
    context.newest = writer.accepted


@when("a paused writer goes on with what it saw 20 changes ago")
def step_paused_writer(context):
    run(context, context.old._name_snapshot(context.old_head, Revision(6)))


@then("a daemon that starts from the table is at the newest revision")
def step_newest(context):
    fresh = make_manager(context)
    run(context, fresh.refresh())
    assert fresh.accepted == context.newest


@then("the table holds at most {n:d} deltas")
def step_deltas(context, n):
    deltas = [key for key in context.store.rows if key.startswith(REVISION_PREFIX)]
    assert len(deltas) <= n, deltas
