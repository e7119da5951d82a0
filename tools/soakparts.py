"""Parts of prompts that crash engines in a soak, and the count of late requests."""

import asyncio
import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from soaknotices import Span

from lycheepost.app.platformfleet import ENGINES, PlatformFleet
from lycheepost.callers.errors import Executed, from_refusal
from lycheepost.core.ids import RequestId
from lycheepost.decide.records import RefusalReason, Refuse
from lycheepost.platform.models.partaudit import TOLERATED_ARRIVALS, late_arrivals
from lycheepost.platform.models.serverfaults import CrashPoint
from lycheepost.platform.models.serverstandin import PlatformServer

CONTACT_SECONDS = 3.0
AWAY_SECONDS = (0.8, 2.0)
"""How long a crashed engine is away."""
QUARANTINED = from_refusal(
    Refuse(RequestId(""), RefusalReason.QUARANTINED, 0.0), Executed.NO
).reason.encode()
"""What the body of the refusal says."""
N_REQUESTS = 28
REQUEST_SECONDS = (0.1, 0.4)
"""Between two requests with a crashing part."""


@dataclass
class CrashingParts:
    """The crashing parts of a run.

    Attributes:
        attempts: The attempts with each part.
        refused_sound: Attempts with none of them that were refused as quarantined.
        revivals: Engines that are about to come back.
    """

    attempts: dict[str, set[str]] = field(default_factory=dict)
    refused_sound: list[str] = field(default_factory=list)
    revivals: set[asyncio.Task[None]] = field(default_factory=set)

    def begin(self, rng: random.Random, fleet: PlatformFleet) -> str:
        """Let a new part crash all engines, now and from now on; return its id."""
        part_id = f"bad{len(self.attempts)}"
        self.attempts[part_id] = set()
        point = rng.choice(list(CrashPoint))
        for server in fleet.group(ENGINES):
            server.crash_parts = {**server.crash_parts, part_id: point}
            server.on_part_crash = lambda server=server: self._revive(  # type: ignore[misc]
                rng, fleet, server
            )
        return part_id

    def note_answer(self, attempt_id: str, body: bytes) -> None:
        """Note the response to a request without a crashing part."""
        if QUARANTINED in body:
            self.refused_sound.append(attempt_id)

    def find_refused(self) -> Iterator[str]:
        """Tell of requests that were refused for what other requests hold."""
        if self.refused_sound:
            yield (
                f"{len(self.refused_sound)} requests without a crashing part were"
                f" refused as quarantined, {self.refused_sound[0]} first"
            )

    def _revive(
        self, rng: random.Random, fleet: PlatformFleet, server: PlatformServer
    ) -> None:
        task = asyncio.create_task(come_back(rng, fleet, server))
        self.revivals.add(task)
        task.add_done_callback(self.revivals.discard)

    async def settle(self) -> None:
        """Wait until all crashed engines are back."""
        while self.revivals:
            await asyncio.gather(*self.revivals)


async def come_back(
    rng: random.Random, fleet: PlatformFleet, server: PlatformServer
) -> None:
    """Let a crashed engine come back under its id."""
    await asyncio.sleep(rng.uniform(*AWAY_SECONDS))
    await server.stop()
    server.restart()
    await server.start()
    fleet.register(server)


def find_late_parts(
    fleet: PlatformFleet,
    parts: CrashingParts,
    daemon_of: Mapping[str, int],
    disturbed: Mapping[int, Sequence[Span]],
    store: Sequence[Span],
) -> Iterator[str]:
    """Tell of parts whose requests reached engines too late after the fifth crash.

    Requests that daemons sent while they, or the store, were disturbed don't count.

    Args:
        fleet: The engines.
        parts: The requests.
        daemon_of: The daemon that each attempt was sent to.
        disturbed: When daemons were disturbed.
        store: When the store was.
    """
    for part_id, attempts in parts.attempts.items():
        crashes = [
            crash.crashed_seconds
            for server in fleet.servers
            for crash in server.part_crashes
            if crash.part_id == part_id
        ]
        arrivals = [
            (attempt_id, at_seconds)
            for server in fleet.servers
            for attempt_id, at_seconds in server.arrivals
            if attempt_id in attempts
            and not any(
                span.overlaps(Span(at_seconds - CONTACT_SECONDS, at_seconds))
                for span in [*disturbed.get(daemon_of[attempt_id], ()), *store]
            )
        ]
        late = late_arrivals(crashes, arrivals, attempts, CONTACT_SECONDS)
        if len(late) > TOLERATED_ARRIVALS:
            yield (
                f"{part_id}: {len(late)} requests reached engines long after the fifth"
                f" of {len(crashes)} crashes"
            )
