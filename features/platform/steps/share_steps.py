"""Steps of shares.feature."""

from unittest import mock

from behave import given, then, when
from returns.result import Success

from lycheepost.app.platformfleet import BOUNDS
from lycheepost.app.platformtraffic import retry_terms
from lycheepost.core.ids import DaemonId
from lycheepost.decide.retryparts import count_retry_shares
from lycheepost.platform import storecalls
from lycheepost.platform.settings import decode_settings
from lycheepost.platform.storecalls import StoreCallCounts, feed_kind, read_kind

SETTINGS = """node_name=front-1
zone=a
ip=127.0.0.1
port_range=7340,7355
platform.address=127.0.0.1:8784
limits.cpu_share={share}
limits.cores={cores}
limits.link_mbps={link}
"""


@given("{n:d} daemons, of which {n_entry:d} are entry daemons")
def step_daemons(context, n, n_entry):
    context.names = [DaemonId(f"daemon-{index}") for index in range(n)]
    context.entry = frozenset(context.names[:n_entry])


@when("{burst:d} retries are divided among them")
def step_divide(context, burst):
    context.burst = burst
    bounds = type(BOUNDS)(**{**vars_of(BOUNDS), "retry_burst": burst})
    context.bursts = {
        name: retry_terms(
            bounds,
            count_retry_shares(
                name in context.entry, len(context.entry), len(context.names)
            ),
        ).burst
        for name in context.names
    }


def vars_of(record):
    return {name: getattr(record, name) for name in record.__slots__}


@then("all of them together may send no more")
def step_sum(context):
    assert sum(context.bursts.values()) <= context.burst, sum(context.bursts.values())


@then("an entry daemon may send at least {least:d}")
def step_least(context, least):
    assert min(context.bursts[name] for name in context.entry) >= least


@given("a counter of calls to the store")
def step_calls(context):
    context.calls = StoreCallCounts()


@when("it counts 3 feed of servers, 1 commit of lease and 2 read of members")
def step_count(context):
    for kind, n_calls in (
        (feed_kind("servers"), 3),
        ("commit lease", 1),
        (read_kind("lycheepost", "member/front-1"), 2),
    ):
        for _ in range(n_calls):
            context.calls.note(kind)


def logged(context, now_seconds):
    with mock.patch.object(storecalls, "_log") as log:
        context.calls.log_if_due(now_seconds)
    return [call.kwargs["counts"] for call in log.info.call_args_list]


@then("one log line lists them, and the next one follows 5 s later at the earliest")
def step_logged(context):
    assert logged(context, 100.0) == [
        {"commit lease": 1, "feed servers": 3, "read lycheepost member": 2}
    ]
    context.calls.note("feed op")
    assert logged(context, 104.9) == []
    assert logged(context, 105.0) == [{"feed op": 1}]


@then("nothing is logged when there were no calls")
def step_silent(context):
    assert logged(context, 200.0) == []


@given(
    "a settings file with a share of {share:g} of {cores:d} cores and a link of "
    "{link:d} Mbit/s"
)
def step_settings(context, share, cores, link):
    text = SETTINGS.format(share=share, cores=cores, link=link)
    match decode_settings(text):
        case Success(node):
            context.capacity = node.capacity


@then("its VM has {cores:g} cores and {link:g} Mbit/s")
def step_capacity(context, cores, link):
    assert abs(context.capacity.processor_cores - cores) < 1e-9
    assert context.capacity.link_mbps == link


@given('a settings file whose "{key}" is empty')
def step_empty(context, key):
    step_value(context, key, "")


@given('a settings file whose "{key}" is "{value}"')
def step_value(context, key, value):
    text = SETTINGS.format(share=1, cores=2, link=100)
    context.key, context.decoded = key, decode_settings(f"{text}\n{key}={value}\n")


@then("it is valid")
def step_valid(context):
    context.decoded.unwrap()


@then("it is refused with the name of that key")
def step_refused(context):
    assert context.key in " ".join(context.decoded.failure().faults)
