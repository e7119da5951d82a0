"""``lycheepost fleet``: show daemons, targets and the revisions in force."""

import asyncio
import json

import typer

from lycheepost.commands.beliefs import beliefs
from lycheepost.commands.operatorcalls import (
    DEFAULT_URL,
    CaFile,
    Json,
    Key,
    Url,
    request,
)
from lycheepost.commands.peertraffic import traffic
from lycheepost.commands.targettable import targets
from lycheepost.operators.client import ApiConnection, ask_revisions

app = typer.Typer(help="Daemons and targets.", no_args_is_help=True)


@app.callback()
def group() -> None:
    """Daemons and targets."""


app.command()(beliefs)
app.command()(targets)
app.command()(traffic)


@app.command()
def show(
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    json_output: Json = False,
) -> None:
    """Show the revision in force per daemon, and the targets as one daemon sees them.

    Each daemon is asked for its revision, which is unknown if it does not answer.

    Exit codes: 0 shown, 1 refused, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    body = request(connection, "GET", "/v1/fleet", None, json_output)
    reported = asyncio.run(ask_revisions(body["daemons"], ca_file))
    for item in body["daemons"]:
        item["revision"] = reported.get(item["daemon_id"], item["revision"])
    if json_output:
        print(json.dumps(body))
        return
    print(f"seen by {body['daemon_id']} at revision {body['revision']}")
    for item in body["daemons"]:
        revision = "unknown" if item["revision"] < 0 else item["revision"]
        print(
            f"daemon {item['daemon_id']} ({item['availability_zone']}):"
            f" {item['state']}, revision {revision}"
        )
    for item in body["targets"]:
        print(
            f"target {item['target']} ({item['target_group']},"
            f" {item['availability_zone']}): wanted {item['desired_state']},"
            f" seen {item['state']}, share {item['serving_share']:.2f},"
            f" weights {item['weights_version'] or 'of the model'}"
        )
