"""Ends every process that a scenario started, by its id."""


def before_scenario(context, scenario):
    context.processes = {}


def after_scenario(context, scenario):
    for process in context.processes.values():
        if process.poll() is None:
            process.kill()
        process.wait(timeout=10)
