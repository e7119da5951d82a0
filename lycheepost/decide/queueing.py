"""Weighted fair queue of one target group.

Start-time fair queueing: each customer has a virtual time that advances by the
predicted cost of its dispatched work over its weight, and the customer with the least
virtual time goes next. A customer inside its share is thus served before one that sends
ten times its share, however long the latter's queue is. Within one customer, urgent
work goes first, then short work before long work that arrived a little earlier, then
the order of arrival.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import attrgetter

from lycheepost.core.ids import CustomerId, RequestId, TargetId
from lycheepost.decide.records import Work

PRIORITY_SECONDS = 4.0
"""Advantage of one priority class over the next. It is bounded, as a strict order would
let a steady flow of urgent work starve batches."""

RANK_DELAY_SHARE = 0.1
MAX_COST_RATIO = 4.0
"""A request's rank is delayed by ``RANK_DELAY_SHARE`` of its first-token timeout for
each mean cost that it takes, up to ``MAX_COST_RATIO`` of them. Short work passes long
work, and under overload a request whose prefix is cached passes one whose prefix is
not, so that whole batches are served while their prefix is cached. The bound prevents
starvation of long and uncached work."""

COST_GAIN = 0.02
"""Weight of one request in the mean cost, which adapts within about fifty requests."""

INSIDE_LEAD_SECONDS = 1e6
"""Places requests of customers inside their share before all others."""

CREDIT_SECONDS = 3.0
"""Engine time, over its weight, that an idle customer may accumulate as credit: a
customer far inside its share may send some requests at once without waiting behind
customers over theirs. Without this bound a customer that was idle for hours could block
all others."""


@dataclass(slots=True)
class QueuedRequest:
    """One queued request.

    Attributes:
        rank: Order within the customer, in seconds (see ``rank_of``); lower goes first.
        cost_seconds: Predicted engine time.
        deadline_seconds: When the caller's timeout ends.
        give_up_seconds: When it is refused if it still waits.
        latest_dispatch_seconds: Last dispatch time at which it can meet its objective.
        predicted_seconds: Predicted wait.
        awaited_target: The target it waits for and the tokens to prefill there.
        place_seconds: Its place among the requests of all customers (see
            ``decide.waitingorder``); lower goes first.
    """

    work: Work
    rank: float
    cost_seconds: float
    deadline_seconds: float
    give_up_seconds: float
    enqueued_seconds: float
    latest_dispatch_seconds: float = float("inf")
    predicted_seconds: float = 0.0
    awaited_target: tuple[TargetId, int] | None = None
    place_seconds: float = 0.0


@dataclass(slots=True)
class Lane:
    """The queue and the virtual time of one customer."""

    customer: CustomerId
    weight: float = 1.0
    virtual_seconds: float = 0.0
    queued_cost_seconds: float = 0.0
    waiting: list[QueuedRequest] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _LaneCursor:
    """Position of one iteration over a lane."""

    virtual_seconds: float
    lane: Lane
    index: int = 0


_BY_RANK = attrgetter("rank")
_BY_PLACE = attrgetter("place_seconds")
_BY_VIRTUAL = attrgetter("virtual_seconds")


def rank_of(work: Work, cost_seconds: float, mean_seconds: float) -> float:
    """Return the order of ``work`` within its customer; lower goes first."""
    cost_ratio = min(MAX_COST_RATIO, cost_seconds / max(mean_seconds, 1e-6))
    return (
        work.arrived_seconds
        + work.priority.value * PRIORITY_SECONDS
        + cost_ratio * RANK_DELAY_SHARE * work.first_token_timeout_seconds
    )


class FairQueue:
    """Requests of all customers that wait for one target group."""

    def __init__(self) -> None:
        self.lanes: dict[CustomerId, Lane] = {}
        self._weights: dict[CustomerId, float] = {}
        self._by_request: dict[RequestId, QueuedRequest] = {}
        self._by_place: list[QueuedRequest] = []
        self.mean_seconds: float | None = None
        self.virtual_seconds = 0.0
        self.queued_cost_seconds = 0.0

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request: RequestId) -> bool:
        return request in self._by_request

    def set_weights(self, weights: dict[CustomerId, float]) -> None:
        """Set the weight of each customer in fair queueing; 1 if missing."""
        self._weights = weights
        for customer, lane in self.lanes.items():
            lane.weight = weights.get(customer, 1.0)

    def lane(self, customer: CustomerId) -> Lane:
        """Return the lane of ``customer``, which is created on first use."""
        lane = self.lanes.get(customer)
        if lane is None:
            weight = self._weights.get(customer, 1.0)
            lane = Lane(customer, weight, self.virtual_seconds)
            self.lanes[customer] = lane
        return lane

    def make_waiting(
        self,
        work: Work,
        cost_seconds: float,
        now_seconds: float,
        give_up_seconds: float | None = None,
    ) -> QueuedRequest:
        """Return a queue entry, ranked against the mean cost so far."""
        mean_seconds = self.mean_seconds or cost_seconds
        self.mean_seconds = mean_seconds + COST_GAIN * (cost_seconds - mean_seconds)
        deadline_seconds = work.arrived_seconds + work.first_token_timeout_seconds
        return QueuedRequest(
            work=work,
            rank=rank_of(work, cost_seconds, mean_seconds),
            cost_seconds=cost_seconds,
            deadline_seconds=deadline_seconds,
            give_up_seconds=give_up_seconds or deadline_seconds,
            enqueued_seconds=now_seconds,
        )

    def ahead_seconds(self, waiting: QueuedRequest) -> float:
        """Return the cost of its customer's requests that rank before it."""
        lane = self.lane(waiting.work.customer)
        index = bisect_right(lane.waiting, waiting.rank, key=_BY_RANK)
        if index == len(lane.waiting):
            return lane.queued_cost_seconds
        return sum(item.cost_seconds for item in lane.waiting[:index])

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request behind those of its customer that rank before it."""
        lane = self.lane(waiting.work.customer)
        if not lane.waiting:
            self._limit_credit(lane)
        insort(lane.waiting, waiting, key=_BY_RANK)
        insort(self._by_place, waiting, key=_BY_PLACE)
        lane.queued_cost_seconds += waiting.cost_seconds
        self.queued_cost_seconds += waiting.cost_seconds
        self._by_request[waiting.work.request] = waiting

    def _limit_credit(self, lane: Lane) -> None:
        oldest = self.virtual_seconds - CREDIT_SECONDS / lane.weight
        lane.virtual_seconds = max(lane.virtual_seconds, oldest)

    def lead_seconds(self, customer: CustomerId) -> float:
        """Return how far a customer's service is ahead of the fair order.

        Zero or less means that it has recently had no more than its share.
        """
        return self.lane(customer).virtual_seconds - self.virtual_seconds

    def remove(self, request: RequestId) -> QueuedRequest | None:
        """Take a request out; None when it does not wait here."""
        waiting = self._by_request.pop(request, None)
        if waiting is None:
            return None
        lane = self.lanes[waiting.work.customer]
        lane.waiting.remove(waiting)
        self._remove_place(waiting)
        lane.queued_cost_seconds -= waiting.cost_seconds
        self.queued_cost_seconds -= waiting.cost_seconds
        return waiting

    def _remove_place(self, waiting: QueuedRequest) -> None:
        index = bisect_left(self._by_place, waiting.place_seconds, key=_BY_PLACE)
        while self._by_place[index] is not waiting:
            index += 1
        del self._by_place[index]

    def charge(self, customer: CustomerId, cost_seconds: float) -> None:
        """Count dispatched work against its customer's share."""
        lane = self.lane(customer)
        if not lane.waiting:
            self._limit_credit(lane)
        lane.virtual_seconds += cost_seconds / lane.weight
        self._advance()

    def _advance(self) -> None:
        active = [lane.virtual_seconds for lane in self.lanes.values() if lane.waiting]
        if active:
            self.virtual_seconds = max(self.virtual_seconds, min(active))

    def in_order(
        self, limit: int, is_inside: Callable[[CustomerId], bool] | None = None
    ) -> Iterator[QueuedRequest]:
        """Yield up to ``limit`` requests in fair order, as of the call.

        Args:
            limit: Most requests to yield.
            is_inside: Returns whether a customer's demand is within its share. Requests
                of such customers go first, as they cannot displace the others.
        """
        lanes = [lane for lane in self.lanes.values() if lane.waiting]
        return self._in_fair_order(lanes, limit, is_inside)

    def in_place_order(
        self, limit: int, is_inside: Callable[[CustomerId], bool]
    ) -> Iterator[QueuedRequest]:
        """Yield up to ``limit`` requests by their places, as of the call.

        Customers over their share follow, in fair order among themselves.
        """
        picked: list[QueuedRequest] = []
        over: dict[CustomerId, Lane] = {}
        for waiting in self._by_place:
            customer = waiting.work.customer
            if customer in over:
                continue
            if not is_inside(customer):
                over[customer] = self.lanes[customer]
                continue
            picked.append(waiting)
            if len(picked) == limit:
                return iter(picked)
        rest = self._in_fair_order(list(over.values()), limit - len(picked), None)
        return iter([*picked, *rest])

    def _in_fair_order(
        self,
        lanes: list[Lane],
        limit: int,
        is_inside: Callable[[CustomerId], bool] | None,
    ) -> Iterator[QueuedRequest]:
        cursors = [_LaneCursor(self._start_of(lane, is_inside), lane) for lane in lanes]
        picked: list[QueuedRequest] = []
        while cursors and len(picked) < limit:
            cursor = min(cursors, key=_BY_VIRTUAL)
            waiting = cursor.lane.waiting[cursor.index]
            picked.append(waiting)
            cursor.virtual_seconds += waiting.cost_seconds / cursor.lane.weight
            cursor.index += 1
            if cursor.index == len(cursor.lane.waiting):
                cursors.remove(cursor)
        return iter(picked)

    def _start_of(
        self, lane: Lane, is_inside: Callable[[CustomerId], bool] | None
    ) -> float:
        if is_inside is not None and is_inside(lane.customer):
            return lane.virtual_seconds - INSIDE_LEAD_SECONDS
        return lane.virtual_seconds

    def all(self) -> list[QueuedRequest]:
        """Return every waiting request."""
        return list(self._by_request.values())
