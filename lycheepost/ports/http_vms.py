"""HTTP client of the VM list."""

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.ports.http_calls import HttpAnswer, HttpCaller
from lycheepost.ports.vms import Vm, VmListError


class HttpVmList:
    """An implementation of ``VmListPort``; created by ``make_http_vm_list``."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def list_vms(self) -> Result[tuple[Vm, ...], VmListError]:
        """Return the whole list as last known to the platform."""
        match await self._caller.call("GET", "/vms"):
            case Success(HttpAnswer(status=200, body=data)):
                return _decode(data)
            case Success(HttpAnswer(status=status)):
                return Failure(VmListError(f"The VM list answered {status}."))
            case Failure(fault):
                return Failure(VmListError(fault.reason))
        raise AssertionError("unreachable")

    async def close(self) -> None:
        """Close the session if this client created it."""
        await self._caller.close()


def make_http_vm_list(
    url: str, timeout_seconds: float, session: aiohttp.ClientSession | None = None
) -> HttpVmList:
    """Return a client of the VM list at ``url``."""
    return HttpVmList(HttpCaller(url, timeout_seconds, session))


def _decode(data: bytes) -> Result[tuple[Vm, ...], VmListError]:
    try:
        return Success(msgspec.json.decode(data, type=tuple[Vm, ...]))
    except msgspec.DecodeError:
        return Failure(VmListError("The VM list could not be read."))
