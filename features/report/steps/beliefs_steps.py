"""Steps of beliefs.feature."""

import copy
import json

from behave import given, then, when
from returns.result import Failure, Success

from lycheepost.report.beliefs import StatusUnreadable, find_differences, read_belief

STATUS = {
    "daemon_id": "a",
    "boot": "1",
    "is_leaving": False,
    "switched_off": [],
    "configuration": {"version": 7, "confirmed_age_seconds": 0.4},
    "watches": [
        {"table": "op", "age_seconds": 0.4},
        {"table": "servers", "age_seconds": None},
    ],
    "members": {"a": "live", "b": "live", "c": "live"},
    "feed": {"source": "store"},
    "targets": {
        "t-1": {"state": "serving", "weights": {"m": "2"}},
        "t-2": {"state": "serving", "weights": {"m": "2"}},
        "t-3": {"state": None, "weights": None},
    },
    "duties": [{"duty": "weights", "is_held": False}],
}


def change(status, other):
    match other:
        case "an older configuration":
            status["configuration"]["version"] = 6
        case "that a peer is gone":
            status["members"]["b"] = "gone"
        case "that a target is gone":
            status["targets"]["t-1"]["state"] = "gone"
        case "older weights":
            status["targets"]["t-1"]["weights"]["m"] = "1"
        case "that it holds a duty of the first":
            status["duties"][0]["is_held"] = True


@given("status pages of three daemons")
def step_pages(context):
    context.pages = [copy.deepcopy(STATUS) for _ in range(3)]
    for page, name in zip(context.pages, "abc", strict=True):
        page["daemon_id"] = name
    context.pages[0]["duties"][0]["is_held"] = True


def compare(context):
    beliefs = [
        read_belief(json.dumps(page).encode()).unwrap() for page in context.pages
    ]
    context.differences = {item.subject: item for item in find_differences(beliefs)}


@when("the third believes {other}")
def step_other(context, other):
    change(context.pages[2], other)
    compare(context)


@when("they are compared")
def step_compared(context):
    compare(context)


@then("they differ in {what}, and only the third differs from the others")
def step_differ(context, what):
    # States and weights are compared as counts over all targets.
    assert what in context.differences, context.differences
    assert ("c",) in context.differences[what].told.values()


@then("they do not differ")
def step_alike(context):
    assert context.differences == {}, context.differences


@then("the duty is listed with both holders")
def step_duty(context):
    assert context.differences["duties"].told == {"weights": ("a", "c")}


@given("a status page that {what}")
def step_page(context, what):
    match what:
        case "is not JSON":
            context.page = b"{"
        case "is a list":
            context.page = b"[]"
        case "lacks the configuration":
            page = {k: v for k, v in STATUS.items() if k != "configuration"}
            context.page = json.dumps(page).encode()
        case "is of the product's own VM":
            context.page = json.dumps({"daemon_id": "a", "members": {}}).encode()


@when("it is read")
def step_read(context):
    context.read = read_belief(context.page)


@then("it is a failure that names the status page")
def step_failure(context):
    match context.read:
        case Failure(StatusUnreadable(reason=reason)):
            assert "status page" in reason
        case Success(belief):
            raise AssertionError(belief)
