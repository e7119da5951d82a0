"""Steps of audit.feature."""

import asyncio
import itertools
import pathlib
import sys

import numpy as np
from aiohttp import web
from behave import given, then, when

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from spoiled import SpoiledSystem, answer_words  # noqa: E402

from lycheepost.core.ids import CustomerId  # noqa: E402
from lycheepost.loadgen.audit import ExpectedAnswers  # noqa: E402
from lycheepost.loadgen.drive import LoadPlan, run_load  # noqa: E402
from lycheepost.loadgen.mixes import (  # noqa: E402
    Deployment,
    generate,
    make_mix,
)
from lycheepost.standin.ports import port_of, reserve_port

KEYS = {CustomerId("large"): "k1", CustomerId("small"): "k2"}


@given('a system that spoils one answer in five by "{spoil}"')
def given_spoiled(context, spoil):
    context.system = SpoiledSystem(spoil)
    context.has_dead_address = False


@given("a system whose first address takes no connection")
def given_dead_address(context):
    context.system = SpoiledSystem("nothing")
    context.has_dead_address = True


async def run_against(context, deployment):
    runner = web.AppRunner(context.system.make_app(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    addresses = [f"http://127.0.0.1:{port}"]
    if context.has_dead_address:
        reserved = reserve_port("127.0.0.1")
        context.add_cleanup(reserved.close)
        addresses.insert(0, f"http://127.0.0.1:{port_of(reserved)}")
    context.system.addresses = addresses
    plan = LoadPlan(
        addresses=tuple(addresses),
        keys=KEYS,
        deployment=deployment,
        model="m",
        service_path="/services/kiosk-orders/orders",
        answers=ExpectedAnswers(
            text=lambda request: "".join(answer_words(request.number)),
            prompt_hash=lambda request: request.number,
        ),
        n_seconds=0.5,
        rate_per_second=240,
        seed=3,
        read_evidence=context.system.evidence,
    )
    try:
        return await run_load(plan)
    finally:
        await runner.cleanup()


@when("{deployment} traffic runs against it")
def when_traffic(context, deployment):
    context.report = asyncio.run(run_against(context, Deployment(deployment)))


@then('the audit finds only "{fault}"')
def then_only(context, fault):
    found = {item.fault.value for item in context.report.audit.violations}
    assert found == {fault}, context.report.audit.violations[:5]


@then("the audit finds nothing")
def then_nothing(context):
    assert not context.report.audit.violations, context.report.audit.violations[:5]
    assert context.report.audit.is_order_record_read


@then("every order that was acknowledged ran once")
def then_once(context):
    runs = context.system.runs
    assert set(runs) == set(context.system.answers)
    assert set(runs.values()) == {1}, runs


@then("the run's exit code is {code:d}")
def then_exit_code(context, code):
    assert context.report.exit_code == code


@then("some answers are counted as truncated")
def then_truncated(context):
    assert context.report.audit.n_truncated > 0


@then("no request is left unreached")
def then_reached(context):
    assert context.report.n_unreached == 0
    assert context.report.n_answered == context.report.n_sent


@when(
    'the first {n:d} requests of "{deployment}" are generated twice with seed {seed:d}'
)
def when_generated(context, n, deployment, seed):
    mix = make_mix(Deployment(deployment))
    context.lists = [
        list(
            itertools.islice(
                generate(mix, tuple(KEYS), 10, 60, np.random.default_rng(seed)), n
            )
        )
        for _ in range(2)
    ]


@then("both lists are equal and the prefixes nest in three shared levels")
def then_nested(context):
    first, second = context.lists
    assert first == second
    texts = {}
    n_shared = 0
    for request in first:
        for section in getattr(request, "sections", ())[:-1]:
            n_shared += section.name in texts
            assert texts.setdefault(section.name, section.text) == section.text
    assert n_shared > len(first), n_shared
