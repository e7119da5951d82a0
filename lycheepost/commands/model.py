"""``lycheepost model``: create and list models, change their weights."""

import json
from typing import Annotated

import typer

from lycheepost.commands.operatorcalls import (
    DEFAULT_URL,
    CaFile,
    Json,
    Key,
    Url,
    Yes,
    plan_and_confirm,
    request,
)
from lycheepost.operators.client import ApiConnection

app = typer.Typer(help="Models and their weights.", no_args_is_help=True)

Name = Annotated[str, typer.Argument(help="Model name that callers use.")]
Version = Annotated[str, typer.Argument(help="Weights version in the weight store.")]


@app.command()
def create(
    model: Name,
    weights_version: Version,
    target_group: Annotated[str, typer.Argument(help="Target group of its engines.")],
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    max_prompt_tokens: Annotated[int, typer.Option()] = 131072,
    max_output_tokens: Annotated[int, typer.Option()] = 4096,
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Create a model name that callers use.

    Exit codes: 0 created, 1 refused, 2 faulty input, 3 no answer.
    """
    document = {
        "kind": "create_model",
        "model": model,
        "weights_version": weights_version,
        "target_group": target_group,
        "max_prompt_tokens": max_prompt_tokens,
        "max_output_tokens": max_output_tokens,
    }
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)


@app.command("set-version")
def set_version(
    model: Name,
    weights_version: Version,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    at_once: Annotated[
        bool, typer.Option(help="Load nothing; enough targets must hold it already.")
    ] = False,
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Change a model to another weights version, target by target.

    Exit codes: 0 started (or set, with --at-once), 1 refused, 2 faulty input, 3 no
    answer. `lycheepost intent show` shows the progress.
    """
    document = {
        "kind": "set_weights_version" if at_once else "new_weights",
        "model": model,
        "weights_version": weights_version,
    }
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)


@app.command("list")
def list_models(
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    json_output: Json = False,
) -> None:
    """List the models.

    Exit codes: 0 listed, 1 refused, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    body = request(connection, "GET", "/v1/configuration", None, json_output)
    if json_output:
        print(json.dumps(body["models"]))
        return
    for item in body["models"]:
        print(
            f"{item['model']}: weights {item['weights_version']}"
            f" on {item['target_group']}"
        )
