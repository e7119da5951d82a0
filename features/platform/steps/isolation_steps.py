"""Steps of documents.feature: customers that share cached parts, or are isolated."""

import json

from behave import then, when
from document_steps import CONFIGURATION

from lycheepost.core.ids import WeightsVersion
from lycheepost.decide.promptlevels import make_scope
from lycheepost.decide.routes import match_route
from lycheepost.platform.documents import decode_configuration


def decode_customers(customers):
    """Return the route table of a configuration with customers and a public route."""
    document = CONFIGURATION | {
        "tenants": [
            {
                "name": customer.rstrip("*"),
                "api_keys": [f"key-{customer.rstrip('*')}"],
                "isolated": customer.endswith("*"),
            }
            for customer in customers.split()
        ]
    }
    public = {**CONFIGURATION["routes"][0], "prefix": "/public/", "public": True}
    document["routes"] = [*CONFIGURATION["routes"], public]
    return decode_configuration(json.dumps(document).encode()).unwrap()


def scope_of(table, path, key):
    """Return the cache scope of a caller's requests on a path."""
    holder = match_route(table, "a.example", path, key).holder
    return str(make_scope(holder, WeightsVersion("1")))


@when(
    "a configuration of customers {before} is followed by one of {after}, starred where"
    " isolated"
)
def step_isolation(context, before, after):
    tables = decode_customers(before), decode_customers(after)
    context.made = scope_of(tables[0], "/x/1", "key-a")
    context.used = {
        "b": scope_of(tables[1], "/x/1", "key-b"),
        "callers without a key": scope_of(tables[1], "/public/1", None),
    }


@then("what a made before is {shared} with {caller} after it")
def step_shared(context, shared, caller):
    is_shared = context.made == context.used[caller]
    assert is_shared == (shared == "shared"), (context.made, context.used)
