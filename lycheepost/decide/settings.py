"""Settings of the scheduling decisions.

``make_scheduler_settings`` takes the values that operators may change from the
validated settings file; the other values are internal and keep their defaults.
"""

from dataclasses import dataclass

from lycheepost.decide.mechanisms import Mechanism
from lycheepost.generated.settings import Settings


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Bounds and weights of the scheduling decisions.

    Attributes:
        queue_requests: Maximum number of waiting requests; more would time out.
        customer_queue_requests: Maximum number of waiting requests of one customer.
        wait_weight: Cost of one second of predicted wait.
        recompute_weight: Cost of one second of avoidable prefill.
        retry_share: Retries as a fraction of first attempts, so that retries don't
            double the load on a failing fleet.
        max_tries: Maximum number of targets that one request may reach.
        quarantine_losses: Target losses after which a request is quarantined.
        quarantine_seconds: How long a quarantined request stays refused.
        candidates: Targets scored for one request.
        prefill_seconds_per_token: Initial estimate, until measured.
        decode_seconds_per_token: Engine time per output token.
        first_token_seconds: Initial estimate of the fixed part of the first-token time.
        admit_wait_share: Fraction of the first-token timeout that the predicted wait
            may take; the rest covers prediction errors.
        queue_seconds: Maximum wait that a queue may build up.
        switched_off: Disabled mechanisms.
    """

    queue_requests: int = 2000
    customer_queue_requests: int = 500
    wait_weight: float = 1.0
    recompute_weight: float = 1.0
    retry_share: float = 0.1
    max_tries: int = 3
    quarantine_losses: int = 2
    quarantine_seconds: float = 600.0
    candidates: int = 8
    prefill_seconds_per_token: float = 50e-6
    decode_seconds_per_token: float = 0.7e-3
    first_token_seconds: float = 0.03
    admit_wait_share: float = 0.4
    queue_seconds: float = 20.0
    switched_off: frozenset[Mechanism] = frozenset()


def make_scheduler_settings(settings: Settings) -> SchedulerSettings:
    """Return the scheduling part of a daemon's settings."""
    limits = settings.limits
    objectives = settings.objectives
    return SchedulerSettings(
        queue_requests=limits.queue_requests,
        customer_queue_requests=limits.customer_queue_requests,
        wait_weight=objectives.wait_weight,
        recompute_weight=objectives.recompute_weight,
        retry_share=limits.retry_share,
        max_tries=limits.max_tries,
        quarantine_losses=limits.quarantine_losses,
        quarantine_seconds=limits.quarantine_seconds,
        candidates=settings.targets.candidates,
        switched_off=frozenset(Mechanism(name.value) for name in settings.switched_off),
    )
