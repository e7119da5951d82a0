"""Edges of the users' platform that take what others wrote into its store."""

import json

import msgspec
from fuzzstrategies import JSON, NESTED, mutated, with_fields
from hypothesis import strategies as st
from returns.result import Result

from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import StoreEra
from lycheepost.core.storeversions import era_of
from lycheepost.decide.records import TargetView
from lycheepost.platform.following import ServerFollower
from lycheepost.platform.storeera import MAX_ERA, StoreEras
from lycheepost.platform.storewire import WireRows
from lycheepost.ports.feed import ChangedRow
from lycheepost.ports.table import Row
from lycheepost.state.leases import decode_lease
from lycheepost.state.memberrows import to_vm
from lycheepost.state.targetlist import TargetList
from lycheepost.state.watch import TableUpdate
from lycheepost.utils.decoding import UNREADABLE

ENTRIES = (
    st.binary(max_size=60)
    | NESTED
    | mutated(
        st.just(
            b'{"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1",'
            b'"slots":4,"state":"ready","cold_left_ms":0,"seq":1,'
            b'"models":[{"name":"m","version":2}],"born":1783498657083}'
        )
    )
    | with_fields(
        {
            "service": st.just("s") | JSON,
            "address": st.just("1.2.3.4:5") | JSON,
            "zone": st.just("z") | JSON,
            "version": st.just("v1") | JSON,
            "slots": st.just(4) | JSON,
            "state": st.sampled_from(["ready", "draining", "asleep"]) | JSON,
            "cold_left_ms": st.just(0) | JSON,
            "seq": st.just(1) | JSON,
            "models": st.just([{"name": "m", "version": 2}]) | JSON,
            "born": st.integers(-5, 2**65) | JSON,
        }
    ).map(lambda entry: json.dumps(entry).encode())
)


_ERA = StoreEra(3)


def check_entry(data: bytes) -> None:
    """A foreign entry names no target and leaves the others as they are."""
    views: list[tuple[TargetView, ...]] = [()]
    targets = TargetList(FakeClock(), views.append, lambda: 10.0)
    follower = ServerFollower(targets)
    good = _GOOD_ENTRY
    rows = (ChangedRow("a", good), ChangedRow("b", good), ChangedRow("c", good))
    follower.take(TableUpdate(rows, True, 1.0, None, False))
    rows = (ChangedRow("a", data), ChangedRow("x", data), ChangedRow("b", None))
    follower.take(TableUpdate(rows, False, 2.0, 1.0, False))
    found = {view.target for view in views[-1]}
    assert "c" in found and "b" not in found, found
    for view in views[-1]:
        assert view.concurrency_limit > 0 and isinstance(view.target_group, str)


def check_store_answer(data: bytes) -> None:
    """An answer of the platform's store is rows or cannot be read as a whole."""
    try:
        answer = msgspec.json.decode(data, type=WireRows)
    except UNREADABLE:
        return
    for row in answer.rows:
        found = row.to_row(_ERA)
        assert isinstance(found.value, bytes) and era_of(found.version) == _ERA
        assert isinstance(row.to_change(), ChangedRow)


def check_era(header: str) -> None:
    """A header raises the era or leaves it, and never ends a call."""
    eras = StoreEras(FakeClock())
    eras.note(str(_ERA))
    era = eras.note(header)
    assert 0 <= era <= MAX_ERA and eras.newest.era == max(_ERA, era)


ERA_HEADERS = st.text(max_size=30) | st.integers().map(str) | st.floats().map(str)
STORE_ANSWERS = (
    NESTED
    | mutated(st.just(b'{"rows":[{"key":"k","value":"AAECAw==","ver":3}],"ver":3}'))
    | st.builds(
        lambda text: json.dumps({"rows": [{"key": "k", "value": text}]}).encode(),
        st.text(max_size=20),
    )
)

_GOOD_ENTRY = json.dumps(
    {
        "service": "s",
        "address": "1.2.3.4:5",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
    }
).encode()


MEMBER_ROWS = (
    st.binary(max_size=60)
    | NESTED
    | mutated(
        st.just(
            b'{"availability_zone":"z","host":"1.2.3.4","callers_url":"1.2.3.4:5",'
            b'"peer_endpoint":"tcp://1.2.3.4:6","boot":"b"}'
        )
        | st.just(
            b'{"holder":"d","token":"t","fencing_number":1,"length_seconds":3.6,'
            b'"attempt":"a"}'
        )
    )
    | JSON.map(lambda value: json.dumps(value).encode())
)


def check_member_row(data: bytes) -> None:
    """A daemon's or a duty's row that cannot be read is nobody's."""
    row = Row("member/x", data, 1)
    to_vm(row)
    assert isinstance(decode_lease(row), Result)
