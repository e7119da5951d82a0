"""Creates an event loop per scenario and closes its deployment and loop afterwards."""

import asyncio
import logging

import structlog


def before_all(context):
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.deployment = None
    context.closers = []


def after_scenario(context, scenario):
    if context.deployment is not None:
        context.loop.run_until_complete(context.deployment.stop())
    for close in reversed(context.closers):
        context.loop.run_until_complete(close())
    context.loop.close()
