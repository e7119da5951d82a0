"""Steps of tasks.feature."""

import asyncio

from behave import given, then, when
from structlog.testing import capture_logs

from lycheepost.utils.tasks import start_task


async def end_as(end):
    match end:
        case "is cancelled":
            await asyncio.Event().wait()
        case "raises":
            raise ValueError("a message that cannot be read")


@given("a component with a task that {end}")
def step_task(context, end):
    context.end = end


@when("the task has ended")
def step_ended(context):
    async def run():
        # The reference is kept as a component keeps it, and the result isn't awaited.
        context.task = start_task(end_as(context.end), "loads")
        await asyncio.sleep(0)
        if context.end == "is cancelled":
            context.task.cancel()
        await asyncio.wait([context.task])
        await asyncio.sleep(0)

    with capture_logs() as context.lines:
        asyncio.run(run())


@then("its fault {told} in the log")
def step_told(context, told):
    found = [line["task"] for line in context.lines if "fault" in line["event"]]
    assert found == (["loads"] if told == "is told" else []), context.lines
