"""Servers that fail most of what they get in a soak, and the count of all repeats."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from lycheepost.app.platformfleet import ENGINES, PLAIN, PlatformFleet
from lycheepost.platform.models.retryaudit import worst_window
from lycheepost.platform.models.serverstandin import PlatformServer
from lycheepost.standin.faults import LostAnswer, Refused

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
"""What daemons take if their settings file states no limits on repeats."""

WINDOW_SECONDS = 10.0
FAILING_SHARE = 0.67
N_FAILURES = 500
"""More requests than a server gets while it fails."""

PLAIN_PATHS = ("/look", "/order")


@dataclass
class SentRequests:
    """When clients sent requests to each service.

    Attributes:
        plain_seconds: To the plain services.
        engine_seconds: To the engines.
    """

    plain_seconds: list[float] = field(default_factory=list)
    engine_seconds: list[float] = field(default_factory=list)

    def note(self, path: str, sent_seconds: float) -> None:
        """Record a request."""
        is_plain = path.startswith(PLAIN_PATHS)
        times = self.plain_seconds if is_plain else self.engine_seconds
        times.append(sent_seconds)


def begin_failing(rng: random.Random, fleet: PlatformFleet) -> list[PlatformServer]:
    """Let most servers of one service reject requests or lose their answers."""
    service = rng.choice((PLAIN, ENGINES))
    servers = fleet.group(service)
    failing = rng.sample(servers, max(1, round(FAILING_SHARE * len(servers))))
    faults = [Refused(503), Refused(421)]
    if service == PLAIN:
        faults.append(LostAnswer())
    fault = rng.choice(faults)
    for server in failing:
        server.faults.add(fault, N_FAILURES)
    return failing


def find_excess(fleet: PlatformFleet, sent: SentRequests) -> Iterator[str]:
    """Tell of services that got more repeats than all daemons together may send."""
    for service, times in (
        (PLAIN, sent.plain_seconds),
        (ENGINES, sent.engine_seconds),
    ):
        arrivals = [item for server in fleet.group(service) for item in server.arrivals]
        worst = worst_window(arrivals, times, RETRY_SHARE, RETRY_BURST, WINDOW_SECONDS)
        if worst.is_over:
            yield (
                f"{service}: {worst.n_repeats} repeats in 10 s, for"
                f" {worst.n_requests} requests, {worst.n_allowed:.1f} allowed"
            )
