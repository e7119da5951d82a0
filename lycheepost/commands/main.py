"""The ``lycheepost`` command: one module per command, imported lazily.

A daemon on a small VM must neither keep in memory nor load at start-up the plotting
and numeric libraries that other commands need.

Exit codes of every command: 0 success, 1 the command failed or an audit found a
fault, 2 invalid arguments or input, 3 a service could not be reached.
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

    A module with an ``app`` is a group of commands; any other module defines a
    function of the same name.
    """
    app = typer.Typer(
        name="lycheepost",
        help="A router for language-model traffic with long, nested, shared prompts.",
        no_args_is_help=True,
        add_completion=False,
    )
    # Without a callback, typer would run a single command without its name.
    app.callback()(_root)
    for name in names:
        module = importlib.import_module(f"lycheepost.commands.{name}")
        group = getattr(module, "app", None)
        if group is not None:
            app.add_typer(group, name=name)
        else:
            app.command(name)(getattr(module, name))
    return app


def _root() -> None:
    """A router for language-model traffic with long, nested, shared prompts."""


def run() -> None:
    """Run the command line; the entry point of the package."""
    command_name = sys.argv[1] if len(sys.argv) > 1 else ""
    names = (command_name,) if command_name in COMMANDS else COMMANDS
    make_app(names)()
