"""One virtual-time loop per scenario; its tasks are cancelled afterwards."""

import asyncio

from lycheepost.standin.virtualtime import VirtualTimeLoop


def before_scenario(context, scenario):
    context.loop = VirtualTimeLoop()


def after_scenario(context, scenario):
    tasks = asyncio.all_tasks(context.loop)
    for task in tasks:
        task.cancel()
    if tasks:
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        context.loop.run_until_complete(gathered)
    context.loop.close()
