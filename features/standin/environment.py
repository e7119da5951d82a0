"""Gives each scenario an event loop and stops what the scenario started on it."""

import asyncio
import contextlib

from lycheepost.generated.settings import LogFormat, LogLevel, LogSettings
from lycheepost.utils.logs import configure_logs


def before_all(context):
    configure_logs(LogSettings(level=LogLevel.ERROR, format=LogFormat.CONSOLE))


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.stack = contextlib.AsyncExitStack()
    context.run = context.loop.run_until_complete


def after_scenario(context, scenario):
    context.run(context.stack.aclose())
    context.loop.close()
