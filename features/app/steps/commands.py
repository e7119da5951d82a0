"""Steps on the command line and its faults of input."""

import pathlib
import socket
import subprocess
import tempfile

import yaml
from behave import given, then, when
from processes import PROGRAM

SECRET = "this-is-a-secret-of-wrong-type"


def valid_settings():
    url = "http://127.0.0.1:1"
    return {
        "deployment": "feature",
        "daemon": {"daemon_id": "a", "availability_zone": "z", "region": "r"},
        "platform": {
            "table_url": url,
            "objects_url": url,
            "weights_url": url,
            "vm_list_url": url,
        },
        "listeners": {"callers_port": 0, "operators_port": 0},
    }


def break_settings(settings, fault):
    match fault:
        case "has a key that is not known":
            settings["limits"] = {"body_byte": 1}
        case "has a text for a number":
            settings["limits"] = {"body_bytes": "many"}
        case "has a number out of range":
            settings["limits"] = {"max_tries": 0}
        case "lacks the platform":
            del settings["platform"]
        case "has one half of a peer key":
            settings["peers"] = {"secret_key": "x"}
        case "has a margin beyond its lease":
            settings["state"] = {"lease_seconds": 2, "lease_margin_seconds": 3}
        case "lets orders outlive the margin":
            settings["operators"] = {"order_timeout_seconds": 5}
        case "has a certificate that is gone":
            tls = {"certificate_path": "gone.pem", "key_path": "gone.pem"}
            settings["listeners"]["callers_tls"] = tls
        case "has a faulty fallback":
            settings["fallback_configuration"] = {"revision": 0, "customers": 1}
        case "has three faults":
            settings["daemon"]["region"] = 1
            settings["limits"] = {"max_tries": 0}
            settings["peers"] = {"secret_key": [SECRET]}
        case _:
            raise AssertionError(fault)
    return settings


def run_command(*arguments):
    return subprocess.run(
        [PROGRAM, *arguments], capture_output=True, text=True, timeout=60
    )


@given("a settings file that {fault}")
def given_file(context, fault):
    context.path = pathlib.Path(tempfile.mkdtemp()) / "settings.yaml"
    if fault == "is not YAML":
        context.path.write_text("a: [")
        return
    settings = break_settings(valid_settings(), fault)
    context.path.write_text(yaml.safe_dump(settings))


@when('"settings check" and "serve" read it')
def when_both(context):
    path = str(context.path)
    context.results = [
        run_command("settings", "check", path),
        run_command("serve", "--settings", path),
    ]


@then('both exit with code 2 and name "{path}" and "{reason}"')
def then_named(context, path, reason):
    for result in context.results:
        assert result.returncode == 2, result
        lines = result.stderr.splitlines()
        assert any(path in line and reason in line for line in lines), result.stderr


@then("three faults are reported and no secret is shown")
def then_three(context):
    for result in context.results:
        assert result.returncode == 2
        assert len(result.stderr.splitlines()) == 3, result.stderr
        assert SECRET not in result.stderr


@when('"settings check" reads {path}')
def when_check(context, path):
    context.result = run_command("settings", "check", path)


@then("it exits with code {code:d}")
def then_code(context, code):
    assert context.result.returncode == code, context.result


@given("a settings file whose port is taken")
def given_taken(context):
    context.holder = socket.create_server(("127.0.0.1", 0))
    settings = valid_settings()
    settings["listeners"]["callers_port"] = context.holder.getsockname()[1]
    context.path = pathlib.Path(tempfile.mkdtemp()) / "settings.yaml"
    context.path.write_text(yaml.safe_dump(settings))


@when('"serve" reads it')
def when_serve(context):
    context.result = run_command("serve", "--settings", str(context.path))


@then("it exits with code 1 and says why")
def then_says_why(context):
    context.holder.close()
    assert context.result.returncode == 1, context.result
    assert "cannot start" in context.result.stderr, context.result.stderr
