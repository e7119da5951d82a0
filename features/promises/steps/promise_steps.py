"""Steps that features/promises and its sibling folders share."""

import pathlib
import sys

from behave import given, then, when

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from failures import FAILURES, clear_counted_faults, inject_all  # noqa: E402
from fleet import Fleet  # noqa: E402


def run(context, awaitable):
    return context.loop.run_until_complete(awaitable)


@given("a running fleet")
def given_fleet(context):
    context.fleet = Fleet()
    run(context, context.fleet.start())


@when("callers send for {seconds:g} seconds and meanwhile {failure}")
def when_failure(context, seconds, failure):
    names = failure.split(" while ")
    fleet = context.fleet
    context.report = run(
        context,
        fleet.load_with(lambda: inject_all(fleet, names), n_seconds=seconds),
    )


@then("the audit finds nothing wrong")
def then_nothing_wrong(context):
    audit = context.report.audit
    assert audit.is_order_record_read and audit.is_prompt_record_read
    assert not audit.violations, audit.violations[:5]
    assert audit.n_answers


@then("at least {percent:d}% of the requests were answered")
def then_answered(context, percent):
    report = context.report
    share = 100 * report.n_answered / report.n_sent
    assert share >= percent, (share, report.refusals, report.n_gave_up, report)


@then("afterwards every request is answered")
def then_afterwards(context):
    fleet = context.fleet
    # On a busy machine, fewer calls are made than there are injected faults. The
    # remaining ones belong to the failure, which has ended, and are removed.
    clear_counted_faults(fleet)
    report = run(
        context,
        fleet.load_with(
            lambda: FAILURES["nothing"](fleet),
            n_seconds=0.5,
            rate_per_second=30,
            # By then, crashed engines have restarted and sent a health report;
            # before that, a refusal is correct.
            quiet_seconds=0.5,
            after_seconds=0,
            seed=6,
        ),
    )
    assert report.n_answered == report.n_sent > 5, (report.refusals, report)
    assert not report.audit.violations, report.audit.violations[:5]
