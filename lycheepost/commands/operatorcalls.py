"""Options, API calls and output shared by the operator commands.

Exit codes: 0 done; 1 the daemon refused; 2 the input has faults; 3 no daemon or
no table service answered, and the outcome of a confirm is unknown.
"""

import asyncio
import json
import secrets
import sys
from typing import Annotated, Any, NoReturn

import typer
from returns.result import Success

from lycheepost.commands.output import ExitCode, fail
from lycheepost.operators.client import (
    ApiAnswer,
    ApiConnection,
    ApiRefused,
    ApiUnreachable,
    call_api,
    confirm,
)

Url = Annotated[
    str,
    typer.Option("--url", envvar="LYCHEEPOST_URL", help="Base URL of any daemon."),
]
Key = Annotated[
    str,
    typer.Option(
        "--key",
        envvar="LYCHEEPOST_OPERATOR_KEY",
        help="Operator key; prefer the environment variable.",
        show_envvar=True,
    ),
]
CaFile = Annotated[
    str,
    typer.Option(
        "--ca-file",
        envvar="LYCHEEPOST_CA_FILE",
        help="CA certificates to trust additionally.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Yes = Annotated[bool, typer.Option("--yes", help="Confirm without a prompt.")]

DEFAULT_URL = "http://127.0.0.1:8081"


def request(
    connection: ApiConnection, method: str, path: str, document: Any, as_json: bool
) -> Any:
    """Call the API once and return the body; print an error and exit on failure."""
    return _unwrap(asyncio.run(call_api(connection, method, path, document)), as_json)


def confirm_and_print(
    connection: ApiConnection,
    plan_id: str,
    token: str,
    allow_unrelated: bool,
    as_json: bool,
) -> None:
    """Confirm a plan and print the result; a new key is shown only once."""
    token = token or secrets.token_urlsafe(32)
    answer = asyncio.run(confirm(connection, plan_id, token, allow_unrelated))
    if not isinstance(answer, Success):
        _explain_unknown_outcome(answer, plan_id, token)
    body = _unwrap(answer, as_json)
    if as_json:
        print(json.dumps(body))
        return
    print(f"{plan_id} is in force as revision {body['revision']}.")
    for intent in body["intents"]:
        print(f"capacity intent: {intent}")
    for item in body["keys"]:
        print(f"key of {item['customer']}, shown this once: {item['key']}")
    if body["n_keys_withheld"]:
        print("The key was shown to the first confirm only; rotate it if lost.")


def plan_and_confirm(
    connection: ApiConnection, document: Any, yes: bool, as_json: bool
) -> None:
    """Plan an intent, show the plan, ask for confirmation and confirm it."""
    plan = request(connection, "POST", "/v1/intents", document, as_json)
    if not as_json or not yes:
        print_plan(plan, sys.stderr if as_json else sys.stdout)
    if not yes and not typer.confirm("Confirm this plan?", err=as_json):
        print("Nothing was changed.", file=sys.stderr)
        raise typer.Exit(ExitCode.FAILED)
    confirm_and_print(connection, plan["plan_id"], "", False, as_json)


def print_plan(plan: dict[str, Any], stream: Any = None) -> None:
    """Print a plan as text."""
    stream = stream or sys.stdout
    state = plan["state"]
    print(
        f"{plan['plan_id']}: {state}, on revision {plan['basis_revision']}",
        file=stream,
    )
    for step in plan["steps"]:
        print(
            f"  {step['number']}. {step['action']} {step['subject']}: {step['detail']}",
            file=stream,
        )
    for conflict in plan["conflicts"]:
        label = "BLOCKED" if conflict["is_blocking"] else "conflict"
        print(f"  {label}: {conflict['subject']}: {conflict['reason']}", file=stream)
    seconds = plan["estimate"]["seconds"]
    print(f"  {plan['estimate']['n_steps']} steps, {seconds:.0f} s", file=stream)


def _explain_unknown_outcome(answer: ApiAnswer, plan_id: str, token: str) -> None:
    error = answer.failure()
    is_outcome_unknown = isinstance(error, ApiUnreachable) or (
        isinstance(error, ApiRefused) and error.body.get("is_applied") is None
    )
    if is_outcome_unknown:
        print(
            "The plan may have been applied. To find out, and to see a new key, run:"
            f" lycheepost intent confirm {plan_id} --token {token}",
            file=sys.stderr,
        )


def _unwrap(answer: ApiAnswer, as_json: bool) -> Any:
    if not isinstance(answer, Success):
        _fail(answer.failure(), as_json)
    return answer.unwrap()


def _fail(error: ApiRefused | ApiUnreachable, as_json: bool) -> NoReturn:
    if isinstance(error, ApiUnreachable):
        fail(error.reason, ExitCode.UNREACHABLE)
    _fail_refused(error, as_json)


def _fail_refused(error: ApiRefused, as_json: bool) -> NoReturn:
    if as_json:
        print(json.dumps(error.body))
    print(error.reason, file=sys.stderr)
    for fault in error.body.get("faults", []):
        print(
            f"  {fault['path']}: {fault['value']}: {fault['reason']}", file=sys.stderr
        )
    match error.status:
        case 400 | 413 | 422:
            raise typer.Exit(ExitCode.BAD_INPUT)
        case 503:
            raise typer.Exit(ExitCode.UNREACHABLE)
        case _:
            raise typer.Exit(ExitCode.FAILED)
