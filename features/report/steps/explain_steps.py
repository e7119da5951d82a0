"""Steps of explain.feature."""

import json
import pathlib
import tempfile

from behave import given, then, when
from typer.testing import CliRunner

from lycheepost.commands.main import make_app
from lycheepost.report.explain import explain

SENT = {"event": "forward: sent", "target": "i-1", "held_seconds": 0.2}
ANSWERED = {"event": "ingress: answered with an error"}
CASES = {
    "was served": [SENT | {"end": "served"}],
    "was refused for its customer's share": [
        ANSWERED | {"code": "over_share", "status": 429, "executed": "no"}
    ],
    "was lost with its target": [
        SENT | {"end": "no answer: ServerDisconnectedError"},
        ANSWERED | {"code": "outcome_unknown", "status": 502, "executed": "unknown"},
    ],
    "was cut in the middle": [
        SENT | {"end": "cut"},
        {"event": "relay: answer cut", "last_event": 7},
    ],
    "had a key that could not be confirmed": [
        ANSWERED | {"code": "key_unconfirmed", "status": 503, "executed": "no"}
    ],
    "left before its answer": [
        SENT | {"end": "cancelled"},
        {"event": "ingress: client left"},
    ],
}


@given("logs of two daemons in which request r1 {case}")
def step_logs(context, case):
    lines = [
        event | {"request_id": "r1", "timestamp": f"2026-01-01T00:00:0{n}Z"}
        for n, event in enumerate(CASES[case])
    ]
    other = {"request_id": "r9", "event": "forward: sent", "note": "r1"}
    texts = [f"  1.5 front-a {json.dumps(line)}" for line in reversed(lines)]
    context.texts = [json.dumps(other), "no json r1", "{broken r1", *texts]


@when("request {name} is explained")
def step_explain(context, name):
    context.found = explain(context.texts, name)


@then('the cause says "{words}"')
def step_cause(context, words):
    assert words in context.found.cause, context.found.cause


@then("its lines are in order of their timestamps")
def step_order(context):
    times = [line.text("timestamp") for line in context.found.lines]
    assert times and times == sorted(times), times
    assert all(line.text("request_id") == "r1" for line in context.found.lines)


@when("the command explains request {name} from a file")
def step_command(context, name):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "log"
        path.write_text("\n".join(context.texts))
        app = make_app(("explain",))
        context.result = CliRunner().invoke(app, ["explain", name, str(path)])


@then('it exits with {code:d} and prints "{words}"')
def step_exit(context, code, words):
    assert context.result.exit_code == code, context.result.output
    assert words in context.result.output, context.result.output
