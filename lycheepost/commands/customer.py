"""``lycheepost customer``: manage customers, their keys and quotas."""

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
        list[str] | None,
        typer.Option(help="Model it may use; repeatable; all if omitted."),
    ] = None,
    target_group: Annotated[
        list[str] | None, typer.Option(help="Plain service it may use; repeatable.")
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
    """List the customers; keys are stored as hashes, so none is shown.

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
        bool, typer.Option(help="Revoke all old keys at once, as after a leak.")
    ] = False,
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Create a new key; the newest old one stays valid unless --end-old is given.

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
    rate_per_second: Annotated[float, typer.Option(help="Units refilled per second.")],
    burst: Annotated[
        float, typer.Option(help="Units that may be spent at once after idle time.")
    ],
    unit: Annotated[str, typer.Option(help="requests or tokens.")] = "tokens",
    plain_units: Annotated[
        float, typer.Option(help="Tokens charged for a request without a prompt.")
    ] = 1.0,
    url: Url = DEFAULT_URL,
    ca_file: CaFile = "",
    yes: Yes = False,
    json_output: Json = False,
) -> None:
    """Set a customer's quota across all daemons.

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
    """Remove a customer's quota.

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
    """Show each customer's quota and what is left of it, as known to one daemon.

    Exit codes: 0 shown, 1 refused, 3 no answer.
    """
    connection = ApiConnection(url, key, ca_file)
    body = request(connection, "GET", "/v1/quotas", None, json_output)
    if json_output:
        print(json.dumps(body))
        return
    print(f"this daemon may admit {body['share']:.0%} of each quota by itself")
    for name, item in sorted(body["customers"].items()):
        print(
            f"{name}: {item['rate_per_second']:g} {item['unit']} per second,"
            f" burst {item['burst']:g}, {item['left']:.0f} left;"
            f" admitted here {item['spent_here']:.0f},"
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
    """Reject a customer's new requests; requests in flight finish.

    Exit codes: 0 disabled, 1 refused, 2 faulty input, 3 no answer.
    """
    document = {"kind": "alter_customer", "customer": customer, "is_enabled": False}
    connection = ApiConnection(url, key, ca_file)
    plan_and_confirm(connection, document, yes, json_output)
