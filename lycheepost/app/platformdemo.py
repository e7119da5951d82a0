"""The demo on a model of the users' platform: mixed traffic, faults, and an audit.

Three daemons route to stand-ins that implement the platform's protocol. While traffic
runs, streams are cut off, responses to orders are lost, and new weights are published.
Engines of two software versions serve side by side. Every response is checked against
its request, every stream for events of one version, and every order against the runs.
"""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from lycheepost.app.platformfleet import (
    ENGINES,
    KEYS,
    MODEL,
    PLAIN,
    Answer,
    PlatformFleet,
)
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverfaults import ServerFailure
from lycheepost.platform.models.serverstandin import answer_text
from lycheepost.platform.models.streamaudit import (
    split_events,
    stream_body,
    versions_of,
)
from lycheepost.standin.faults import FaultPlan, LostAnswer, Refused, Truncated

N_DAEMONS = 3
N_ENGINES = 4
VERSIONS = ("v1", "v2")
"""Software versions of the engines, by turns."""

N_EVENTS = 6
N_ALBUMS = 12
"""Number of albums; prompts of the same album share a prefix."""

FAULT_SHARE = 0.03
"""Share of requests for which a server fault is injected."""

MIN_SERVED_SHARE = 0.8
"""Required share of served requests. Fewer than one request in ten meets a fault that
a retry cannot mask."""

WEIGHTS_AFTER_SHARE = 0.4
"""New weights are published after this share of the requests."""

FAULTS = (LostAnswer(), ServerFailure(), Refused(503), Truncated(2))
_NOT_RUN = (429, 503)


@dataclass(frozen=True, slots=True)
class PlatformDemoPlan:
    """Parameters of a demo run."""

    n_seconds: float
    rate_per_second: float
    seed: int


@dataclass
class PlatformDemoReport:
    """The result of a demo run.

    Attributes:
        outcomes: Number of requests by kind and outcome.
        violations: One sentence for each violated guarantee.
        whole_seconds: Times from sending a request to the end of its response.
        weights: Number of responses by weights version.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    whole_seconds: list[float] = field(default_factory=list)
    weights: Counter[str] = field(default_factory=Counter)

    def quantile(self, share: float) -> float:
        """Return a quantile of the times until responses were complete."""
        ordered = sorted(self.whole_seconds)
        return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0

    def describe(self) -> dict[str, object]:
        """Return the report as a JSON object."""
        return {
            "outcomes": dict(self.outcomes),
            "whole_p50_seconds": round(self.quantile(0.5), 4),
            "whole_p99_seconds": round(self.quantile(0.99), 4),
            "weights": dict(self.weights),
            "violations": self.violations,
        }


@dataclass(frozen=True, slots=True)
class DemoRequest:
    """One request and the expected response body."""

    kind: str
    method: str
    path: str
    body: bytes
    expected: bytes

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream."""
        return self.kind in ("title", "album")


async def run_platform_demo(plan: PlatformDemoPlan) -> PlatformDemoReport:
    """Run the deployment, send traffic, and audit every response."""
    fleet = PlatformFleet()
    await fleet.start(N_DAEMONS, n_engines=N_ENGINES, software=VERSIONS)
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
                fleet.publish_weights(2)
            if rng.random() < FAULT_SHARE:
                faults.add(rng.choice(FAULTS))
            group.create_task(_send(fleet, make_demo_request(rng, number), rng, report))
            await asyncio.sleep(rng.expovariate(plan.rate_per_second))


def make_demo_request(
    rng: random.Random, number: int, n_events: int = N_EVENTS
) -> DemoRequest:
    """Return a random request, of which a stream has ``n_events``."""
    kind = rng.choices(("album", "title", "order", "look"), (45, 31, 19, 8))[0]
    path = f"/{kind}/{number}"
    if kind == "look":
        return DemoRequest(kind, "GET", path, b"", answer_text(path, b""))
    body = f"body of request {number}".encode()
    if kind == "order":
        return DemoRequest(kind, "POST", path, body, answer_text(path, body))
    return DemoRequest(
        kind, "POST", path, body, stream_body(body, n_events, VERSIONS[0])
    )


def make_prompt_headers(
    rng: random.Random, request: DemoRequest, n_events: int = N_EVENTS
) -> dict[str, str]:
    """Return the headers that describe the prompt; none for a plain service."""
    if not request.is_stream:
        return {}
    album = rng.randrange(N_ALBUMS)
    return {
        names.MODEL: MODEL,
        names.TOKENS: f"6500,{n_events}",
        names.PROMPT_PARTS: f"a0:2520,b{album:x}:3780,c{request.path[7:]}:200",
    }


async def _send(
    fleet: PlatformFleet,
    request: DemoRequest,
    rng: random.Random,
    report: PlatformDemoReport,
) -> None:
    key = rng.choice(tuple(KEYS))
    headers = fleet.headers(key, **make_prompt_headers(rng, request))
    index = rng.randrange(len(fleet.daemons))
    started = time.monotonic()
    answer = await fleet.ask(request.method, request.path, headers, request.body, index)
    elapsed = time.monotonic() - started
    request = as_generated(request, answer, VERSIONS)
    check_answer(fleet, request, headers[names.ATTEMPT_ID], answer, elapsed, report)


def as_generated(
    request: DemoRequest,
    answer: Answer,
    versions: tuple[str, ...],
    n_events: int = N_EVENTS,
) -> DemoRequest:
    """Return a request with the stream that the version of its first event generates.

    A stream of events of two versions then differs from what is expected.
    """
    if not request.is_stream or answer.status != 200:
        return request
    first = split_events(answer.body)[:1]
    found = versions_of(request.body, first, versions) or {versions[0]}
    [version] = found
    expected = stream_body(request.body, n_events, version)
    return replace(request, expected=expected)


def check_answer(
    fleet: PlatformFleet,
    request: DemoRequest,
    attempt_id: str,
    answer: Answer,
    elapsed_seconds: float,
    report: PlatformDemoReport,
) -> None:
    """Count one response and record its violations."""
    is_served = answer.status == 200 and answer.is_whole
    if is_served:
        report.outcomes[f"{request.kind} served"] += 1
        report.whole_seconds.append(elapsed_seconds)
        if names.WEIGHTS in answer.headers:
            report.weights[answer.headers[names.WEIGHTS]] += 1
        if answer.body != request.expected:
            report.violations.append(f"{attempt_id}: the response is not its own")
        return
    report.outcomes[f"{request.kind} {answer.status or 'cut'}"] += 1
    if answer.status == 200 and not request.expected.startswith(answer.body):
        report.violations.append(
            f"{attempt_id}: a cut response is not a beginning of the expected one"
        )
    is_reported_not_run = answer.status in _NOT_RUN and names.SEAL not in answer.headers
    if (
        is_reported_not_run
        and fleet.runs(attempt_id)
        and request.kind in ("order", "album")
    ):
        report.violations.append(f"{attempt_id}: called not run, and it ran")


def _audit_served(report: PlatformDemoReport) -> None:
    """Check the share of served requests, which no other check covers."""
    n_asked = sum(report.outcomes.values())
    n_served = sum(n for kind, n in report.outcomes.items() if kind.endswith("served"))
    if n_served < MIN_SERVED_SHARE * n_asked or not n_asked:
        report.violations.append(f"{n_served} of {n_asked} were served")


def audit_runs(fleet: PlatformFleet, report: PlatformDemoReport) -> None:
    """Check that requests ran at most once where required, and at the right service."""
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
