"""Small JSON calls to engines beside the completions: reports and orders.

They use a pool of their own with short timeouts, so that a full pool or a slow
stream never delays a health answer or an order.
"""

import asyncio
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
from lycheepost.targets.session import make_session, read_bounded
from lycheepost.utils.documents import decode_record, encode_record

T = TypeVar("T")
_CALL_TIMEOUT_SECONDS = 2.0
"""Reports come from memory and orders are only noted, so a target that takes
longer is in trouble, and waiting for it would make all reports old."""
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest report: 4,096 cache events of about 90 bytes take 0.4 MB, a kept KV
description far less; a broken target must not fill the memory."""


class ControlClient:
    """Sends control calls to engines."""

    def __init__(self, settings: StreamSettings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self.n_calls = 0
        self.n_bytes = 0

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = make_session(self._settings)

    async def drain(self) -> None:
        """Calls are short; nothing to wait for."""

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
            The record, or why there is none; a report of another form counts
            as ``TargetLost``.
        """
        return await self._call("GET", url, None, record_type)

    async def send(
        self, url: str, record: object, answer_type: type[T]
    ) -> Result[T, TargetError]:
        """Post one record and return the answer; 409 answers count too."""
        return await self._call("POST", url, encode_record(record), answer_type)

    async def _call(
        self, method: str, url: str, body: bytes | None, record_type: type[T]
    ) -> Result[T, TargetError]:
        if self._session is None:
            raise RuntimeError("the control client is not started")
        self.n_calls += 1
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
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
