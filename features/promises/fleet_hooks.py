"""One event loop and at most one fleet per scenario."""

import asyncio
import logging

import structlog


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.fleet = None
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.loop.run_until_complete(context.fleet.stop())
    context.loop.close()
