"""The ``lycheepost`` command: registers one module per command.

Exit codes of every command: 0 success, 1 the work failed or an audit found a
fault, 2 wrong use or faulty input, 3 a service could not be reached.
"""

import typer

from lycheepost.commands import (
    bench,
    customer,
    demo,
    fleet,
    intent,
    load,
    model,
    report,
    serve,
    settings,
    standin,
)

app = typer.Typer(
    name="lycheepost",
    help="A router for language-model traffic with long, nested, shared prompts.",
    no_args_is_help=True,
    add_completion=False,
)

app.add_typer(bench.app, name="bench")
app.command()(demo.demo)
app.command()(serve.serve)
app.command()(standin.standin)
app.add_typer(settings.app, name="settings")
app.command("load")(load.load)
app.add_typer(report.app, name="report")
app.add_typer(customer.app, name="customer")
app.add_typer(model.app, name="model")
app.add_typer(intent.app, name="intent")
app.add_typer(fleet.app, name="fleet")


def run() -> None:
    """Run the command line; the entry point of the package."""
    app()
