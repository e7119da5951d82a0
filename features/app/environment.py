"""Ends every process that a scenario started, by its id.

The output of the processes of a failed scenario is printed; it shows why a process did
not start.
"""

LAST_CHARACTERS = 4000
END_SECONDS = 60.0


def before_scenario(context, scenario):
    context.processes = {}
    context.outputs = []


def after_scenario(context, scenario):
    if scenario.status == "failed":
        for output in context.outputs:
            print(f"{output.name}:\n{output.read_text()[-LAST_CHARACTERS:]}")
    for process in context.processes.values():
        if process.poll() is None:
            process.kill()
    for process in context.processes.values():
        process.wait(timeout=END_SECONDS)
