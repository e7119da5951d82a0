"""HTTP client of the object store."""

from urllib.parse import quote

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.ports.http_calls import HttpAnswer, HttpCaller
from lycheepost.ports.objects import ObjectError, ObjectMissing
from lycheepost.ports.retries import RetryBudget, retry_read


class HttpObjects:
    """An implementation of ``ObjectPort``; created by ``make_http_objects``."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller
        self._retries = RetryBudget()

    async def get(self, name: str) -> Result[bytes, ObjectError]:
        """Return one object."""
        return await self._read(_path(name))

    async def put(self, name: str, data: bytes) -> Result[None, ObjectError]:
        """Write or replace one object."""
        return (await self._call("PUT", _path(name), data)).map(lambda _: None)

    async def list_names(self, prefix: str) -> Result[tuple[str, ...], ObjectError]:
        """Return the names that start with ``prefix``; the list may be stale."""
        outcome = await self._read(f"/names?prefix={quote(prefix, safe='')}")
        return outcome.bind(_decode_names)

    async def delete(self, name: str) -> Result[None, ObjectError]:
        """Remove one object; removing a missing one succeeds."""
        return (await self._call("DELETE", _path(name))).map(lambda _: None)

    async def close(self) -> None:
        """Close the session if this client created it."""
        await self._caller.close()

    async def _read(self, path: str) -> Result[bytes, ObjectError]:
        return await retry_read(
            lambda: self._call("GET", path),
            lambda error: not isinstance(error, ObjectMissing),
            self._retries,
        )

    async def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[bytes, ObjectError]:
        match await self._caller.call(method, path, body):
            case Success(HttpAnswer(status=200, body=data)):
                return Success(data)
            case Success(HttpAnswer(status=404)):
                return Failure(ObjectMissing("No object has this name."))
            case Success(HttpAnswer(status=status)):
                return Failure(ObjectError(f"The object store answered {status}."))
            case Failure(fault):
                return Failure(ObjectError(fault.reason))
        raise AssertionError("unreachable")


def make_http_objects(
    url: str, timeout_seconds: float, session: aiohttp.ClientSession | None = None
) -> HttpObjects:
    """Return a client of the object store at ``url``."""
    return HttpObjects(HttpCaller(url, timeout_seconds, session))


def _path(name: str) -> str:
    return "/objects/" + quote(name, safe="/")


def _decode_names(data: bytes) -> Result[tuple[str, ...], ObjectError]:
    try:
        return Success(msgspec.json.decode(data, type=tuple[str, ...]))
    except msgspec.DecodeError:
        return Failure(ObjectError("The listing could not be read."))
