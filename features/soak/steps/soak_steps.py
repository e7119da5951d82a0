"""Steps of soak.feature."""

import json
import pathlib
import socket
import subprocess
import sys

import psutil
from behave import then, when

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

from faultsoak import FAILED_SEEDS  # noqa: E402
from soakfleet import ReservedPorts  # noqa: E402


def run_soak(context, seed, n, seconds, *more):
    words = ["--seeds", str(seed), "--daemons", str(n), "--seconds", str(seconds)]
    context.run = subprocess.run(
        [sys.executable, "tools/faultsoak.py", *words, *more, "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )


@when(
    "the fault soak runs seed {seed:d} and the failed seeds but {apart:d} with {n:d}"
    " daemons for {seconds:d} s"
)
def step_run(context, seed, apart, n, seconds):
    assert apart in FAILED_SEEDS
    failed = ",".join(str(item) for item in FAILED_SEEDS if item != apart)
    run_soak(context, seed, n, seconds, "--failed", failed)


@when(
    "the fault soak runs seed {seed:d} by itself with {n:d} daemons for {seconds:d} s"
)
def step_run_one(context, seed, n, seconds):
    run_soak(context, seed, n, seconds, "--failed", "")


@when(
    "the fault soak runs seed {seed:d} of {fault} alone with {n:d} daemons for"
    " {seconds:d} s"
)
def step_run_alone(context, seed, fault, n, seconds):
    run_soak(context, seed, n, seconds, "--first", fault, "--only")


@when(
    "the fault soak runs seed {seed:d} of {fault} alone with {n:d} daemons for"
    ' {seconds:d} s, in the form "{form}"'
)
def step_run_form(context, seed, fault, n, seconds, form):
    words = ("--first", fault, "--only", "--form", form)
    run_soak(context, seed, n, seconds, *words)


@then("it tells of answers that were served, and of no violation")
def step_told(context):
    assert context.run.returncode == 0, context.run.stdout + context.run.stderr
    context.told = told = json.loads(context.run.stdout.splitlines()[0])
    assert told["violations"] == []
    assert any(name.endswith("served") for name in told["outcomes"])


@then("none of its processes is left")
def step_left(context):
    assert context.told["pids"]
    for pid in context.told["pids"]:
        try:
            words = psutil.Process(pid).cmdline()
        except psutil.NoSuchProcess:
            continue
        # The system may have given the id to somebody else's process meanwhile.
        assert str(ROOT) not in psutil.Process(pid).cwd(), (pid, words)


@when("two fleets of processes reserve {n:d} ports each")
def step_reserve(context, n):
    fleets = [ReservedPorts(), ReservedPorts()]
    for reserved in fleets:
        context.add_cleanup(reserved.release)
    context.ports = [port for reserved in fleets for port in reserved.take(n)]


@then("no port is reserved twice, and each can be listened on")
def step_ports(context):
    assert len(set(context.ports)) == len(context.ports)
    for port in context.ports:
        socket.create_server(("127.0.0.1", port)).close()
