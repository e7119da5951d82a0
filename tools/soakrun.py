"""One seed of the soak: what runs, and what its faults and clients note."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from soakanswers import Answers, SentAttempt
from soakchanges import Changes
from soakfleet import DaemonProcess, ProcessFleet
from soaknotices import DaemonWords, Span
from soakparts import CrashingParts
from soakplay import Play
from soakretries import SentRequests

from lycheepost.app.platformdemo import PlatformDemoReport
from lycheepost.app.platformfleet import KEYS
from lycheepost.platform.models.serverstandin import PlatformServer

LOST_KEY = "k-lost"
"""Taken away in the middle of a run."""

TOLERATED_FALLS = 2.0
TOLERATED_FALLS_SHARE = 0.1
"""Crashes of brittle servers in one time, and for each server, that are allowed."""


@dataclass
class SoakRun:
    """One seed.

    Attributes:
        sent_seconds: When each attempt was sent, and with which key.
        refused: Attempts that may run once and were told not to have run.
        revoked_seconds: When the key was gone from the configuration.
        words: What the daemons were sent and handed on, and when they were disturbed.
        mixed: Streams that hold events of two software versions.
        changes: The configuration, and what daemons answered for new routes.
        requests: When requests were sent to each service.
        parts: Parts of prompts that crash engines, and the requests with them.
        answers: What clients got, and when which fault lasted.
        peaks: The highest resident bytes of the daemons' processes, by their ids.
        play: How much runs.
        figures: What the audits counted.
    """

    seed: int
    fleet: ProcessFleet
    rng: random.Random
    until_seconds: float
    report: PlatformDemoReport = field(default_factory=PlatformDemoReport)
    sent_seconds: dict[str, tuple[float, str]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    revoked_seconds: float = float("inf")
    faults: Counter[str] = field(default_factory=Counter)
    changes: Changes = field(
        default_factory=lambda: Changes(1, {**KEYS, LOST_KEY: "lost"})
    )
    requests: SentRequests = field(default_factory=SentRequests)
    weights: int = 1
    words: DaemonWords = field(default_factory=DaemonWords)
    parts: CrashingParts = field(default_factory=CrashingParts)
    mixed: list[str] = field(default_factory=list)
    answers: Answers = field(default_factory=Answers)
    peaks: dict[int, int] = field(default_factory=dict)
    play: Play = Play()
    figures: dict[str, int] = field(default_factory=dict)

    def note_request(self, attempt_id: str, index: int, path: str, key: str) -> float:
        """Note that a client sends a request to a daemon now; return the time."""
        now_seconds = time.monotonic()
        self.sent_seconds[attempt_id] = (now_seconds, key)
        self.words.daemon_of[attempt_id] = index
        self.words.sent_seconds[attempt_id] = now_seconds
        self.requests.note(path, now_seconds)
        return now_seconds

    def note_sent(
        self, attempt_id: str, index: int, path: str, key: str
    ) -> SentAttempt:
        """Note a request whose answer is judged."""
        now_seconds = self.note_request(attempt_id, index, path, key)
        found = SentAttempt(attempt_id, index, path, key, now_seconds)
        self.answers.attempts[attempt_id] = found
        return found

    def note_disturbed(self, daemon: DaemonProcess, from_seconds: float) -> None:
        """Note that a daemon was killed, stopped or frozen until now."""
        index = self.fleet.processes.index(daemon)
        span = Span(from_seconds, time.monotonic())
        self.words.disturbed.setdefault(index, []).append(span)

    def note_brittle(
        self, servers: list[PlatformServer], span: Span, n_falls: int
    ) -> None:
        """Judge how often brittle servers crashed, unless daemons were disturbed."""
        self.faults["falls"] += n_falls
        disturbed = [item for spans in self.words.disturbed.values() for item in spans]
        allowed = TOLERATED_FALLS + TOLERATED_FALLS_SHARE * len(servers)
        if n_falls > allowed and not any(item.overlaps(span) for item in disturbed):
            self.report.violations.append(f"brittle servers crashed {n_falls} times")

    def is_over(self) -> bool:
        """Tell whether no further fault may begin."""
        return time.monotonic() >= self.until_seconds


async def pause(run: SoakRun, low: float, high: float) -> None:
    """Wait for some time of the seed's choice."""
    await asyncio.sleep(run.rng.uniform(low, high))


def note_store(run: SoakRun, daemon: DaemonProcess | None, from_seconds: float) -> None:
    """Note that the store, or a daemon's way to it, was disturbed until now."""
    index = None if daemon is None else run.fleet.processes.index(daemon)
    run.changes.store.append((index, Span(from_seconds, time.monotonic())))
