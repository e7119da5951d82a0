"""The demo on a model of the users' platform: mixed traffic, faults, and an audit.

Three daemons before stand-ins that speak the platform's protocol. While traffic runs
one engine breaks streams off, orders lose their answers, and new weights are named.
Every answer is checked against what was asked, and every order against what ran.
"""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from lycheepost.app.platformfleet import (
    ENGINES,
    KEYS,
    MODEL,
    PLAIN,
    Answer,
    PlatformFleet,
)
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverface import (
    OwnFailure,
    answer_text,
    event_bytes,
)
from lycheepost.standin.faults import FaultPlan, LostAnswer, Refused, Truncated

N_DAEMONS = 3
N_ENGINES = 4
N_EVENTS = 6
N_ALBUMS = 12
"""Albums whose prompts share their first part; a few come again and again."""

FAULT_SHARE = 0.03
"""Share of requests that meet a fault of their server."""

MIN_SERVED_SHARE = 0.8
"""Of ten requests fewer than one meets a fault that cannot be made good."""

WEIGHTS_AFTER_SHARE = 0.4
"""New weights are named after this part of the requests."""

FAULTS = (LostAnswer(), OwnFailure(), Refused(503), Truncated(2))
_NOT_RUN = (429, 503)


@dataclass(frozen=True, slots=True)
class PlatformDemoPlan:
    """What the demo shall do."""

    n_seconds: float
    rate_per_second: float
    seed: int


@dataclass
class PlatformDemoReport:
    """What came of it.

    Attributes:
        outcomes: How requests ended, by kind.
        violations: One sentence for each promise that was broken.
        whole_seconds: From the sending of a request to the end of its answer.
        n_tokens: Prompt tokens of served requests.
        weights: Versions that answers were made with.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    whole_seconds: list[float] = field(default_factory=list)
    weights: Counter[str] = field(default_factory=Counter)

    def quantile(self, share: float) -> float:
        """Return the time within which this share of answers was whole."""
        ordered = sorted(self.whole_seconds)
        return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0

    def describe(self) -> dict[str, object]:
        """Return the report as one object."""
        return {
            "outcomes": dict(self.outcomes),
            "whole_p50_seconds": round(self.quantile(0.5), 4),
            "whole_p99_seconds": round(self.quantile(0.99), 4),
            "weights": dict(self.weights),
            "violations": self.violations,
        }


@dataclass(frozen=True, slots=True)
class DemoRequest:
    """One request and the answer that is right."""

    kind: str
    method: str
    path: str
    body: bytes
    expected: bytes

    @property
    def is_stream(self) -> bool:
        """Tell whether its answer is a stream."""
        return self.kind in ("title", "album")


async def run_platform_demo(plan: PlatformDemoPlan) -> PlatformDemoReport:
    """Run the deployment, send traffic, and audit every answer."""
    fleet = PlatformFleet()
    await fleet.start(N_DAEMONS, n_engines=N_ENGINES)
    report = PlatformDemoReport()
    try:
        await _drive(fleet, plan, report)
    finally:
        await fleet.stop()
    audit_runs(fleet, report)
    _audit_served(report)
    return report


async def _drive(
    fleet: PlatformFleet, plan: PlatformDemoPlan, report: PlatformDemoReport
) -> None:
    rng = random.Random(plan.seed)
    faults: FaultPlan = FaultPlan()
    for server in fleet.servers:
        server.faults = faults
    n_requests = int(plan.n_seconds * plan.rate_per_second)
    async with asyncio.TaskGroup() as group:
        for number in range(n_requests):
            if number == int(n_requests * WEIGHTS_AFTER_SHARE):
                fleet.name_weights(2)
            if rng.random() < FAULT_SHARE:
                faults.add(rng.choice(FAULTS))
            group.create_task(_send(fleet, make_demo_request(rng, number), rng, report))
            await asyncio.sleep(rng.expovariate(plan.rate_per_second))


def make_demo_request(rng: random.Random, number: int) -> DemoRequest:
    """Return a request of the seed's choice."""
    kind = rng.choices(("album", "title", "order", "look"), (45, 31, 19, 8))[0]
    path = f"/{kind}/{number}"
    if kind == "look":
        return DemoRequest(kind, "GET", path, b"", answer_text(path, b""))
    body = f"body of request {number}".encode()
    if kind == "order":
        return DemoRequest(kind, "POST", path, body, answer_text(path, body))
    events = b"".join(event_bytes(n, body) for n in range(1, N_EVENTS + 1))
    return DemoRequest(kind, "POST", path, body, events)


def make_prompt_headers(rng: random.Random, asked: DemoRequest) -> dict[str, str]:
    """Return the headers that tell a request's prompt; none for a plain one."""
    if not asked.is_stream:
        return {}
    album = rng.randrange(N_ALBUMS)
    return {
        names.MODEL: MODEL,
        names.TOKENS: f"6500,{N_EVENTS}",
        names.PROMPT_PARTS: f"a0:2520,b{album:x}:3780,c{asked.path[7:]}:200",
    }


async def _send(
    fleet: PlatformFleet,
    asked: DemoRequest,
    rng: random.Random,
    report: PlatformDemoReport,
) -> None:
    key = rng.choice(tuple(KEYS))
    headers = fleet.headers(key, **make_prompt_headers(rng, asked))
    index = rng.randrange(len(fleet.daemons))
    started = time.monotonic()
    answer = await fleet.ask(asked.method, asked.path, headers, asked.body, index)
    elapsed = time.monotonic() - started
    check_answer(fleet, asked, headers[names.ATTEMPT_ID], answer, elapsed, report)


def check_answer(
    fleet: PlatformFleet,
    asked: DemoRequest,
    attempt_id: str,
    answer: Answer,
    elapsed_seconds: float,
    report: PlatformDemoReport,
) -> None:
    """Count one answer, and note whatever it breaks."""
    is_served = answer.status == 200 and answer.is_whole
    if is_served:
        report.outcomes[f"{asked.kind} served"] += 1
        report.whole_seconds.append(elapsed_seconds)
        if names.WEIGHTS in answer.headers:
            report.weights[answer.headers[names.WEIGHTS]] += 1
        if answer.body != asked.expected:
            report.violations.append(f"{attempt_id}: the answer is not its own")
        return
    report.outcomes[f"{asked.kind} {answer.status or 'cut'}"] += 1
    if answer.status == 200 and not asked.expected.startswith(answer.body):
        report.violations.append(f"{attempt_id}: a cut answer is not a beginning")
    is_called_unrun = answer.status in _NOT_RUN and names.SEAL not in answer.headers
    if is_called_unrun and fleet.runs(attempt_id) and asked.kind in ("order", "album"):
        report.violations.append(f"{attempt_id}: called not run, and it ran")


def _audit_served(report: PlatformDemoReport) -> None:
    """Count what was served: answers that nobody got break no other promise."""
    n_asked = sum(report.outcomes.values())
    n_served = sum(n for kind, n in report.outcomes.items() if kind.endswith("served"))
    if n_served < MIN_SERVED_SHARE * n_asked or not n_asked:
        report.violations.append(f"{n_served} of {n_asked} were served")


def audit_runs(fleet: PlatformFleet, report: PlatformDemoReport) -> None:
    """Count what may run once and ran twice, and what ran where it must not."""
    runs = Counter(
        run.attempt_id
        for run in fleet.runs()
        if run.path.startswith(("/order", "/album"))
    )
    for attempt_id, n_runs in runs.items():
        if n_runs > 1:
            report.violations.append(f"{attempt_id}: ran {n_runs} times")
    for service, prefixes in (
        (PLAIN, ("/look", "/order")),
        (ENGINES, ("/title", "/album")),
    ):
        for server in fleet.group(service):
            misplaced = [
                run for run in server.runs if not run.path.startswith(prefixes)
            ]
            report.violations += [
                f"{run.attempt_id}: ran at {service}" for run in misplaced
            ]
