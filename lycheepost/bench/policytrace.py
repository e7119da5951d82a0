"""What the policy bench follows of each request, and how it makes policies."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from lycheepost.bench.policybaselines import BASELINES, Policy
from lycheepost.bench.policyload import Deployment
from lycheepost.core.ids import TargetId
from lycheepost.decide.records import Work
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.standin.enginerecords import EngineRequest

OUR_POLICY = "lycheepost"


class Fate(Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused"
    LEFT = "left"
    FAILED = "failed"


@dataclass(slots=True)
class Trace:
    """What happened to one request.

    Attributes:
        ended_seconds: When the caller had its answer, refusal, or left.
        waited_seconds: Time to the first token, when there was one.
        n_targets: Targets that it reached.
    """

    work: Work
    daemon: int
    fate: Fate | None = None
    ended_seconds: float = 0.0
    waited_seconds: float | None = None
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    target: TargetId | None = None
    retry_after_seconds: float | None = None
    n_targets: int = 0
    generation: int = 0


def make_policy(
    name: str, deployment: Deployment, seed: int, changes: dict[str, Any] | None
) -> Policy:
    """Return one daemon's policy.

    Args:
        name: ``lycheepost`` or a baseline.
        deployment: Gives the weights of ours.
        seed: Seeds random choices.
        changes: Scheduler settings to replace, for experiments.
    """
    if name != OUR_POLICY:
        return BASELINES[name](seed)
    settings = SchedulerSettings(
        wait_weight=deployment.wait_weight,
        recompute_weight=deployment.recompute_weight,
    )
    if changes:
        settings = replace(settings, **changes)
    return Scheduler(settings, seed)


def make_engine_request(work: Work) -> EngineRequest:
    """Return the request as the daemon would send it."""
    return EngineRequest(
        request=work.request,
        salt=work.customer,
        levels=work.levels,
        prompt_tokens=work.prompt_tokens,
        output_tokens=work.output_tokens,
        priority=work.priority.value,
    )
