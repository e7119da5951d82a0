"""Steps of logwriter.feature."""

import json
import os

from behave import given, then, when

from lycheepost.utils.logwriter import LogWriter

LARGEST_READ = 1 << 20


@given("a pipe that nobody reads")
@given("a pipe that is read all the time")
def step_pipe(context):
    context.read_end, write_end = os.pipe()
    os.set_blocking(context.read_end, False)
    context.now_seconds = 0.0
    context.output = ""
    context.writer = LogWriter(write_end, lambda: context.now_seconds)


@given("a pipe whose reader has gone")
def step_gone(context):
    step_pipe(context)
    os.close(context.read_end)


def read(context):
    while True:
        try:
            context.output += os.read(context.read_end, LARGEST_READ).decode()
        except BlockingIOError:
            return


def write(context, line):
    context.writer.write(line + "\n")
    context.writer.flush()


@when("{n:d} lines of {size:d} bytes are written")
def step_long(context, n, size):
    for _ in range(n):
        context.now_seconds += 0.01
        write(context, "x" * size)


@then("writing never blocked, and some lines were dropped")
def step_dropped(context):
    # A blocking write would not have returned, since nothing was read.
    assert 0 < context.writer.n_dropped < 2000, context.writer.n_dropped


@when("the reader reads again and one more line is written")
def step_again(context):
    read(context)
    write(context, "the last")
    # A pipe holds less than the writer's buffer.
    for _ in range(10):
        read(context)
        context.writer.flush()


def count_dropped(context):
    lines = [line for line in context.output.splitlines() if "lines dropped" in line]
    return sum(json.loads(line)["n_lines"] for line in lines)


@then("a line reports how many were dropped")
def step_told(context):
    assert count_dropped(context) == context.writer.n_dropped, count_dropped(context)
    assert context.output.endswith("the last\n")


@when("{n:d} short lines are written in one moment")
def step_short(context, n):
    for index in range(n):
        write(context, f"line {index}")
        if hasattr(context, "reads"):
            read(context)


@then("{n:d} lines arrived")
def step_came(context, n):
    read(context)
    assert context.output.count("\n") == n, context.output.count("\n")


@when("{seconds:d} s pass and one more line is written")
def step_later(context, seconds):
    context.now_seconds += seconds
    write(context, "the last")
    read(context)


@then("a line reports that {n:d} were dropped")
def step_told_count(context, n):
    assert count_dropped(context) == n, count_dropped(context)


@then("nothing fails")
def step_fine(context):
    assert context.writer.n_dropped == 0
