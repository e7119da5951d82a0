"""Orders to engines, and reports of the resulting state.

An order states the desired end state with a version and the lease's fencing number.
So a repeated order changes nothing, and an engine that checks fencing refuses the
order of an earlier holder. For engines that do not check it, the state is read back
after the order.
"""

from returns.result import Result

from lycheepost.generated.configuration import Target
from lycheepost.generated.engine import (
    EngineHealth,
    EngineLoad,
    EngineOrder,
    EngineOrderAnswer,
)
from lycheepost.targets.control import ControlClient
from lycheepost.targets.errors import TargetError


class OrderClient:
    """Sends orders and reads states; implements the port of the capacity duty."""

    def __init__(self, control: ControlClient) -> None:
        self._control = control

    async def send(
        self, target: Target, order: EngineOrder
    ) -> Result[EngineOrderAnswer, TargetError]:
        """Send a target its desired end state.

        Returns:
            Its answer, which states whether the order was accepted;
            ``TargetUnreachable`` when the order never arrived; or ``TargetLost``
            when it may have arrived.
        """
        url = f"{target.url}/orders"
        return await self._control.send(url, order, EngineOrderAnswer)

    async def read_state(self, target: Target) -> Result[EngineHealth, TargetError]:
        """Return the state that a target reports."""
        return await self._control.read(f"{target.url}/health", EngineHealth)

    async def read_load(self, target: Target) -> Result[EngineLoad, TargetError]:
        """Return the load that a target reports."""
        return await self._control.read(f"{target.url}/load", EngineLoad)


def make_order_client(control: ControlClient) -> OrderClient:
    """Return a client that uses the calls of a started ``ControlClient``."""
    return OrderClient(control)
