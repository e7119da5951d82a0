"""The ``lycheepost`` command: one module per command, imported when it is used.

A daemon on a small VM must not hold the plotting and numeric libraries that
other commands need, nor wait for them at its start.

Exit codes of every command: 0 success, 1 the work failed or an audit found a
fault, 2 wrong use or faulty input, 3 a service could not be reached.
"""

import importlib
import sys

import typer

COMMANDS = (
    "demo",
    "serve",
    "standin",
    "settings",
    "customer",
    "model",
    "intent",
    "fleet",
    "load",
    "report",
    "explain",
    "bench",
)
"""Names of the commands and of their modules, in the order of ``--help``."""


def make_app(names: tuple[str, ...] = COMMANDS) -> typer.Typer:
    """Return the command line with the commands ``names``.

    A module with an ``app`` is a group of commands; one without has a function
    of its own name.
    """
    app = typer.Typer(
        name="lycheepost",
        help="A router for language-model traffic with long, nested, shared prompts.",
        no_args_is_help=True,
        add_completion=False,
    )
    # Without a callback typer takes a single command for the whole program.
    app.callback()(_describe)
    for name in names:
        module = importlib.import_module(f"lycheepost.commands.{name}")
        group = getattr(module, "app", None)
        if group is not None:
            app.add_typer(group, name=name)
        else:
            app.command(name)(getattr(module, name))
    return app


def _describe() -> None:
    """A router for language-model traffic with long, nested, shared prompts."""


def run() -> None:
    """Run the command line; the entry point of the package."""
    asked = sys.argv[1] if len(sys.argv) > 1 else ""
    names = (asked,) if asked in COMMANDS else COMMANDS
    make_app(names)()
