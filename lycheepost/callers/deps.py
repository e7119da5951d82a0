"""The dependencies of the callers' API as typed ports."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from returns.result import Result

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.lossverdicts import LossVerdicts
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
from lycheepost.core.starts import StartVerdict
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
    """The current configuration."""

    @property
    def view(self) -> ConfigurationView:
        """Return the highest revision that this daemon has received."""
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
        """Claim one call before its first byte is sent to a target."""
        ...

    async def store_answer(
        self, claim: Granted, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        """Store the response for resends."""
        ...

    async def release(self, claim: Granted) -> Result[None, ClaimError]:
        """Release a claim whose call has certainly reached no target."""
        ...

    async def abandon(self, claim: Granted) -> None:
        """Abandon a claim whose call may have run and has no response."""
        ...


@dataclass(frozen=True)
class CallerDeps:
    """The dependencies of the callers' API.

    Attributes:
        addresses: Returns the addresses for a customer, or for an unknown caller.
        make_request_id: Returns ids that are unique in the fleet.
        on_unreachable: Called with a target that accepted no connection.
        incarnation_of: Returns the boot id that a target last reported.
        judge_start: Asks whether a start of a target, by its boot id, has ended.
        on_sample: Called with each finished request.
        is_draining: Whether this daemon is draining.
        status: Returns the content of ``/admin/status``.
        versions: Chooses the weights of a request while a model's weights change.
        hot: Counts the prefixes that requests share, to warm targets with.
        quotas: The quotas of customers; None where they are not enforced.
        verdicts: Whether targets that broke off were lost.
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
    judge_start: Callable[[TargetId, Incarnation], Awaitable[StartVerdict]]
    incarnation_of: Callable[[TargetId], Incarnation]
    on_sample: Callable[[Sample], None]
    is_draining: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    versions: RequestVersions = field(default_factory=RequestVersions)
    hot: HotPrefixes = field(default_factory=HotPrefixes)
    quotas: FleetQuotas | None = None
    verdicts: LossVerdicts = field(default_factory=LossVerdicts)
