"""Steps of collector.feature; the collector's settings are restored afterwards."""

import contextlib
import gc

from behave import then, when

from lycheepost.utils.collector import loading_modules


def count_collections():
    return sum(item["collections"] for item in gc.get_stats())


@when("{n:d} objects are created while modules are loaded")
def step_objects(context, n):
    context.add_cleanup(gc.unfreeze)
    context.n = n
    n_frozen = gc.get_freeze_count()
    n_collections = count_collections()
    with loading_modules():
        context.kept = [[number] for number in range(n)]
        context.n_collections = count_collections() - n_collections
    context.n_frozen = gc.get_freeze_count() - n_frozen


@when("loading a module fails")
def step_fails(context):
    context.add_cleanup(gc.unfreeze)
    with contextlib.suppress(ImportError), loading_modules():
        raise ImportError("no such module")


@then("no collection has run meanwhile")
def step_none(context):
    assert context.n_collections == 0


@then("later collections skip these objects")
def step_frozen(context):
    assert context.n_frozen >= context.n


@then("collections run again")
def step_again(context):
    assert gc.isenabled()
