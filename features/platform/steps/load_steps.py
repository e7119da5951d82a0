"""Steps of loads.feature."""

from behave import then

from lycheepost.platform.dialect import decode_load
from lycheepost.targets.forwardcall import ReportedLoad

LOADS = {"3 running, 0 waiting, 8 slots": ReportedLoad(3, 0, 8), "no load": None}


@then('a server that writes "{written}" states {load}')
def step_states(context, written, load):
    assert decode_load(written) == LOADS[load], decode_load(written)
