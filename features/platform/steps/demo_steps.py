"""Steps of demo.feature."""

from behave import then, when

from lycheepost.app import platformdemo
from lycheepost.app.platformfleet import Answer, PlatformFleet
from lycheepost.platform.models.serverstandin import PlatformServer
from lycheepost.platform.models.serverstate import ServerRun


@when("the platform demo runs for {seconds:d} s")
def step_demo(context, seconds):
    plan = platformdemo.PlatformDemoPlan(seconds, 25.0, 1)
    demo = platformdemo.run_platform_demo(plan)
    context.report = context.loop.run_until_complete(demo)


@then("its audit finds nothing")
def step_clean(context):
    assert context.report.violations == [], context.report.violations


@then("most requests were served, some by the new weights")
def step_served(context):
    outcomes = context.report.outcomes
    served = sum(n for name, n in outcomes.items() if name.endswith("served"))
    assert served > 0.8 * sum(outcomes.values()), outcomes
    assert context.report.weights["2"] > 0, context.report.weights


def make_fleet(*runs, service="plain"):
    fleet = PlatformFleet()
    server = PlatformServer(service)
    server.runs = [ServerRun("a1", "POST", path, b"", {}) for path in runs]
    fleet.servers = [server]
    return fleet


@when("the audit is shown {what}")
def step_shown(context, what):
    report = platformdemo.PlatformDemoReport()
    asked = platformdemo.DemoRequest("order", "POST", "/order/1", b"", b"right")
    fleet = make_fleet("/order/1")
    answers = {
        "another request's answer": Answer(200, {}, b"wrong"),
        "a cut answer with other bytes": Answer(200, {}, b"wr", is_whole=False),
        "an order that ran, called unrun": Answer(503),
    }
    if what in answers:
        platformdemo.check_answer(fleet, asked, "a1", answers[what], 0.1, report)
    elif what == "refusals and nothing else":
        report.outcomes.update(["order 503", "look 503", "title cut"])
        platformdemo._audit_served(report)
    elif what == "an order that ran twice":
        platformdemo.audit_runs(make_fleet("/order/1", "/order/1"), report)
    else:
        platformdemo.audit_runs(make_fleet("/look/1", service="llm"), report)
    context.report = report


@then('it reports "{words}"')
def step_tells(context, words):
    found = context.report.violations
    assert len(found) == 1 and words in found[0], found
