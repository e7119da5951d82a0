"""``lycheepost customer``: create, list, rotate keys, disable."""

import json
from typing import Annotated, Any

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

app = typer.Typer(help="Customers and their caller keys.", no_args_is_help=True)

Name = Annotated[str, typer.Argument(help="Name of the customer.")]


@app.command()
def create(
    customer: Name,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    share_weight: Annotated[float, typer.Option(help="Weight in fair sharing.")] = 1.0,
    model: Annotated[
        list[str] | None, typer.Option(help="A model it may use; all when left out.")
    ] = None,
    target_group: Annotated[
        list[str] | None, typer.Option(help="A plain service it may use.")
    ] = None,
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Create a customer; its caller key is printed once.

    Exit codes: 0 created, 1 refused, 2 faulty input, 3 no answer.
    """
    document = {
        "kind": "create_customer",
        "customer": customer,
        "share_weight": share_weight,
        "models": model or [],
        "target_groups": target_group or [],
    }
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)


@app.command("list")
def list_customers(
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    json_output: Json = False,
) -> None:
    """List the customers; no key is kept, so none is shown.

    Exit codes: 0 listed, 1 refused, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    body = request(connection, "GET", "/v1/configuration", None, json_output)
    customers = [_without_hashes(item) for item in body["customers"]]
    if json_output:
        print(json.dumps(customers))
        return
    for item in customers:
        state = "enabled" if item["is_enabled"] else "disabled"
        print(
            f"{item['customer']}: {state}, weight {item['share_weight']},"
            f" {item['n_keys']} keys"
        )


def _without_hashes(item: dict[str, Any]) -> dict[str, Any]:
    shown = {name: value for name, value in item.items() if name != "key_hashes"}
    return {**shown, "n_keys": len(item["key_hashes"])}


@app.command("rotate-key")
def rotate_key(
    customer: Name,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    end_old: Annotated[
        bool, typer.Option(help="End every old key at once, as after a leak.")
    ] = False,
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Give a customer a new key; the newest old one works on unless ended.

    Exit codes: 0 rotated, 1 refused, 2 faulty input, 3 no answer.
    """
    document = {
        "kind": "rotate_customer_key",
        "customer": customer,
        "keep_newest_old_key": not end_old,
    }
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)


@app.command()
def quota(
    customer: Name,
    key: Key,
    rate_per_second: Annotated[
        float, typer.Option(help="Units that come back each second.")
    ],
    burst: Annotated[
        float, typer.Option(help="Units that may be spent at once after a silence.")
    ],
    unit: Annotated[str, typer.Option(help="requests or tokens.")] = "tokens",
    plain_units: Annotated[
        float, typer.Option(help="Tokens that a request without a prompt counts for.")
    ] = 1.0,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Bound what a customer may ask of all daemons together.

    Exit codes: 0 set, 1 refused, 2 faulty input, 3 no answer.
    """
    document = {
        "kind": "set_customer_quota",
        "customer": customer,
        "unit": unit,
        "rate_per_second": rate_per_second,
        "burst": burst,
        "plain_units": plain_units,
    }
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)


@app.command("remove-quota")
def remove_quota(
    customer: Name,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Let a customer ask for as much as it is served.

    Exit codes: 0 removed, 1 refused, 2 faulty input, 3 no answer.
    """
    document = {"kind": "remove_customer_quota", "customer": customer}
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)


@app.command("quotas")
def show_quotas(
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    json_output: Json = False,
) -> None:
    """Show each customer's quota and what is left of it, as one daemon sees it.

    Exit codes: 0 shown, 1 refused, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    body = request(connection, "GET", "/v1/quotas", None, json_output)
    if json_output:
        print(json.dumps(body))
        return
    print(f"this daemon may let through {body['share']:.0%} of each quota by itself")
    for name, item in sorted(body["customers"].items()):
        print(
            f"{name}: {item['rate_per_second']:g} {item['unit']} a second,"
            f" burst {item['burst']:g}, {item['left']:.0f} left;"
            f" let through here {item['spent_here']:.0f},"
            f" refused here {item['n_refused_here']} requests"
        )


@app.command()
def disable(
    customer: Name,
    key: Key,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Refuse a customer's new requests; those in flight are finished.

    Exit codes: 0 disabled, 1 refused, 2 faulty input, 3 no answer.
    """
    document = {"kind": "alter_customer", "customer": customer, "is_enabled": False}
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)
