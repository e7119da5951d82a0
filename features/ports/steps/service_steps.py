import asyncio
import time

from behave import given, then, when
from reach import SLOW_SECONDS, reach
from returns.result import Success

from lycheepost.core.ids import AvailabilityZone, ModelId, WeightsVersion
from lycheepost.ports.http_objects import make_http_objects
from lycheepost.ports.http_vms import make_http_vm_list
from lycheepost.ports.http_weights import make_http_weights
from lycheepost.ports.vms import Vm, VmRole, VmState
from lycheepost.ports.weights import WeightsInfo
from lycheepost.standin.objects import make_object_model, make_objects_app
from lycheepost.standin.vmlist import make_vm_list_app, make_vm_list_model
from lycheepost.standin.weightstore import (
    make_weight_store_app,
    make_weight_store_model,
)

CONTENT = b"content"


def name_error(outcome):
    return type(outcome.failure()).__name__


def set_fault(faults, fault):
    match fault:
        case "none":
            pass
        case "down":
            faults.is_down = True
        case "slow":
            faults.delay_seconds = SLOW_SECONDS
        case "lag":
            faults.lag_seconds = 0.3
        case "partial":
            faults.n_partial_lists = 1
        case _:
            raise ValueError(fault)


@given('an object store reached by {implementation} that holds "{name}"')
def step_objects(context, implementation, name):
    context.model = make_object_model()
    context.model.objects[name] = CONTENT
    context.objects = reach(
        context, implementation, context.model, make_objects_app, make_http_objects
    )


@when("the object store has the fault {fault}")
def step_object_fault(context, fault):
    set_fault(context.model.faults, fault)


@when('the object store loses the answer to a put of "{name}"')
def step_lost_put(context, name):
    context.model.faults.n_lost_answers = 1
    outcome = context.loop.run_until_complete(context.objects.put(name, CONTENT))
    assert name_error(outcome) == "ObjectError"


@then('getting "{name}" gives {outcome}')
def step_get(context, name, outcome):
    got = context.loop.run_until_complete(context.objects.get(name))
    found = got.unwrap().decode() if isinstance(got, Success) else name_error(got)
    assert found == outcome, found


@then('the names under "{prefix}" are "{first}" and "{second}"')
def step_names(context, prefix, first, second):
    names = context.loop.run_until_complete(context.objects.list_names(prefix))
    assert names.unwrap() == (first, second), names


@given("a VM list reached by {implementation} with {n:d} live VMs")
def step_vm_list(context, implementation, n):
    context.model = make_vm_list_model()
    for number in range(n):
        context.model.put(
            Vm(
                name=f"vm-{number}",
                role=VmRole.TARGET,
                state=VmState.LIVE,
                availability_zone=AvailabilityZone("a"),
                address="127.0.0.1",
            )
        )
    context.vm_list = reach(
        context, implementation, context.model, make_vm_list_app, make_http_vm_list
    )


@when("one VM is announced as leaving and the list has the fault {fault}")
def step_leaving(context, fault):
    set_fault(context.model.faults, fault)
    if context.model.faults.lag_seconds:
        time.sleep(2 * context.model.faults.lag_seconds)
    context.model.announce_leaving("vm-0")


@then("the list shows {live:d} live and {leaving:d} leaving VMs, or {error}")
def step_shows(context, live, leaving, error):
    outcome = context.loop.run_until_complete(context.vm_list.list_vms())
    if error != "none":
        assert name_error(outcome) == error
        return
    states = [vm.state for vm in outcome.unwrap()]
    counted = (states.count(VmState.LIVE), states.count(VmState.LEAVING))
    assert counted == (live, leaving), counted


def make_versions(model):
    for version in ("v1", "v2"):
        info = WeightsInfo(ModelId("caption"), WeightsVersion(version), 10**9, 0.2)
        model.put(info)


@given('a weight store reached by {implementation} with two versions of "caption"')
def step_weights(context, implementation):
    context.model = make_weight_store_model()
    make_versions(context.model)
    context.weights = reach(
        context,
        implementation,
        context.model,
        make_weight_store_app,
        make_http_weights,
    )


@when("the weight store has the fault {fault}")
def step_weight_fault(context, fault):
    set_fault(context.model.faults, fault)


@then('its versions of "caption" are {outcome}')
def step_versions(context, outcome):
    got = context.loop.run_until_complete(
        context.weights.list_versions(ModelId("caption"))
    )
    if isinstance(got, Success):
        found = ",".join(info.weights_version for info in got.unwrap())
    else:
        found = name_error(got)
    assert found == outcome, found


@given("a weight store that feeds {n:d} loads at full speed")
def step_feeds(context, n):
    context.model = make_weight_store_model(n)
    make_versions(context.model)


@when("{n:d} targets load a version of 0.2 seconds at once")
def step_load(context, n):
    async def load():
        started_seconds = time.monotonic()
        await context.model.load(ModelId("caption"), WeightsVersion("v1"))
        return time.monotonic() - started_seconds

    async def load_all():
        return await asyncio.gather(*(load() for _ in range(n)))

    context.taken = context.loop.run_until_complete(load_all())


@then("no load was faster than {seconds:f} seconds")
def step_not_faster(context, seconds):
    assert min(context.taken) >= seconds, context.taken
