"""What the callers' front stands on, as typed ports."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from returns.result import Result

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.versions import RequestVersions
from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    TargetId,
)
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.hotprefixes import HotPrefixes
from lycheepost.generated.callers import AddressList
from lycheepost.generated.settings import Settings
from lycheepost.report.samples import Sample
from lycheepost.state.claim_rows import (
    ClaimError,
    ClaimOutcome,
    Granted,
    StoredAnswer,
)
from lycheepost.state.view import ConfigurationView
from lycheepost.targets.engine import EngineClient
from lycheepost.targets.service import ServiceClient
from lycheepost.utils.metrics import Metrics


class ViewPort(Protocol):
    """The configuration in force."""

    @property
    def view(self) -> ConfigurationView:
        """Return the highest revision that this daemon has seen."""
        ...


class ClaimPort(Protocol):
    """Claims of idempotency keys; see ``state.claims``."""

    async def claim(
        self,
        customer: CustomerId,
        key: IdempotencyKey,
        fingerprint: BodyFingerprint,
        request: RequestId,
    ) -> Result[ClaimOutcome, ClaimError]:
        """Claim one call before its first byte goes to a target."""
        ...

    async def store_answer(
        self, claim: Granted, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        """Keep the answer for resends."""
        ...

    async def release(self, claim: Granted) -> Result[None, ClaimError]:
        """Give up a claim whose call is proven to have reached no target."""
        ...

    async def abandon(self, claim: Granted) -> None:
        """Forget a claim whose call may have run and has no answer."""
        ...


@dataclass(frozen=True)
class CallerDeps:
    """Everything that the callers' front stands on.

    Attributes:
        addresses: The addresses answer for a customer, or for nobody known.
        make_request_id: Gives ids that are unique in the fleet.
        on_unreachable: Told of a target that took no connection.
        incarnation_of: The boot id that a target last named.
        is_same_target: Asks a target whether it is still the incarnation given.
        on_sample: Told of each finished request.
        is_draining: Whether this daemon is leaving.
        status: The whole of ``/admin/status``.
        versions: Chooses the weights of a request while its model changes.
        hot: Counts the prefixes that requests share, to warm targets with.
        quotas: What customers may ask of the fleet; None where nobody counts it.
    """

    settings: Settings
    configuration: ViewPort
    dispatcher: Dispatcher
    engines: EngineClient
    services: ServiceClient
    claims: ClaimPort
    clock: Clock
    metrics: Metrics
    addresses: Callable[[CustomerId | None], AddressList]
    make_request_id: Callable[[], RequestId]
    on_unreachable: Callable[[TargetId], None]
    is_same_target: Callable[[TargetId, Incarnation], Awaitable[bool]]
    incarnation_of: Callable[[TargetId], Incarnation]
    on_sample: Callable[[Sample], None]
    is_draining: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    versions: RequestVersions = field(default_factory=RequestVersions)
    hot: HotPrefixes = field(default_factory=HotPrefixes)
    quotas: FleetQuotas | None = None
