"""``lycheepost intent``: plan, confirm and track changes."""

import json
import pathlib
import sys
from typing import Annotated, Any

import typer
from returns.result import Success

from lycheepost.commands.operatorcalls import (
    DEFAULT_URL,
    CaFile,
    Json,
    Key,
    Url,
    Yes,
    confirm_and_print,
    plan_and_confirm,
    print_plan,
    request,
)
from lycheepost.commands.output import fail_with_faults
from lycheepost.operators.client import ApiConnection
from lycheepost.utils.documents import Fault, parse_yaml

app = typer.Typer(help="Plan, confirm and track changes.", no_args_is_help=True)


@app.command()
def plan(
    file: Annotated[
        pathlib.Path,
        typer.Argument(help="Intent in YAML or JSON; - for standard input."),
    ],
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    json_output: Json = False,
) -> None:
    """Show what an intent would do, without applying it.

    Exit codes: 0 planned, 1 refused, 2 the intent has faults, 3 no answer.
    """
    document = _read_intent(file)
    connection = ApiConnection(url, key, ca_file)
    planned = request(connection, "POST", "/v1/intents", document, json_output)
    if json_output:
        print(json.dumps(planned))
        return
    print_plan(planned)
    print(f"Confirm with: lycheepost intent confirm {planned['plan_id']}")


@app.command()
def confirm(
    plan_id: Annotated[str, typer.Argument(help="Id that `intent plan` printed.")],
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    allow_unrelated: Annotated[
        bool,
        typer.Option(
            help="Confirm after other plans too, if none changed the same items."
        ),
    ] = False,
    token: Annotated[
        str, typer.Option(help="Token of an earlier confirm whose answer was lost.")
    ] = "",
    json_output: Json = False,
) -> None:
    """Apply a plan once.

    Exit codes: 0 applied (now or before), 1 refused (for example because the basis
    revision changed), 3 no answer: the outcome is unknown, and the printed command
    retrieves it.
    """
    connection = ApiConnection(url, key, ca_file)
    confirm_and_print(connection, plan_id, token, allow_unrelated, json_output)


@app.command()
def show(
    key: Key,
    plan_id: Annotated[
        str, typer.Argument(help="Id of one plan; all recent plans if omitted.")
    ] = "",
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    json_output: Json = False,
) -> None:
    """Show recent plans and the progress of capacity intents.

    Exit codes: 0 shown, 1 refused or unknown, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    path = f"/v1/plans/{plan_id}" if plan_id else "/v1/intents"
    body = request(connection, "GET", path, None, json_output)
    if json_output:
        print(json.dumps(body))
    elif plan_id:
        print_plan(body)
    else:
        _print_listing(body)


def _print_listing(body: dict[str, Any]) -> None:
    print(f"revision {body['revision']}")
    for item in body["capacity_intents"]:
        print(
            f"{item['intent']}: {item['kind']} on {item['target_group']},"
            f" {item['state']}, {item['n_steps_done']} of {item['n_steps']} steps"
            f" {item['note']}"
        )
    for item in body["plans"]:
        print_plan(item)


def _plan_state_change(
    kind: str, intent: str, connection: ApiConnection, yes: bool, as_json: bool
) -> None:
    plan_and_confirm(connection, {"kind": kind, "intent": intent}, yes, as_json)


Intent = Annotated[str, typer.Argument(help="Name that `intent show` prints.")]


@app.command()
def pause(
    intent: Intent,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Pause a capacity intent: no further step starts, steps in progress finish.

    Exit codes: 0 done, 1 refused, 2 no such intent, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    _plan_state_change("pause_intent", intent, connection, yes, json_output)


@app.command()
def resume(
    intent: Intent,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Resume a paused or failed capacity intent; failed steps are retried.

    Exit codes: 0 done, 1 refused, 2 no such intent, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    _plan_state_change("resume_intent", intent, connection, yes, json_output)


@app.command()
def cancel(
    intent: Intent,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Cancel a capacity intent: draining targets return, loads in progress finish.

    Exit codes: 0 done, 1 refused, 2 no such intent, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    _plan_state_change("cancel_intent", intent, connection, yes, json_output)


def _read_intent(file: pathlib.Path) -> Any:
    try:
        text = sys.stdin.read() if str(file) == "-" else file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        fail_with_faults([Fault(str(file), "", f"cannot be read: {error}")])
    parsed = parse_yaml(text)
    if not isinstance(parsed, Success):
        fail_with_faults(parsed.failure())
    return parsed.unwrap()
