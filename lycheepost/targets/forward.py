"""The client that forwards requests to targets and hands their answers on unread.

One request at a time runs on a connection. A connection is used again only after
a whole answer that was the right one, with nothing behind it.
"""

import asyncio
from typing import Any

import aiohttp
import yarl
from returns.result import Failure, Result, Success

from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.errors import TargetError, TargetLost, TargetUnreachable
from lycheepost.targets.forwardcall import Dialect, ForwardCall, ResponseHead
from lycheepost.targets.session import SessionPair

_NO_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""aiohttp would add them; the target must get the caller's headers and no others."""


class ResponseTruncated(TargetLost):
    """An answer that had begun did not come to its end."""


class ForwardResponse:
    """An answer whose head has come.

    Attributes:
        head: The decoded head.
    """

    def __init__(self, head: ResponseHead, response: aiohttp.ClientResponse) -> None:
        self.head = head
        self._response = response
        self._is_complete = False
        connection = response.connection
        protocol = None if connection is None else connection.protocol
        # Asked for now: once the connection is lost it can no longer be told how.
        self._closed = None if protocol is None else protocol.closed

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or None after a whole body.

        Raises:
            ResponseTruncated: The connection broke before the end of the body.
        """
        try:
            data = await self._response.content.readany()
            if data:
                return data
            await self._check_end()
        except (aiohttp.ClientError, OSError) as error:
            self.close()
            raise ResponseTruncated("the answer broke off") from error
        self._is_complete = True
        return None

    async def _check_end(self) -> None:
        """Tell a body that ended from one that was cut off.

        A body without length ends with its connection. When the connection was
        reset instead of closed, aiohttp reports the same end; only the state of
        the connection tells that the rest is missing.
        """
        if not self.head.has_length and self._closed is not None:
            # A read that is given up must not end the future for the next one.
            await asyncio.shield(self._closed)

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises:
            ResponseTruncated: It broke off or is larger than ``max_bytes``.
        """
        parts: list[bytes] = []
        n_bytes = 0
        while (data := await self.read()) is not None:
            n_bytes += len(data)
            if n_bytes > max_bytes:
                self.close()
                raise ResponseTruncated("the answer is too large")
            parts.append(data)
        return b"".join(parts)

    def close(self) -> None:
        """Break the connection unless the body was read to its end.

        The target sees that and stops its work.
        """
        if not self._is_complete:
            self._response.close()


class ForwardClient:
    """Sends calls to targets.

    Args:
        settings: Timeouts and the age of kept connections.
        dialect: How calls and answers look on the wire.
    """

    def __init__(self, settings: StreamSettings, dialect: Dialect) -> None:
        self._sessions = SessionPair(settings)
        self._dialect = dialect
        self.n_calls = 0
        self.n_stale_answers = 0

    async def start(self) -> None:
        """Open the connection pools."""
        await self._sessions.start()

    async def drain(self) -> None:
        """Do nothing: calls belong to open requests."""

    async def stop(self) -> None:
        """Close all connections."""
        await self._sessions.stop()

    def status(self) -> dict[str, Any]:
        """Return counts for the status page."""
        return {"n_calls": self.n_calls, "n_stale_answers": self.n_stale_answers}

    async def send(self, call: ForwardCall) -> Result[ForwardResponse, TargetError]:
        """Send a call and wait for the head of its answer.

        The caller of this bounds the wait by cancelling it.

        Returns:
            The answer, ``TargetUnreachable`` when no byte was sent, or
            ``TargetLost`` when the call may have run.
        """
        self.n_calls += 1
        try:
            response = await self._open(call)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(TargetUnreachable(f"no connection: {error}"))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(TargetLost(f"no answer: {type(error).__name__}"))
        headers = [(name, value) for name, value in response.headers.items()]
        head = self._dialect.decode(call, response.status, headers)
        if head.answers_other_request:
            # The extra answer to an earlier request of this connection. Ours may
            # come behind it, but what else does nobody can tell.
            self.n_stale_answers += 1
            response.close()
            return Failure(TargetLost("the answer belongs to another request"))
        return Success(ForwardResponse(head, response))

    async def _open(self, call: ForwardCall) -> aiohttp.ClientResponse:
        session = self._sessions.choose(call.may_reuse_connection)
        return await session.request(
            call.method,
            yarl.URL(f"http://{call.address}{call.raw_path}", encoded=True),
            headers=self._dialect.encode(call),
            data=call.body or None,
            skip_auto_headers=_NO_AUTO_HEADERS,
            allow_redirects=False,
        )
