import asyncio

from behave import given, then, when
from claim_steps import use_virtual_time
from returns.result import Success

from lycheepost.bench.leasechaos import NO_CHECK, NO_WAIT, OURS, measure_case
from lycheepost.core.ids import DaemonId, StoreEra
from lycheepost.core.storeversions import make_version
from lycheepost.ports.feed import ChangedRow, Changes
from lycheepost.standin.tableclient import TableClient
from lycheepost.state.feedmirror import FeedMirror
from lycheepost.state.leases import LeaseError, LeaseManager, LeasesUnknown


@when("{n:d} seeded runs of pauses, crashes, lost answers and races are made")
def step_runs(context, n):
    context.record = measure_case(OURS, n, 7)


@when("{n:d} seeded runs of pauses, crashes, lost answers, races and restores are made")
def step_restored_runs(context, n):
    context.record = measure_case(OURS, n, 7, restores=True)
    assert context.record.n_restores > n


@when("{n:d} seeded runs with restores are made by holders that do not wait")
def step_runs_without_wait(context, n):
    context.record = measure_case(NO_WAIT, n, 7, restores=True)


@then("fencing numbers are given twice, or targets take orders out of turn")
def step_harm_without_wait(context):
    record = context.record
    assert record.n_doubled_numbers or record.n_out_of_turn_ignoring, record


@when("{n:d} seeded runs are made by holders that trust their lease")
def step_trusting_runs(context, n):
    context.record = measure_case(NO_CHECK, n, 7)


@then("no target takes an order out of turn")
def step_none(context):
    record = context.record
    assert record.n_leases > record.n_runs and record.n_pauses > record.n_runs
    assert record.n_out_of_turn_checking == record.n_out_of_turn_ignoring == 0
    assert record.n_overlapping_orders == 0, record


@then("no fencing number is given twice")
def step_numbers(context):
    assert context.record.n_doubled_numbers == 0


@then("every target ends in the state that the last holder wants")
def step_repaired(context):
    assert context.record.n_left_unrepaired == 0, context.record


@then("targets that ignore fencing take orders out of turn")
def step_harm(context):
    assert context.record.n_out_of_turn_ignoring > 0


@then("targets that check fencing take none")
def step_no_harm(context):
    assert context.record.n_out_of_turn_checking == 0


@given("daemon A holds the duty for {length:d} seconds with a margin of {margin:d}")
def step_holds(context, length, margin):
    use_virtual_time(context)
    context.a, context.b = (
        LeaseManager(context.store, context.loop, DaemonId(name), length, margin)
        for name in "AB"
    )
    context.lease = context.loop.run_until_complete(context.a.acquire("duty")).unwrap()
    context.written_seconds = context.loop.now_seconds()
    first_attempt = context.loop.run_until_complete(context.b.acquire("duty"))
    assert first_attempt.failure().holder == "A"


@when("A dies")
@when("A is paused")
def step_nothing(context):
    pass


@when("A renews, then dies")
def step_renews(context):
    context.loop.run_until_complete(asyncio.sleep(3))
    renewed = context.loop.run_until_complete(context.a.renew(context.lease))
    context.written_seconds = context.loop.now_seconds()
    context.loop.run_until_complete(context.b.acquire("duty"))
    context.lease = renewed.unwrap()


@when("A releases the lease")
def step_releases(context):
    context.loop.run_until_complete(context.a.release(context.lease))
    context.released = True


@then("daemon B gets the duty after {seconds:d} seconds")
def step_gets(context, seconds):
    if seconds:
        context.loop.run_until_complete(asyncio.sleep(seconds - 0.1))
        early = context.loop.run_until_complete(context.b.acquire("duty"))
        assert early.failure().retry_after_seconds <= 0.2
        context.loop.run_until_complete(asyncio.sleep(0.2))
    context.taken = context.loop.run_until_complete(context.b.acquire("duty")).unwrap()


@then(
    "daemon A may not send orders by then, nor later than 8 seconds after its last"
    " write"
)
def step_may_not(context):
    assert context.lease.is_held(context.written_seconds + 7.9)
    assert not context.lease.is_held(context.written_seconds + 8.1)
    is_released = getattr(context, "released", False)
    assert is_released or not context.lease.is_held(context.loop.now_seconds())


@then("the fencing number has risen")
def step_risen(context):
    assert context.taken.fencing_number == context.lease.fencing_number + 1


@when("A loses the answer to a renewal and B takes over after it has run out")
def step_lost_renewal(context):
    faults = context.store.faults
    faults.n_lost_answers = 1
    context.loop.call_later(0.01, setattr, faults, "is_down", True)
    lost = context.loop.run_until_complete(context.a.renew(context.lease))
    assert not isinstance(lost, Success)
    faults.clear()
    context.loop.run_until_complete(context.b.acquire("duty"))
    context.loop.run_until_complete(asyncio.sleep(12.1))
    context.taken = context.loop.run_until_complete(context.b.acquire("duty")).unwrap()


@when("A renews again and its read of the row is stale")
def step_stale_renewal(context):
    context.store.faults.n_stale_reads = 1
    context.renewed = context.loop.run_until_complete(context.a.renew(context.lease))


@then("A does not hold the duty")
def step_holds_not(context):
    assert context.taken.is_held(context.loop.now_seconds())
    assert not isinstance(context.renewed, Success), context.renewed


OLD_ERA, NEW_ERA = StoreEra(1), StoreEra(2)


@given("daemons A and B of a restored table, where A has acquired the duty anew")
def step_restored(context):
    use_virtual_time(context)
    run = context.loop.run_until_complete
    context.a, context.b = (
        LeaseManager(
            TableClient(context.store, context.loop),
            context.loop,
            DaemonId(name),
            10,
            2,
        )
        for name in "AB"
    )
    copy = context.store.copy()
    context.old_lease = run(context.a.acquire("duty")).unwrap()
    context.store.restore(copy)
    for manager in (context.a, context.b):
        found = run(manager.acquire("duty")).failure()
        assert isinstance(found, LeasesUnknown | LeaseError), found
    run(asyncio.sleep(12.5))
    context.taken = run(context.a.acquire("duty")).unwrap()
    assert run(context.b.acquire("duty")).failure().holder == "A"


@when("a report of A's renewal before the restore reaches B late")
def step_late_report(context):
    context.loop.run_until_complete(asyncio.sleep(5))
    context.b.note_renewed("duty", context.old_lease.version + 10)


@then("B still counts from A's lease of the new era")
def step_counts(context):
    found = context.loop.run_until_complete(context.b.acquire("duty")).failure()
    assert found.holder == "A" and 6.5 < found.retry_after_seconds <= 7.1, found
    assert not context.b.is_renewal_reported("duty")


@given("a copy of a table {copy}")
def step_copy(context, copy):
    era = {"from before a restore": OLD_ERA, "from after a restore": NEW_ERA}[copy]
    context.mirror = FeedMirror()
    rows = (ChangedRow("a", b"1"),)
    context.mirror.apply(Changes(rows, make_version(era, 50), True), None, 1.0)
    changed = (ChangedRow("b", b"2"),)
    context.mirror.apply(
        Changes(changed, make_version(era, 60)), make_version(era, 50), 2.0
    )


@when("a daemon {asker} asks for the changes")
def step_asks(context, asker):
    era = {"that knows the new era": NEW_ERA, "that knows the old era": OLD_ERA}[asker]
    context.found = context.mirror.changes_after(make_version(era, 55))


@then("the copy answers with {answer}")
def step_gets_changes(context, answer):
    found = context.found
    match answer:
        case "nothing":
            assert found is None, found
        case "the whole table":
            assert found.is_whole and len(found.rows) == 2, found
        case "the changes":
            assert not found.is_whole and [row.key for row in found.rows] == ["b"]
