"""One event loop per scenario; its resources are closed afterwards."""

import asyncio


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.closers = []


def after_scenario(context, scenario):
    for close in reversed(context.closers):
        context.loop.run_until_complete(close())
    context.loop.close()
