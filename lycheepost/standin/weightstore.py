"""Model of the platform's rate-limited weight store.

Targets read weights from it. ``load`` takes longer while more targets load at the
same time than the store can serve at full speed.
"""

import asyncio
from dataclasses import dataclass, field

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from lycheepost.core.ids import ModelId, WeightsVersion
from lycheepost.ports.weights import WeightsError, WeightsInfo
from lycheepost.standin.platformfaults import Faults

MODEL_KEY: web.AppKey["WeightStoreModel"] = web.AppKey("model")
_LOAD_STEPS = 20
"""Steps of a load; the speed of each depends on the other loads at its start."""


@dataclass
class WeightStoreModel:
    """The weights versions of all models, with a shared read rate.

    Attributes:
        full_speed_loads: Concurrent loads that the store serves at full speed; more
            share its rate.
        peak_concurrent_loads: Maximum number of concurrent loads so far.
    """

    full_speed_loads: int
    versions: dict[ModelId, list[WeightsInfo]] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    n_loading: int = 0
    peak_concurrent_loads: int = 0

    def put(self, info: WeightsInfo) -> None:
        """Add a version."""
        self.versions.setdefault(info.model, []).append(info)

    async def list_versions(
        self, model: ModelId
    ) -> Result[tuple[WeightsInfo, ...], WeightsError]:
        """Return the versions of one model."""
        if self.faults.refuses():
            return Failure(WeightsError("The weight store is down."))
        if self.faults.delay_seconds > 0:
            await asyncio.sleep(self.faults.delay_seconds)
        return Success(tuple(self.versions.get(model, ())))

    async def load(
        self, model: ModelId, version: WeightsVersion
    ) -> Result[WeightsInfo, WeightsError]:
        """Read one version as a target does; concurrent loads slow each other down."""
        for info in self.versions.get(model, ()):
            if info.weights_version == version:
                return await self._load(info)
        return Failure(WeightsError("The weight store has no such version."))

    async def _load(self, info: WeightsInfo) -> Result[WeightsInfo, WeightsError]:
        self.n_loading += 1
        self.peak_concurrent_loads = max(self.peak_concurrent_loads, self.n_loading)
        try:
            for _ in range(_LOAD_STEPS):
                slowdown = max(1.0, self.n_loading / self.full_speed_loads)
                await asyncio.sleep(info.load_seconds * slowdown / _LOAD_STEPS)
        finally:
            self.n_loading -= 1
        return Success(info)


def make_weight_store_model(full_speed_loads: int = 2) -> WeightStoreModel:
    """Return a weight store without models."""
    return WeightStoreModel(full_speed_loads)


def make_weight_store_app(model: WeightStoreModel) -> web.Application:
    """Return an aiohttp application that serves ``model``."""
    app = web.Application()
    app[MODEL_KEY] = model
    app.router.add_get("/versions", _handle_versions)
    return app


async def _handle_versions(request: web.Request) -> web.Response:
    model = ModelId(request.query.get("model", ""))
    match await request.app[MODEL_KEY].list_versions(model):
        case Success(versions):
            return web.Response(body=msgspec.json.encode(versions))
    return web.Response(status=503)
