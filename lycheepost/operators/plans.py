"""Storage of plans as rows of the table service.

Any daemon may confirm a plan that another daemon made, and VMs store nothing locally,
so plans are kept as rows. Plan ids sort by time: each new plan removes a few rows that
expired long ago, so that no separate sweep is needed and the table holds about a day of
plans.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lycheepost.core.ids import PlanId
from lycheepost.generated.operators import (
    OperatorErrorKind,
    Plan,
)
from lycheepost.operators.errors import OperatorError
from lycheepost.ports.table import (
    ABSENT_VERSION,
    Condition,
    OutcomeUnknown,
    Row,
    TableConflict,
    TableError,
    TablePort,
    Transaction,
    Write,
)
from lycheepost.utils.documents import decode_record, encode_record

_KEY_PREFIX = "plans/"
_MAX_PLAN_ID_LENGTH = 64
_RETENTION_SECONDS = 86_400
"""How long a plan can still be looked up after its expiry."""
_MAX_REMOVALS_PER_PLAN = 4
"""Expired plans removed per new plan; more than one, so that a backlog shrinks."""
_MAX_LISTED_PLANS = 500
RETRY_SECONDS = 2.0
"""Retry delay after the store did not respond."""


@dataclass(frozen=True)
class StoredPlan:
    """A plan and the version of its row."""

    plan: Plan
    version: int


@dataclass(frozen=True)
class PlanRowChanged:
    """Another call changed the plan's row concurrently."""


class PlanStore:
    """Reads and writes plans.

    Args:
        table: Table that holds the rows.
    """

    def __init__(self, table: TablePort) -> None:
        self._table = table

    async def create(self, plan: Plan) -> Result[Plan, OperatorError]:
        """Store a new plan, and remove some that expired long ago."""
        writes = [Write(_key(plan.plan_id), encode_record(plan))]
        for key in await self._list_stale(plan.created_wall_seconds):
            writes.append(Write(key, None))
        condition = Condition(_key(plan.plan_id), ABSENT_VERSION)
        outcome = await self._table.commit(Transaction((condition,), tuple(writes)))
        if isinstance(outcome, Success):
            return Success(plan)
        error = outcome.failure()
        if isinstance(error, OutcomeUnknown):
            # The id is random: if the row exists, this call wrote it.
            found = await self.load(PlanId(plan.plan_id))
            if isinstance(found, Success):
                return Success(plan)
        return Failure(_to_operator_error(error, is_applied=False))

    async def _list_stale(self, wall_seconds: float) -> list[str]:
        page = await self._table.scan(_KEY_PREFIX, None, _MAX_REMOVALS_PER_PLAN)
        if not isinstance(page, Success):
            return []
        return [
            row.key
            for row in page.unwrap().rows
            if _decode(row).expires_wall_seconds + _RETENTION_SECONDS < wall_seconds
        ]

    async def load(self, plan_id: PlanId) -> Result[StoredPlan, OperatorError]:
        """Return a plan, or an error if it is unknown or the store is unavailable."""
        if len(plan_id) > _MAX_PLAN_ID_LENGTH:
            return Failure(_unknown_plan())
        outcome = await self._table.read((_key(plan_id),))
        if not isinstance(outcome, Success):
            return Failure(_to_operator_error(outcome.failure(), is_applied=None))
        (row,) = outcome.unwrap()
        if row is None:
            return Failure(_unknown_plan())
        return Success(StoredPlan(_decode(row), row.version))

    async def list_since(
        self, wall_seconds: float
    ) -> Result[tuple[Plan, ...], OperatorError]:
        """Return up to 500 plans made since ``wall_seconds``, oldest first.

        The scan starts at the time encoded in the ids: reading a day of plans at the
        design size would use half a minute of the table's read capacity.
        """
        after_key = _key(f"plan-{max(0, int(wall_seconds * 1000)):012x}")
        outcome = await self._table.scan(_KEY_PREFIX, after_key, _MAX_LISTED_PLANS)
        if not isinstance(outcome, Success):
            return Failure(_to_operator_error(outcome.failure(), is_applied=False))
        return Success(tuple(map(_decode, outcome.unwrap().rows)))

    async def replace(
        self, stored: StoredPlan, plan: Plan
    ) -> Result[StoredPlan, OperatorError | PlanRowChanged]:
        """Replace ``stored`` by ``plan`` unless its row has changed."""
        key = _key(plan.plan_id)
        transaction = Transaction(
            (Condition(key, stored.version),), (Write(key, encode_record(plan)),)
        )
        outcome = await self._table.commit(transaction)
        if isinstance(outcome, Success):
            return Success(StoredPlan(plan, outcome.unwrap().versions[0]))
        error = outcome.failure()
        if isinstance(error, TableConflict):
            return Failure(PlanRowChanged())
        if isinstance(error, OutcomeUnknown):
            found = await self.load(PlanId(plan.plan_id))
            if isinstance(found, Success) and found.unwrap().plan == plan:
                return found
        return Failure(_to_operator_error(error, is_applied=False))


def _key(plan_id: str) -> str:
    return _KEY_PREFIX + plan_id


def _decode(row: Row) -> Plan:
    return decode_record(row.value, Plan)


def _unknown_plan() -> OperatorError:
    return OperatorError("There is no such plan.", OperatorErrorKind.UNKNOWN_PLAN)


def _to_operator_error(error: TableError, is_applied: bool | None) -> OperatorError:
    return OperatorError(
        f"The table service did not answer: {error.reason}",
        OperatorErrorKind.STORE_UNAVAILABLE,
        is_applied=is_applied,
        retry_after_seconds=RETRY_SECONDS,
    )
