"""The client that forwards requests to targets without parsing response bodies.

A connection carries one request at a time. It is reused only after a complete
response to the right request, with no further bytes after it.
"""

import math
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import aiohttp
import yarl
from returns.result import Failure, Result, Success

from lycheepost.core.ids import TargetGroupId, TargetId
from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.errors import (
    TargetError,
    TargetLost,
    TargetMalformed,
    TargetUnreachable,
)
from lycheepost.targets.forwardcall import Dialect, ForwardCall, ResponseHead
from lycheepost.targets.network import TargetNetwork
from lycheepost.targets.payloads import make_payload
from lycheepost.targets.pools import TargetPools
from lycheepost.utils.bodies import BodyEnd, TrackedResponse
from lycheepost.utils.boundedreads import AnswerGivenUp

MAX_HEARD_TARGETS = 20_000
"""Targets that are remembered, the same number as in ``state.targetstarts``."""

_NO_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that aiohttp adds by default; the target must get only the caller's."""


class ResponseTruncated(TargetLost):
    """A response that had begun was truncated."""


class ForwardResponse:
    """A response whose headers have arrived.

    Args:
        head: The decoded status and headers.
        response: The response of the HTTP library.
        on_data: Called when a part of the body has arrived.

    Attributes:
        head: The decoded status and headers.
        body_end: How its body ended.
    """

    def __init__(
        self,
        head: ResponseHead,
        response: TrackedResponse,
        on_data: Callable[[], None],
    ) -> None:
        self.head = head
        self.body_end = BodyEnd.OPEN
        self._on_data = on_data
        self._response = response

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or None after a complete body.

        Raises:
            ResponseTruncated: The connection broke before the end of the body.
        """
        try:
            data = await self._response.content.readany()
            if data:
                self._on_data()
                return data
            self.body_end = await self._response.wait_body_end()
        except (aiohttp.ClientError, OSError) as error:
            self.body_end = BodyEnd.BROKEN
            self.close()
            raise ResponseTruncated("the answer broke off") from error
        return None

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the complete body.

        Raises:
            ResponseTruncated: It is truncated or larger than ``max_bytes``.
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
        """Close the connection unless the body was read to its end.

        The target then stops working on the request.
        """
        if self.body_end not in (BodyEnd.MARKED, BodyEnd.CLOSED):
            self._response.close()


class ForwardClient:
    """Sends calls to targets.

    Args:
        settings: Time-outs and the maximum idle time of pooled connections.
        dialect: Encodes calls and decodes responses.
        network: Opens the connections.
        client: Names this client, for the log and the metrics.
    """

    def __init__(
        self,
        settings: StreamSettings,
        dialect: Dialect,
        network: TargetNetwork | None = None,
        client: str = "requests",
    ) -> None:
        self._pools = TargetPools(client, settings, network)
        self._dialect = dialect
        self.n_calls = 0
        self.n_stale_answers = 0
        self._heard_seconds: dict[TargetGroupId, float] = {}
        self._heard_target_seconds: OrderedDict[TargetId, float] = OrderedDict()

    async def start(self) -> None:
        """Open the connection pools."""
        await self._pools.start()

    async def drain(self) -> None:
        """Do nothing: calls belong to open requests."""

    async def stop(self) -> None:
        """Close all connections."""
        await self._pools.stop()

    def status(self) -> dict[str, Any]:
        """Return counts for the status page."""
        return {
            "n_calls": self.n_calls,
            "n_stale_answers": self.n_stale_answers,
            "n_pool_renewals": self._pools.n_renewals,
        }

    async def send(self, call: ForwardCall) -> Result[ForwardResponse, TargetError]:
        """Send a call and wait for the response headers.

        There is no time-out; cancel the call to end the wait.

        Returns:
            The response, ``TargetUnreachable`` when no byte was sent, or
            ``TargetLost`` when the call may have run; ``TargetMalformed`` if the
            target sent something else than a response.
        """
        self.n_calls += 1
        try:
            response = await self._open(call)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(TargetUnreachable(f"no connection: {error}"))
        except (AnswerGivenUp, aiohttp.ClientResponseError) as error:
            return Failure(TargetMalformed(f"no answer: {type(error).__name__}"))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(TargetLost(f"no answer: {type(error).__name__}"))
        self._note_heard(call)
        headers = [(name, value) for name, value in response.headers.items()]
        head = self._dialect.decode(call, response.status, headers)
        if head.answers_other_request:
            # An extra response to an earlier request on this connection. The right
            # one may follow, but other bytes may follow as well.
            self.n_stale_answers += 1
            response.close()
            return Failure(TargetLost("the answer belongs to another request"))
        return Success(ForwardResponse(head, response, lambda: self._note_heard(call)))

    def _note_heard(self, call: ForwardCall) -> None:
        now_seconds = time.monotonic()
        self._heard_seconds[call.target_group] = now_seconds
        self._heard_target_seconds[call.target] = now_seconds
        self._heard_target_seconds.move_to_end(call.target)
        if len(self._heard_target_seconds) > MAX_HEARD_TARGETS:
            self._heard_target_seconds.popitem(last=False)

    def note_silent(self, target: TargetId, silent_seconds: float) -> None:
        """Stop using a target's pooled connections, one of which fell silent.

        Args:
            target: The target.
            silent_seconds: How long ago the call without a response was sent.
        """
        now_seconds = time.monotonic()
        self._pools.note_silent(target, now_seconds - silent_seconds, now_seconds)

    def heard_ago_seconds(self, target: TargetId) -> float:
        """Return when a target last sent something; infinite for never."""
        heard_seconds = self._heard_target_seconds.get(target, -math.inf)
        return time.monotonic() - heard_seconds

    def quiet_seconds(self, target_group: TargetGroupId) -> float:
        """Return for how long no target of a group has sent anything."""
        heard_seconds = self._heard_seconds.get(target_group, -math.inf)
        return time.monotonic() - heard_seconds

    async def _open(self, call: ForwardCall) -> TrackedResponse:
        session = self._pools.choose(
            call.target, call.may_reuse_connection, time.monotonic()
        )
        response = await session.request(
            call.method,
            yarl.URL(f"http://{call.address}{call.raw_path}", encoded=True),
            headers=self._dialect.encode(call),
            data=make_payload(call.body),
            skip_auto_headers=_NO_AUTO_HEADERS,
            allow_redirects=False,
        )
        assert isinstance(response, TrackedResponse)
        return response
