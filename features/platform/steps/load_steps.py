"""Steps of loads.feature."""

from behave import then

from lycheepost.platform.dialect import decode_load
from lycheepost.targets.forwardcall import ReportedLoad

LOADS = {
    "3 running, 0 waiting, 8 slots": ReportedLoad(3, 0, 8),
    "3 running, 0 waiting, 8 slots, 140 percent": ReportedLoad(3, 0, 8, 140),
    "no load": None,
}


@then('a server that writes "{written}" states {load}')
def step_states(context, written, load):
    assert decode_load(written) == LOADS[load], decode_load(written)


@then("a server that writes {n:d} digits as its speed states its load without a speed")
def step_many_digits(context, n):
    load = decode_load("3,0,8," + "9" * n)
    assert load == ReportedLoad(3, 0, 8), load
