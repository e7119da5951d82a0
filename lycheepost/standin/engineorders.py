"""State of a stand-in engine that operators' orders change."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from lycheepost.generated.engine import (
    EngineHealthState,
    EngineOrder,
    EngineOrderAnswer,
)
from lycheepost.standin.enginesettings import EngineStandinSettings
from lycheepost.standin.enginewire import refuse
from lycheepost.utils.documents import convert_document, encode_record


class EngineOrders:
    """Accepts the orders for one engine and executes them.

    Args:
        settings: Initial state of the engine.
        on_new_weights: Called after other weights were loaded.
    """

    def __init__(
        self, settings: EngineStandinSettings, on_new_weights: Callable[[], None]
    ) -> None:
        self.accepted: list[EngineOrder] = []
        self._settings = settings
        self._on_new_weights = on_new_weights
        self._task: asyncio.Task[None] | None = None
        self.reset()

    def reset(self) -> None:
        """Return to the initial state, as after a restart."""
        self.stop()
        self.state = EngineHealthState.SERVING
        self.model = self._settings.model
        self.weights_version = self._settings.weights_version
        self.adapter = ""
        self.role = ""
        self.desired_version = 0
        self.fencing_number = 0

    def stop(self) -> None:
        """Stop executing the current order."""
        if self._task is not None:
            self._task.cancel()

    async def post(self, request: web.Request) -> web.StreamResponse:
        """Accept one order, or reject it with a reason."""
        converted = convert_document(
            "engine", await request.json(), EngineOrder, "EngineOrder"
        )
        order = converted.value_or(None)
        if order is None:
            faults = "; ".join(str(fault) for fault in converted.failure())
            return refuse(400, faults)
        if self._settings.checks_fencing and order.fencing_number < self.fencing_number:
            return self._answer_order(409, "old fencing number")
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        if order.desired_version < self.desired_version:
            return self._answer_order(409, "old desired version")
        self.accepted.append(order)
        self.desired_version = order.desired_version
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.create_task(self._execute(order))
        return self._answer_order(200, "")

    def _answer_order(self, status: int, reason: str) -> web.Response:
        answer = EngineOrderAnswer(
            is_accepted=status == 200,
            fencing_number=self.fencing_number,
            desired_version=self.desired_version,
            reason=reason,
        )
        return web.Response(
            status=status,
            body=encode_record(answer),
            content_type="application/json",
        )

    async def _execute(self, order: EngineOrder) -> None:
        self.role = order.role or self.role
        self.adapter = order.adapter or self.adapter
        weights = order.weights_version or self.weights_version
        model = order.model or self.model
        if (weights, model) != (self.weights_version, self.model):
            self.state = EngineHealthState.LOADING
            await asyncio.sleep(self._settings.load_weights_seconds)
            # Cached blocks of the old weights are invalid for the new ones.
            self._on_new_weights()
            self.weights_version = weights
            self.model = model
        self.state = order.state
