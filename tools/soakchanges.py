"""Routes that are added in a soak, and daemons that do not know them in time."""

import asyncio
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from soaknotices import Span

from lycheepost.app.platformfleet import KEYS, PLAIN, make_configuration, make_route
from lycheepost.core.hashing import hash_bytes

APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
LAG_SECONDS = 0.3
"""A stall of the soak itself from which nothing is judged."""

ASKED_SECONDS = (2.02, 2.5, 3.3)
"""When daemons are asked for a new route, after its acknowledgement."""

TARGET_GAP_MS = 500
"""The pause between events that resumable streams may make."""

_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class RouteAnswer:
    """What one daemon answered for a new route."""

    index: int
    asked: Span
    acked_seconds: float
    status: int | None


@dataclass
class Changes:
    """The configuration of a soak, what was asked for, and what disturbed the store.

    Attributes:
        version: Version of the newest configuration.
        routes: Names of the routes that were added.
        keys: The API keys and their customers.
        store: When the store, or a daemon's path to it, was disturbed; by the index of
            the daemon, None for all.
    """

    version: int
    keys: Mapping[str, str]
    routes: list[str] = field(default_factory=list)
    answers: list[RouteAnswer] = field(default_factory=list)
    store: list[tuple[int | None, Span]] = field(default_factory=list)

    def document(self) -> dict[str, Any]:
        """Return the configuration."""
        found = make_soak_configuration(self.version, self.keys)
        found["routes"] += [
            make_route(name, f"/{name}/", "idempotent", PLAIN) for name in self.routes
        ]
        return found

    def take_key(self) -> None:
        """Leave only the keys that are never taken away."""
        self.keys = KEYS

    async def watch_lag(self) -> None:
        """Note when this process itself did not run."""
        while True:
            from_seconds = time.monotonic()
            await asyncio.sleep(0.1)
            if time.monotonic() - from_seconds > LAG_SECONDS:
                self.store.append((None, Span(from_seconds, time.monotonic())))

    def find_late(self, disturbed: Mapping[int, list[Span]]) -> Iterator[str]:
        """Tell of daemons in touch that answered 404 for a route added long before."""
        for answer in self.answers:
            touch = Span(
                answer.asked.from_seconds - CONTACT_SECONDS, answer.asked.until_seconds
            )
            spans = disturbed.get(answer.index, []) + [
                span for index, span in self.store if index in (None, answer.index)
            ]
            if answer.status != _NOT_FOUND or any(map(touch.overlaps, spans)):
                continue
            late_seconds = answer.asked.from_seconds - answer.acked_seconds
            if late_seconds > APPLY_SECONDS:
                yield f"daemon {answer.index}: 404 {late_seconds:.2f} s after a route"


def make_soak_configuration(version: int, keys: Mapping[str, str]) -> dict[str, Any]:
    """Return a configuration whose resumable streams bound the pause of events."""
    found = make_configuration(version, tuple(keys), keys)
    for route in found["routes"]:
        if route["resumable"]:
            route["target_gap_ms"] = TARGET_GAP_MS
    return found


def feed_order(names: list[str]) -> list[int]:
    """Return the indexes of the daemons in the order in which others ask them."""
    order = sorted(names, key=lambda name: hash_bytes(name.encode()))
    return [names.index(name) for name in order]
