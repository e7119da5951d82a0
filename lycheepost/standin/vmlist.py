"""Model of the platform's lagging VM list, in memory and over HTTP."""

import asyncio
from dataclasses import dataclass, field, replace

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock, SystemClock
from lycheepost.ports.vms import Vm, VmListError, VmState
from lycheepost.standin.platformfaults import Faults

MODEL_KEY: web.AppKey["VmListModel"] = web.AppKey("model")


@dataclass
class VmListModel:
    """The VM list, which shows its state of ``faults.lag_seconds`` ago."""

    clock: Clock
    faults: Faults = field(default_factory=Faults)
    n_lists: int = 0
    _history: list[tuple[float, tuple[Vm, ...]]] = field(default_factory=list)

    def put(self, vm: Vm) -> None:
        """Add a VM or replace the one with the same name."""
        others = tuple(item for item in self.current() if item.name != vm.name)
        self._record((*others, vm))

    def remove(self, name: str) -> None:
        """Remove a VM."""
        self._record(tuple(item for item in self.current() if item.name != name))

    def announce_leaving(self, name: str) -> None:
        """Mark a VM as leaving."""
        for vm in self.current():
            if vm.name == name:
                self.put(replace(vm, state=VmState.LEAVING))

    def current(self) -> tuple[Vm, ...]:
        """Return the current VMs, without lag."""
        return self._history[-1][1] if self._history else ()

    async def list_vms(self) -> Result[tuple[Vm, ...], VmListError]:
        """Return the list as of ``lag_seconds`` ago."""
        if self.faults.refuses():
            return Failure(VmListError("The VM list is down."))
        if self.faults.delay_seconds > 0:
            await asyncio.sleep(self.faults.delay_seconds)
        self.n_lists += 1
        shown_seconds = self.clock.now_seconds() - self.faults.lag_seconds
        known = [
            vms for at_seconds, vms in self._history if at_seconds <= shown_seconds
        ]
        vms = known[-1] if known else ()
        if self.faults.take("n_partial_lists"):
            vms = vms[: len(vms) // 2]
        return Success(vms)

    def _record(self, vms: tuple[Vm, ...]) -> None:
        self._history.append((self.clock.now_seconds(), vms))


def make_vm_list_model(clock: Clock | None = None) -> VmListModel:
    """Return an empty VM list."""
    return VmListModel(clock or SystemClock())


def make_vm_list_app(model: VmListModel) -> web.Application:
    """Return an aiohttp application that serves ``model``."""
    app = web.Application()
    app[MODEL_KEY] = model
    app.router.add_get("/vms", _handle_list)
    return app


async def _handle_list(request: web.Request) -> web.Response:
    match await request.app[MODEL_KEY].list_vms():
        case Success(vms):
            return web.Response(body=msgspec.json.encode(vms))
    return web.Response(status=503)
