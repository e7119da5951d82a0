"""Edges that take the momentary speed of targets."""

from dataclasses import replace
from typing import Any

import msgspec
from fuzzstrategies import JSON, with_fields
from hypothesis import strategies as st

from lycheepost.app.loads import read_speed
from lycheepost.decide.machinestates import (
    MAX_PERCENT,
    MIN_PERCENT,
    MachineState,
)
from lycheepost.generated.messages import LoadNews
from lycheepost.peers.wire import WireCounts, decode_message, encode_message
from lycheepost.platform.dialect import decode_load

_FIGURE = (
    st.integers(-(2**70), 2**70).map(str)
    | st.integers(4_000, 6_000).map(lambda length: "9" * length)
    | st.text(alphabet="0123456789-+.eE_ \u0663\u00b2xn", max_size=8)
)
LOAD_HEADERS = st.lists(_FIGURE, max_size=6).map(",".join)

SPEED_LISTS = st.lists(
    with_fields(
        {
            "target": st.just("t") | JSON,
            "percent": st.integers(-(2**63), 2**63) | JSON,
            "usual_percent": st.integers(-(2**63), 2**63) | JSON,
            "age_ms": st.integers(-(2**63), 2**63) | JSON,
        }
    ),
    max_size=4,
)

_NOW_SECONDS = 1_000.0


def check_load_header(text: str) -> None:
    """A load is read or not, and a speed that is read leaves a bounded ratio."""
    load = decode_load(text)
    if load is None or load.duration_percent is None:
        return
    state = MachineState()
    state.observe(load.duration_percent, _NOW_SECONDS)
    state.observe(100, _NOW_SECONDS + 0.01)
    _check_bounded(state, _NOW_SECONDS + 0.02)


def check_speeds(speeds: list[Any]) -> None:
    """A message with damaged speeds is dropped, or leaves a bounded ratio."""
    frame = msgspec.msgpack.decode(encode_message(LoadNews(loads=[])))
    try:
        frame["body"] = msgspec.msgpack.encode({"loads": [], "speeds": speeds})
    except OverflowError:
        # No peer can encode it either.
        return
    message = decode_message(msgspec.msgpack.encode(frame), WireCounts())
    if message is None:
        return
    state = MachineState()
    state.observe(120, _NOW_SECONDS - 0.1)
    for speed in message.speeds:
        told = read_speed(speed)
        state.observe_peer(told, _NOW_SECONDS)
        state.observe_peer(replace(told, age_seconds=0.0), _NOW_SECONDS)
    _check_bounded(state, _NOW_SECONDS)


def _check_bounded(state: MachineState, now_seconds: float) -> None:
    ratio = state.momentary_ratio(now_seconds)
    assert MIN_PERCENT / MAX_PERCENT <= ratio <= MAX_PERCENT / MIN_PERCENT, ratio
