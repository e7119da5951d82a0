"""HTTP client of the weight store."""

from urllib.parse import quote

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.ids import ModelId
from lycheepost.ports.http_calls import HttpAnswer, HttpCaller
from lycheepost.ports.weights import WeightsError, WeightsInfo


class HttpWeights:
    """An implementation of ``WeightsPort``; created by ``make_http_weights``."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def list_versions(
        self, model: ModelId
    ) -> Result[tuple[WeightsInfo, ...], WeightsError]:
        """Return the versions of one model."""
        path = f"/versions?model={quote(model, safe='')}"
        match await self._caller.call("GET", path):
            case Success(HttpAnswer(status=200, body=data)):
                return _decode(data)
            case Success(HttpAnswer(status=status)):
                return Failure(WeightsError(f"The weight store answered {status}."))
            case Failure(fault):
                return Failure(WeightsError(fault.reason))
        raise AssertionError("unreachable")

    async def close(self) -> None:
        """Close the session if this client created it."""
        await self._caller.close()


def make_http_weights(
    url: str, timeout_seconds: float, session: aiohttp.ClientSession | None = None
) -> HttpWeights:
    """Return a client of the weight store at ``url``."""
    return HttpWeights(HttpCaller(url, timeout_seconds, session))


def _decode(data: bytes) -> Result[tuple[WeightsInfo, ...], WeightsError]:
    try:
        return Success(msgspec.json.decode(data, type=tuple[WeightsInfo, ...]))
    except msgspec.DecodeError:
        return Failure(WeightsError("The versions could not be read."))
