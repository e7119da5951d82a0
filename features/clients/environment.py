"""Ends the processes of a scenario, and prints the daemon's log if it failed."""


def before_scenario(context, scenario):
    context.system = None


def after_scenario(context, scenario):
    if context.system is None:
        return
    context.system.end()
    if scenario.status == "failed":
        print(context.system.log_tail())
