"""Whether orders to engines came from one holder of the weights duty at a time."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from soakfleet import ProcessFleet, ProxiedServer
from soaknotices import Span

from lycheepost.app.platformfleet import BOUNDS, ENGINES

THAW_SECONDS = 0.3
"""Orders are not judged for this long after their sender or its link went on again, as
they were sent before."""


class ArrivedOrder(NamedTuple):
    """An order as an engine got it."""

    at_seconds: float
    holder: str
    fencing_number: int


def find_out_of_turn(
    fleet: ProcessFleet, disturbed: dict[int, list[Span]]
) -> Iterator[str]:
    """Yield what is wrong with the orders to each engine.

    Args:
        fleet: The engines, and the daemons that ordered them.
        disturbed: When each daemon was stopped or frozen, by its index.
    """
    ends = {
        str(node.daemon): [span.until_seconds for span in disturbed.get(index, [])]
        for index, node in enumerate(fleet.nodes)
    }
    holders: dict[int, str] = {}
    for engine in fleet.group(ENGINES):
        healed = []
        if isinstance(engine, ProxiedServer):
            healed = [span.until_seconds for span in engine.words.cut]
        orders = [
            order
            for order in orders_of(engine)
            if not is_excused(order, [*healed, *ends.get(order.holder, [])])
        ]
        for order in orders:
            first = holders.setdefault(order.fencing_number, order.holder)
            if first != order.holder:
                yield f"{engine.name}: a number of {first} in {order}"
        for before, order in itertools.pairwise(orders):
            if order.fencing_number < before.fencing_number:
                yield f"{engine.name}: {order} after {before}"
            elif order.holder != before.holder and (
                order.at_seconds - before.at_seconds < BOUNDS.lease_seconds
            ):
                yield f"{engine.name}: {order} too soon after {before}"


def orders_of(engine) -> list[ArrivedOrder]:  # type: ignore[no-untyped-def]
    """Return the orders to an engine in order of arrival."""
    pairs = zip(engine.state.order_seconds, engine.state.orders, strict=True)
    return [
        ArrivedOrder(at_seconds, str(order["holder"]), int(order["fence"]))
        for at_seconds, order in pairs
    ]


def is_excused(order: ArrivedOrder, ends_seconds: list[float]) -> bool:
    """Return whether an order arrived right after a disturbance had ended."""
    return any(
        end_seconds <= order.at_seconds <= end_seconds + THAW_SECONDS
        for end_seconds in ends_seconds
    )
