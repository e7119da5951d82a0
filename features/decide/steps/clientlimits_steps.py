"""Steps of clientlimits.feature."""

import re

from behave import given, then, when

from lycheepost.decide.clientlimits import (
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    MEBIBYTE,
    PROCESS_BYTES,
    make_client_limits,
)
from lycheepost.decide.clientwaits import ClientState, ClientWaits


def words_of(text):
    return re.split(r", | and ", text)


@then("a VM of {memory:d} MB with {descriptors:d} descriptors serves {n:d} connections")
def step_connections(context, memory, descriptors, n):
    context.memory, context.descriptors = memory, descriptors
    context.limits = make_client_limits(memory, descriptors)
    assert context.limits.max_connections == n, context.limits


@then(
    "clients hold at most {held:g} MB there, and less than the VM has beside a daemon"
)
def step_held(context, held):
    limits = context.limits
    assert round(limits.max_bytes / MEBIBYTE, 1) == held, limits
    assert limits.max_bytes < context.memory * MEBIBYTE - PROCESS_BYTES
    assert limits.max_connections * CONNECTION_BYTES < limits.max_bytes


@then("half of the descriptors that are not for files are left for targets")
def step_descriptors(context):
    n_sockets = context.descriptors - FILE_DESCRIPTORS
    assert context.limits.max_connections <= n_sockets / 2


@then("a VM of unstated size serves as many connections as one of {memory:d} MB")
def step_unstated(context, memory):
    assert make_client_limits() == make_client_limits(memory, 4100)


@given("connections {names} that began at {times} s")
def step_waits(context, names, times):
    context.waits = ClientWaits()
    for name, seconds in zip(words_of(names), words_of(times), strict=True):
        context.waits.enter(name, ClientState(name), float(seconds))


@when("connection {name} makes progress at {seconds:g} s")
def step_progress(context, name, seconds):
    context.waits.enter(name, context.waits.state(name), seconds)


def all_chosen(choose, waits, now_seconds):
    chosen = []
    while (client := choose(now_seconds)) is not None:
        waits.remove(client)
        chosen.append(client)
    return chosen


@then("at {now_seconds:g} s the connections that give way to new ones are {names}")
def step_places(context, now_seconds, names):
    waits = context.waits
    chosen = all_chosen(waits.choose_for_place, waits, now_seconds)
    assert chosen == words_of(names), chosen


@then("at {now_seconds:g} s the connections that give way to bodies are {names}")
def step_bodies(context, now_seconds, names):
    waits = context.waits
    states = {name: waits.state(name) for name in words_of(names)}
    chosen = all_chosen(waits.choose_for_bytes, waits, now_seconds)
    assert chosen == words_of(names), chosen
    for name, state in states.items():
        waits.enter(name, state, 3.0 if name == "body" else 4.0)


@then("at {now_seconds:g} s no connection gives way to a body")
def step_no_body(context, now_seconds):
    assert context.waits.choose_for_bytes(now_seconds) is None


@then("at {now_seconds:g} s no connection gives way to a new one")
def step_no_place(context, now_seconds):
    assert context.waits.choose_for_place(now_seconds) is None
