"""HTTP client of the table service."""

from typing import Any, TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.ports.http_calls import AnswerLost, HttpAnswer, HttpCaller, NotSent
from lycheepost.ports.retries import RetryBudget, retry_read
from lycheepost.ports.table import (
    NEVER_RESTORED,
    Committed,
    ObservedEra,
    OutcomeUnknown,
    Page,
    Row,
    TableConflict,
    TableError,
    TableThrottled,
    TableUnavailable,
    Transaction,
)
from lycheepost.ports.table_wire import ReadAnswer, ReadBody, ScanBody

T = TypeVar("T")


class HttpTable:
    """An implementation of ``TablePort``; created by ``make_http_table``."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller
        self._retries = RetryBudget()

    @property
    def era(self) -> ObservedEra:
        """Return that of a service that is never restored."""
        return NEVER_RESTORED

    async def read(
        self, keys: tuple[str, ...]
    ) -> Result[tuple[Row | None, ...], TableError]:
        """Return the rows of ``keys`` in order."""
        outcome = await self._read("/read", ReadBody(keys), ReadAnswer)
        return outcome.bind(lambda answer: _check_rows(answer, len(keys)))

    async def scan(
        self, prefix: str, after_key: str | None, limit: int
    ) -> Result[Page, TableError]:
        """Return up to ``limit`` rows whose keys start with ``prefix``."""
        body = ScanBody(prefix, after_key, limit)
        return await self._read("/scan", body, Page)

    async def commit(self, transaction: Transaction) -> Result[Committed, TableError]:
        """Apply a transaction atomically."""
        return await self._call("/commit", transaction, Committed, True)

    async def close(self) -> None:
        """Close the session if this client created it."""
        await self._caller.close()

    async def _read(
        self, path: str, body: Any, answer_type: type[T]
    ) -> Result[T, TableError]:
        return await retry_read(
            lambda: self._call(path, body, answer_type, False),
            lambda error: isinstance(error, TableUnavailable | TableThrottled),
            self._retries,
        )

    async def _call(
        self, path: str, body: Any, answer_type: type[T], is_write: bool
    ) -> Result[T, TableError]:
        outcome = await self._caller.call("POST", path, msgspec.json.encode(body))
        match outcome:
            case Success(HttpAnswer(status=200, body=data)):
                return _decode(data, answer_type, is_write)
            case Success(HttpAnswer() as answer):
                return Failure(_status_error(answer, is_write))
            case Failure(NotSent(reason=reason)):
                return Failure(TableUnavailable(reason))
            case Failure(AnswerLost(reason=reason)):
                return Failure(_lost_answer_error(reason, is_write))
        raise AssertionError("unreachable")


def make_http_table(
    url: str, timeout_seconds: float, session: aiohttp.ClientSession | None = None
) -> HttpTable:
    """Return a client of the table service at ``url``."""
    return HttpTable(HttpCaller(url, timeout_seconds, session))


def _lost_answer_error(reason: str, is_write: bool) -> TableError:
    return OutcomeUnknown(reason) if is_write else TableUnavailable(reason)


def _decode(data: bytes, answer_type: type[T], is_write: bool) -> Result[T, TableError]:
    try:
        return Success(msgspec.json.decode(data, type=answer_type))
    except (msgspec.DecodeError, ValueError, RecursionError):
        return Failure(_lost_answer_error("The answer could not be read.", is_write))


def _check_rows(
    answer: ReadAnswer, n_keys: int
) -> Result[tuple[Row | None, ...], TableError]:
    """Reject an answer whose number of rows differs from the number of keys.

    Rows are assigned to keys by position; if one were missing, the rows after it would
    be assigned to the wrong keys.
    """
    if len(answer.rows) != n_keys:
        return Failure(TableUnavailable("The answer has another number of rows."))
    return Success(answer.rows)


def _status_error(answer: HttpAnswer, is_write: bool) -> TableError:
    match answer.status:
        case 409:
            return TableConflict("A condition did not hold.", _decode_keys(answer.body))
        case 429:
            return TableThrottled("The table service is over its rate.")
        case 503:
            return TableUnavailable("The table service is down.")
        case status if status >= 500:
            return _lost_answer_error(f"The table service answered {status}.", is_write)
    return TableError(f"The table service answered {answer.status}.")


def _decode_keys(body: bytes) -> tuple[str, ...]:
    try:
        return msgspec.json.decode(body, type=tuple[str, ...])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return ()
