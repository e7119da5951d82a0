"""Hostile and damaged bytes that several edges get."""

from typing import Any

from hypothesis import strategies as st

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=12,
)

NESTED = st.integers(1, 3000).map(lambda depth: b"[" * depth + b"]" * depth)
NESTED_MSGPACK = st.integers(1, 3000).map(lambda depth: b"\x91" * depth + b"\xc0")


def mutated(good: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Return good bytes with a few of them cut out, changed or repeated."""

    def mutate(data: bytes, edits: list[tuple[int, int, bytes]]) -> bytes:
        for place, length, new in edits:
            start = place % (len(data) + 1)
            data = data[:start] + new + data[start + length :]
        return data

    edit = st.tuples(st.integers(0, 10_000), st.integers(0, 8), st.binary(max_size=6))
    return st.builds(mutate, good, st.lists(edit, max_size=3))


def with_fields(fields: dict[str, st.SearchStrategy[Any]]) -> st.SearchStrategy[Any]:
    """Return objects with some known fields, good or not, and some others."""
    known = st.fixed_dictionaries({}, optional=fields)
    extra = st.dictionaries(st.text(max_size=12), JSON, max_size=2)
    return st.builds(lambda left, right: right | left, known, extra)
