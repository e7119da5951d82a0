"""Steps for the operators' commands, run against daemons on another thread."""

import contextlib
import os
import pathlib
import re
import shlex
import tempfile
import threading

from aiohttp import web
from behave import given, then, when
from typer.testing import CliRunner
from world import OPERATOR_KEYS

from lycheepost.commands.main import make_app


@contextlib.contextmanager
def running_loop(context):
    thread = threading.Thread(target=context.loop.run_forever)
    thread.start()
    try:
        yield
    finally:
        context.loop.call_soon_threadsafe(context.loop.stop)
        thread.join()


def run_command(context, command, answer=""):
    client = context.world.clients[context.daemon]
    environment = {
        "LYCHEEPOST_URL": str(client.make_url("")),
        "LYCHEEPOST_OPERATOR_KEY": OPERATOR_KEYS["ada"],
    }
    folder = os.getcwd()
    os.chdir(context.folder)
    try:
        with running_loop(context):
            context.result = CliRunner().invoke(
                make_app(("customer", "model", "intent")),
                shlex.split(command),
                input=answer,
                env=environment,
            )
    finally:
        os.chdir(folder)


@given("a shell with ada's key")
def given_shell(context):
    context.daemon = 0
    context.folder = tempfile.mkdtemp()
    (pathlib.Path(context.folder) / "broken.yaml").write_text("a: [1")
    good = "kind: create_customer\ncustomer: beta\n"
    (pathlib.Path(context.folder) / "good.yaml").write_text(good)


@when('the command "{command}" is run')
def when_run(context, command):
    run_command(context, command)


@when('the command "{command}" is run and answered with "{answer}"')
def when_run_answered(context, command, answer):
    run_command(context, command, answer + "\n")


@given('a plan that creates "{name}"')
def given_plan(context, name):
    document = {"kind": "create_customer", "customer": name}
    context.plan_id = context.world.plan(0, document)["plan_id"]


@when("the daemon applies the confirm and breaks the connection every time")
def when_broken(context):
    handler = web.Response._start

    async def cut(self, request):
        if request.path.endswith("/confirm"):
            request.transport.close()
        return await handler(self, request)

    web.Response._start = cut
    try:
        run_command(context, f"intent confirm {context.plan_id}")
    finally:
        web.Response._start = handler


@when("the printed command is run against the other daemon")
def when_printed(context):
    printed = re.search(r"lycheepost (intent confirm .+)", context.result.output)
    context.daemon = 1
    run_command(context, printed.group(1).strip())


@then("it exits with {code:d}")
def then_exits(context, code):
    result = context.result
    assert result.exit_code == code, (result.exit_code, result.output, result.exception)


@then('it prints "{text}"')
def then_prints(context, text):
    assert text in context.result.output, context.result.output
