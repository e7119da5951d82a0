"""Model of the platform's object store, in memory and over HTTP."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import unquote

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock, SystemClock
from lycheepost.ports.objects import ObjectError, ObjectMissing
from lycheepost.standin.meter import Meter
from lycheepost.standin.platformfaults import Faults

MODEL_KEY: web.AppKey["ObjectModel"] = web.AppKey("model")
_MAX_OBJECT_BYTES = 256 * 1024 * 1024


@dataclass
class ObjectModel:
    """The objects and the faults of one object store.

    Attributes:
        clock: Clock of the meter.
        reads: Counts gets and listings, without a limit.
    """

    clock: Clock = field(default_factory=SystemClock)
    objects: dict[str, bytes] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    reads: Meter = field(default_factory=lambda: Meter(float("inf")))
    n_puts: int = 0
    _previous: dict[str, bytes] = field(default_factory=dict)

    async def get(self, name: str) -> Result[bytes, ObjectError]:
        """Return one object."""
        if await self._is_refused():
            return Failure(ObjectError("The object store is down."))
        self.reads.admit(1, self.clock.now_seconds())
        is_stale = self.faults.take("n_stale_reads")
        data = (self._previous if is_stale else self.objects).get(name)
        if data is None:
            return Failure(ObjectMissing("No object has this name."))
        return Success(data)

    async def put(self, name: str, data: bytes) -> Result[None, ObjectError]:
        """Write or replace one object."""
        if await self._is_refused():
            return Failure(ObjectError("The object store is down."))
        self.n_puts += 1
        if name in self.objects:
            self._previous[name] = self.objects[name]
        self.objects[name] = data
        if self.faults.take("n_lost_answers"):
            return Failure(ObjectError("The answer was lost."))
        return Success(None)

    async def list_names(self, prefix: str) -> Result[tuple[str, ...], ObjectError]:
        """Return the names that start with ``prefix``."""
        if await self._is_refused():
            return Failure(ObjectError("The object store is down."))
        self.reads.admit(1, self.clock.now_seconds())
        names = tuple(sorted(name for name in self.objects if name.startswith(prefix)))
        if self.faults.take("n_partial_lists"):
            names = names[: len(names) // 2]
        return Success(names)

    async def delete(self, name: str) -> Result[None, ObjectError]:
        """Remove one object; removing a missing one succeeds."""
        if await self._is_refused():
            return Failure(ObjectError("The object store is down."))
        self.objects.pop(name, None)
        return Success(None)

    async def _is_refused(self) -> bool:
        if self.faults.refuses():
            return True
        if self.faults.delay_seconds > 0:
            await asyncio.sleep(self.faults.delay_seconds)
        return False


def make_object_model(clock: Clock | None = None) -> ObjectModel:
    """Return an empty object store."""
    return ObjectModel(clock=clock or SystemClock())


def make_objects_app(model: ObjectModel) -> web.Application:
    """Return an aiohttp application that serves ``model``."""
    app = web.Application(client_max_size=_MAX_OBJECT_BYTES)
    app[MODEL_KEY] = model
    app.router.add_get("/names", _handle_list)
    app.router.add_get("/objects/{name:.*}", _handle_get)
    app.router.add_put("/objects/{name:.*}", _handle_put)
    app.router.add_delete("/objects/{name:.*}", _handle_delete)
    return app


def _name(request: web.Request) -> str:
    return unquote(request.match_info["name"])


async def _handle_list(request: web.Request) -> web.Response:
    prefix = request.query.get("prefix", "")
    outcome = await request.app[MODEL_KEY].list_names(prefix)
    return _respond(outcome.map(msgspec.json.encode))


async def _handle_get(request: web.Request) -> web.Response:
    return _respond(await request.app[MODEL_KEY].get(_name(request)))


async def _handle_put(request: web.Request) -> web.Response:
    data = await request.read()
    outcome = await request.app[MODEL_KEY].put(_name(request), data)
    return _respond(outcome.map(lambda _: b""))


async def _handle_delete(request: web.Request) -> web.Response:
    outcome = await request.app[MODEL_KEY].delete(_name(request))
    return _respond(outcome.map(lambda _: b""))


def _respond(outcome: Result[bytes, ObjectError]) -> web.Response:
    match outcome:
        case Success(data):
            return web.Response(body=data)
        case Failure(ObjectMissing()):
            return web.Response(status=404)
    return web.Response(status=503)
