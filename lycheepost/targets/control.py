"""Small JSON calls to engines other than completions: reports and orders.

They use a separate connection pool with a short time-out, so that neither a full
pool nor a slow stream delays a health report or an order.
"""

from typing import Any, TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.errors import (
    TargetError,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
)
from lycheepost.targets.session import make_session
from lycheepost.utils.boundedreads import read_bounded
from lycheepost.utils.documents import decode_record, encode_record
from lycheepost.utils.runningtime import running_timeout

T = TypeVar("T")
_CALL_TIMEOUT_SECONDS = 2.0
"""Targets read reports from memory and only record orders, so a target that takes
longer is faulty, and waiting for it would make all reports stale."""
_MAX_ANSWER_BYTES = 2 * 1024 * 1024
"""Limit that keeps a faulty target from filling the memory. The largest report,
4,096 cache events of about 90 bytes, takes 0.4 MB; a KV description far less."""


class ControlClient:
    """Sends control calls to engines."""

    def __init__(self, settings: StreamSettings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self.n_calls = 0
        self.n_bytes = 0

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = make_session("control", self._settings)

    async def drain(self) -> None:
        """Do nothing: calls are short."""

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def status(self) -> dict[str, Any]:
        """Return counts for the status page."""
        return {"n_calls": self.n_calls, "n_body_bytes": self.n_bytes}

    async def read(self, url: str, record_type: type[T]) -> Result[T, TargetError]:
        """Get one report.

        Returns:
            The record, or the error; a report that cannot be decoded is a
            ``TargetLost``.
        """
        return await self._call("GET", url, None, record_type)

    async def send(
        self, url: str, record: object, answer_type: type[T]
    ) -> Result[T, TargetError]:
        """Post one record and return the response, also one of status 409."""
        return await self._call("POST", url, encode_record(record), answer_type)

    async def _call(
        self, method: str, url: str, body: bytes | None, record_type: type[T]
    ) -> Result[T, TargetError]:
        if self._session is None:
            raise RuntimeError("the control client is not started")
        self.n_calls += 1
        try:
            async with running_timeout("control call", _CALL_TIMEOUT_SECONDS):
                async with self._session.request(
                    method, url, data=body, headers=_JSON
                ) as response:
                    answer = await read_bounded(response, _MAX_ANSWER_BYTES)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Failure(TargetUnreachable("the target takes no connection"))
        except TimeoutError:
            return Failure(TargetLost("the target did not answer in time"))
        except (aiohttp.ClientError, OSError):
            return Failure(TargetLost("the connection broke"))
        self.n_bytes += len(answer)
        if response.status not in (200, 409):
            return Failure(
                TargetRefused(f"the target said {response.status}", response.status)
            )
        try:
            return Success(decode_record(answer, record_type))
        except msgspec.MsgspecError:
            return Failure(TargetLost("the target's answer has another form"))


_JSON = {"Content-Type": "application/json", "Accept-Encoding": "identity"}


def make_control_client(settings: StreamSettings) -> ControlClient:
    """Return a client that is not yet started."""
    return ControlClient(settings)
