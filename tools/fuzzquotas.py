"""Hostile counts of peers of customers' quotas, and quotas as operators may write."""

import json
import math

import msgspec
from hypothesis import strategies as st
from returns.result import Failure, Success

from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance, QuotaUnit
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.generated.messages import CustomerSpent, QuotaSpent
from lycheepost.peers.quota_messages import from_message
from lycheepost.platform.documents import decode_configuration

CUSTOMER = CustomerId("c")
RATE = 1000.0
_FIGURES = st.floats() | st.sampled_from([0.0, -1.0, 1e18, math.inf, math.nan])
_FLAGS = st.booleans()

_MESSAGES = st.builds(
    QuotaSpent,
    start=st.integers(-1, 2),
    is_entry=_FLAGS,
    is_synced=_FLAGS,
    wants_relay=_FLAGS,
    customers=st.lists(
        st.builds(
            CustomerSpent,
            customer=st.sampled_from(["c", "other"]),
            spent_units=_FIGURES,
            left_units=_FIGURES,
            asked_units=_FIGURES,
        ),
        max_size=3,
    ),
)

QUOTA_COUNTS = st.lists(
    st.tuples(st.sampled_from(["a", "b", "relay"]), _MESSAGES), max_size=8
)

QUOTA_DOCUMENTS = st.fixed_dictionaries(
    {"name": st.just("c"), "api_keys": st.just(["k"])},
    optional={
        "unit": st.sampled_from(["", "request", "token_stream", "x"]),
        "rate_per_s": st.floats(allow_nan=False, allow_infinity=False),
        "burst": st.floats(allow_nan=False, allow_infinity=False),
        "uncached_tokens": st.floats(allow_nan=False, allow_infinity=False),
    },
)


def check_quota_counts(said: list[tuple[str, QuotaSpent]]) -> None:
    """Whatever peers say, a customer is let through or told when to come back."""
    quotas = FleetQuotas(1, -60.0)
    quotas.set_tolerance(QuotaTolerance(0.1, 100.0, 8.0))
    quotas.set_quotas({CUSTOMER: Quota(QuotaUnit.TOKENS, RATE, RATE, 1.0)}, 0.0)
    quotas.set_entry([DaemonId("a")], 0.0)
    for index, (sender, message) in enumerate(said):
        now_seconds = 0.1 * index
        data = msgspec.msgpack.encode(message)
        heard = msgspec.msgpack.decode(data, type=QuotaSpent)
        quotas.receive(DaemonId(sender), from_message(heard), now_seconds)
        wait_seconds = quotas.take(CUSTOMER, 10.0, now_seconds)
        assert wait_seconds is None or 0.0 < wait_seconds < math.inf, wait_seconds
    left = quotas.left(CUSTOMER)
    assert left is not None and math.isfinite(left), left


def check_quota_document(tenant: dict[str, object]) -> None:
    """A quota that is decoded can be held to; any other is no quota."""
    document = {"version": 1, "routes": [], "services": [], "tenants": [tenant]}
    match decode_configuration(json.dumps(document).encode()):
        case Failure(error):
            assert error.reason
        case Success(table):
            quotas = FleetQuotas(1, -60.0)
            quotas.set_quotas(table.quotas, 0.0)
            quotas.set_entry((), 0.0)
            wait_seconds = quotas.take(CUSTOMER, 10.0, 0.0)
            assert wait_seconds is None or 0.0 < wait_seconds < math.inf
