"""Steps of order.feature."""

import functools
from dataclasses import replace
from statistics import fmean

from behave import given, then

from lycheepost.bench.orderload import BRIEF, DIGEST, LOADS
from lycheepost.bench.ordersim import Way, measure_order

SEED = 5
SECONDS = 45.0


@functools.cache
def run(load, way):
    return measure_order(replace(LOADS[load], duration_seconds=SECONDS), way, SEED)


def on_time_share(record):
    return (
        BRIEF.share * record.brief_on_time_share
        + DIGEST.share * record.digest_on_time_share
    )


@given("briefs and digests under {load}")
def step_load(context, load):
    context.record = run(load, Way.LYCHEEPOST)


@given("all loads")
def step_all_loads(context):
    context.shares = {
        way: fmean(on_time_share(run(load, way)) for load in LOADS)
        for way in (Way.LYCHEEPOST, Way.VIRTUAL_TIME)
    }


@then("9 in 10 briefs of customers inside their share are on time")
def step_briefs(context):
    assert context.record.inside_brief_on_time_share >= 0.9, context.record


@then("more requests are on time than by virtual time")
def step_more(context):
    shares = context.shares
    assert shares[Way.LYCHEEPOST] > shares[Way.VIRTUAL_TIME], shares


@then("briefs are not served 5 in 100 less than digests")
def step_kinds(context):
    record = context.record
    assert record.brief_served_share >= record.digest_served_share - 0.05, record


@then("the largest tenth of the digests is served at least half as often as all")
def step_largest(context):
    record = context.record
    assert record.largest_share >= 0.5 * record.digest_served_share, record


@then("every customer is served at least a quarter as often as all")
def step_customers(context):
    record = context.record
    served = (
        BRIEF.share * record.brief_served_share
        + DIGEST.share * record.digest_served_share
    )
    assert record.least_customer_share >= 0.25 * served, record
