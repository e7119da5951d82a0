"""Reads reports of the platform's servers and sends them weights orders.

Each call uses a new connection: if a keep-alive connection has died, it is unknown
whether an order that was sent on it arrived.
"""

from collections.abc import Callable

import aiohttp
import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import ModelId, WeightsVersion
from lycheepost.core.notices import TargetNotice
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.startverdict import StartAnswer
from lycheepost.platform import headers as names
from lycheepost.platform.dialect import MISDIRECTED_STATUS, decode_notice
from lycheepost.platform.numbers import Count
from lycheepost.platform.sessions import make_call_session
from lycheepost.targets.errors import TargetError, TargetLost, TargetUnreachable
from lycheepost.targets.network import TargetNetwork
from lycheepost.targets.weightsport import (
    LoadWeights,
    OrderAnswer,
    RunningRequestPolicy,
    TargetReport,
)
from lycheepost.utils.boundedreads import read_bounded
from lycheepost.utils.decoding import UNREADABLE
from lycheepost.utils.runningtime import running_timeout

CALL_TIMEOUT_SECONDS = 0.6
"""A server responds to a report or an order in milliseconds; one that hangs must not
delay the others."""
CONNECT_TIMEOUT_SECONDS = 0.3
"""Connecting takes a few milliseconds; half of the call is left for the response."""

_MAX_ANSWER_BYTES = 256 * 1024
"""A report names the models of one server, in some hundred bytes."""

_MODES = {
    RunningRequestPolicy.FINISH_FIRST: "block",
    RunningRequestPolicy.ABORT: "truncate",
    RunningRequestPolicy.CONTINUE: "retain",
}
_ANSWERS = {
    200: OrderAnswer.ALREADY,
    202: OrderAnswer.ACCEPTED,
    400: OrderAnswer.INVALID,
    409: OrderAnswer.BUSY,
    412: OrderAnswer.FENCED,
    MISDIRECTED_STATUS: OrderAnswer.OTHER_TARGET,
}

OnNotice = Callable[[ListedTarget, TargetNotice], None]

_log = structlog.get_logger(part="orders")


class _WireModel(msgspec.Struct):
    name: str
    version: Count


class _WireReport(msgspec.Struct):
    """A server's report.

    ``seq`` counts accepted orders; ``active`` and ``queued`` count requests. ``born``
    is the Unix time of the server's start in milliseconds, if the server states it.
    """

    models: list[_WireModel]
    busy: bool
    seq: Count
    queued: Count = 0
    active: Count = 0
    kv_used: Count = 0
    kv_total: Count = 0
    born: Count | None = None


class _WireOrder(msgspec.Struct):
    """An order; the server accepts it if its count of orders is ``expected``."""

    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected: int


class ServerOrders:
    """Implements ``targets.weightsport.WeightsPort``.

    Args:
        on_notice: Called with the notice in the headers of each response.
        network: Opens the connections.
    """

    def __init__(
        self, on_notice: OnNotice, network: TargetNetwork | None = None
    ) -> None:
        self._on_notice = on_notice
        self._network = network
        self._session: aiohttp.ClientSession | None = None
        self.n_orders = 0

    async def start(self) -> None:
        """Open the session."""
        self._session = make_call_session(
            "reports", CONNECT_TIMEOUT_SECONDS, network=self._network
        )

    async def drain(self) -> None:
        """Do nothing: the duty that sends orders has ended."""

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def read_report(
        self, target: ListedTarget
    ) -> Result[TargetReport, TargetError]:
        """Return a server's report."""
        answer = await self._call("GET", target, "/report", None)
        return answer.bind(_decode_report)

    async def order(
        self, target: ListedTarget, order: LoadWeights
    ) -> Result[OrderAnswer, TargetError]:
        """Send one order."""
        self.n_orders += 1
        body = _WireOrder(
            op="version",
            model=order.model,
            version=int(order.version),
            mode=_MODES[order.runs],
            holder=order.holder,
            fence=order.fencing_number,
            expected=order.expected_orders,
        )
        answer = await self._call("POST", target, "/order", msgspec.json.encode(body))
        return answer.bind(_decode_order_answer)

    async def ask_start(self, target: ListedTarget, path: str) -> StartAnswer:
        """Return whether a server still responds under its id.

        Args:
            target: The server.
            path: Path of its health check.
        """
        if self._session is None:
            return StartAnswer.NONE
        headers = {names.EXPECTED_TARGET: target.target}
        try:
            async with (
                running_timeout("start check", CALL_TIMEOUT_SECONDS),
                self._session.get(
                    f"http://{target.address}{path}", headers=headers
                ) as response,
            ):
                is_same = self._note_answer(target, response)
                return StartAnswer.SAME if is_same else StartAnswer.OTHER
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            _log.info(
                "orders: health check failed",
                target=target.target,
                reason=type(error).__name__,
            )
            return StartAnswer.NONE

    def _note_answer(
        self, target: ListedTarget, response: aiohttp.ClientResponse
    ) -> bool:
        """Report the notice in a response; return False if another server sent it."""
        named = response.headers.get(names.TARGET)
        if response.status == MISDIRECTED_STATUS or named not in (None, target.target):
            return False
        notice = decode_notice(response.status, response.headers)
        self._on_notice(target, notice)
        return True

    async def _call(
        self, method: str, target: ListedTarget, path: str, body: bytes | None
    ) -> Result[tuple[int, bytes], TargetError]:
        if self._session is None:
            raise RuntimeError("the HTTP session is not open")
        headers: dict[str, str] = {names.EXPECTED_TARGET: target.target}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            async with (
                running_timeout(path, CALL_TIMEOUT_SECONDS),
                self._session.request(
                    method, f"http://{target.address}{path}", headers=headers, data=body
                ) as response,
            ):
                self._note_answer(target, response)
                return Success(
                    (response.status, await read_bounded(response, _MAX_ANSWER_BYTES))
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(TargetUnreachable(f"no connection: {error}"))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(TargetLost(f"no response: {type(error).__name__}"))


def _decode_report(answer: tuple[int, bytes]) -> Result[TargetReport, TargetError]:
    status, body = answer
    if status != 200:
        return Failure(TargetError(f"the report was answered with status {status}"))
    try:
        wire = msgspec.json.decode(body, type=_WireReport)
    except UNREADABLE as error:
        return Failure(TargetError(f"the report cannot be decoded: {error}"))
    return Success(
        TargetReport(
            weights={
                ModelId(model.name): WeightsVersion(str(model.version))
                for model in wire.models
            },
            n_orders=wire.seq,
            is_changing=wire.busy,
            n_running=wire.active,
            n_waiting=wire.queued,
            kv_used_tokens=wire.kv_used,
            kv_total_tokens=wire.kv_total,
            started_ms=wire.born,
        )
    )


def _decode_order_answer(
    answer: tuple[int, bytes],
) -> Result[OrderAnswer, TargetError]:
    status, _body = answer
    found = _ANSWERS.get(status)
    if found is None:
        return Failure(TargetLost(f"the order was answered with status {status}"))
    return Success(found)
