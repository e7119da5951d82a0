"""Orders to engines, and reading back what they have become.

An order states the desired end state with a version and the lease's fencing
number, so that sending it twice changes nothing and an engine that checks
fencing refuses an earlier holder's. Engines that check nothing are read back.
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
    """Sends orders and reads states; implements the capacity duty's port."""

    def __init__(self, control: ControlClient) -> None:
        self._control = control

    async def send(
        self, target: Target, order: EngineOrder
    ) -> Result[EngineOrderAnswer, TargetError]:
        """Tell a target its desired end state.

        Returns:
            Its answer, which may say that the order was not accepted; or
            ``TargetUnreachable`` when the order never arrived; or
            ``TargetLost`` when it may have.
        """
        url = f"{target.url}/orders"
        return await self._control.send(url, order, EngineOrderAnswer)

    async def read_state(self, target: Target) -> Result[EngineHealth, TargetError]:
        """Return what a target says it is."""
        return await self._control.read(f"{target.url}/health", EngineHealth)

    async def read_load(self, target: Target) -> Result[EngineLoad, TargetError]:
        """Return what a target says it runs."""
        return await self._control.read(f"{target.url}/load", EngineLoad)


def make_order_client(control: ControlClient) -> OrderClient:
    """Return a client that uses the calls of a started ``ControlClient``."""
    return OrderClient(control)
