"""Steps that run tools/fuzz.py with derandomized examples."""

import pathlib
import sys

from behave import then, when

sys.path.insert(0, str(pathlib.Path(__file__).parents[3] / "tools"))

import fuzz  # noqa: E402


@when("{edge} get {n:d} examples of hostile bytes")
def when_fuzzed(context, edge, n):
    context.finding = None
    try:
        fuzz.run_edge(edge, n)
    except Exception as error:
        context.finding = error


@then("none is mishandled")
def then_none(context):
    finding = context.finding
    assert finding is None, (finding, getattr(finding, "__notes__", ""))
