"""Steps on calls to plain services and on orders to engines."""

import asyncio
from dataclasses import replace

from bed import SETTINGS, parse_fault
from behave import given, then, when
from returns.result import Success

from lycheepost.generated.configuration import Target
from lycheepost.generated.engine import EngineOrder
from lycheepost.standin.engine import EngineStandinSettings, make_engine
from lycheepost.standin.service import ServiceStandinSettings, make_service
from lycheepost.targets.calls import ServiceCall
from lycheepost.targets.control import make_control_client
from lycheepost.targets.orders import make_order_client
from lycheepost.targets.service import make_service_client


def start(context, component):
    context.run(component.start())
    context.stack.push_async_callback(component.stop)
    return component


@given("a plain service")
def given_service(context):
    settings = ServiceStandinSettings(restart_seconds=0.1)
    context.service = start(context, make_service(settings))
    short = replace(SETTINGS, first_byte_seconds=0.5, idle_connection_seconds=15.0)
    context.client = start(context, make_service_client(short))
    context.url = context.service.url


@given('the service\'s next call shows "{fault}"')
def given_service_fault(context, fault):
    if fault != "none":
        context.service.faults.add(parse_fault(fault))


@given("the service has stopped")
def given_service_stopped(context):
    context.run(context.service.stop())


@given("an idempotent call has left a pooled connection")
def given_pooled(context):
    send(context, "GET", "/health", True)
    assert isinstance(context.result, Success)


@given("the service's open connections go silent")
def given_service_frozen(context):
    context.service.freeze()


@given("a server that closes each connection after the request")
def given_closing_server(context):
    context.n_requests = 0

    async def close_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        context.n_requests += 1
        writer.close()

    server = context.run(asyncio.start_server(close_connection, "127.0.0.1", 0))
    context.stack.callback(server.close)
    context.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"


def send(context, method, path, is_idempotent):
    call = ServiceCall(
        "s", context.url, "r1", method, path, (), b'{"photo": 1}', is_idempotent
    )
    context.result = context.run(context.client.call(call))


@when("an order is sent that may not be repeated")
def when_order(context):
    send(context, "POST", "/orders", False)


@when("a {method} is sent that {may} be repeated")
def when_method(context, method, may):
    send(context, method, "/orders/1", may == "may")


@then("the server saw 1 request")
def then_one(context):
    assert context.n_requests == 1, context.n_requests
    assert not isinstance(context.result, Success)


@then('the order\'s outcome is "{outcome}", run "{execution}"')
def then_outcome(context, outcome, execution):
    result = context.result
    if isinstance(result, Success):
        assert outcome == "ServiceAnswer" and result.unwrap().status == 201
        return
    assert type(result.failure()).__name__ == outcome
    assert result.failure().execution.value == execution


@then("the service ran it {n:d} times")
def then_ran(context, n):
    assert len(context.service.orders) == n


@given(
    "an engine that {checks} fencing, ordered with fencing number {fencing:d} "
    "and version {version:d}"
)
def given_ordered(context, checks, fencing, version):
    settings = EngineStandinSettings(checks_fencing=checks == "checks")
    context.engine = start(context, make_engine(settings))
    control = start(context, make_control_client(SETTINGS))
    context.orders = make_order_client(control)
    context.target = Target(
        target="t", target_group="g", availability_zone="z", url=context.engine.url
    )
    assert order(context, fencing, version).is_accepted


def order(context, fencing, version):
    sent = EngineOrder(order_id="o", fencing_number=fencing, desired_version=version)
    return context.run(context.orders.send(context.target, sent)).unwrap()


@when("an order with fencing number {fencing:d} and version {version:d} is sent")
def when_ordered(context, fencing, version):
    context.answer = order(context, fencing, version)


@then("it is {result} and the engine's desired version is {now:d}")
def then_ordered(context, result, now):
    assert context.answer.is_accepted == (result == "accepted")
    state = context.run(context.orders.read_state(context.target)).unwrap()
    assert state.desired_version == now
