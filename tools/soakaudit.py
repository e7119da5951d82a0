"""What ran in a soak against what was answered."""

import asyncio
import time
from collections.abc import Iterator

from soakanswers import audit_answers
from soakfleet import ProxiedServer
from soakmemory import find_large
from soaknotices import find_broken
from soakorders import find_out_of_turn
from soakparts import find_late_parts
from soakretries import find_excess
from soakrun import LOST_KEY, SoakRun

from lycheepost.app.platformdemo import audit_runs

REVOKE_SECONDS = 5.0
SETTLE_SECONDS = 12.0
"""After the last fault all daemons must be ready again within this time."""

LEAST_SERVED_SHARE = 0.25
"""Daemons that refused everything would break no other promise. A third of the requests
carries a key that is taken away; of the rest most are served between the faults."""

TOLERATED_MIXED_STREAMS = 2
"""Streams of two software versions that the users' rule allows in one day."""


def audit(run: SoakRun) -> None:
    """Check what ran against what was answered."""
    audit_runs(run.fleet, run.report)
    violations = run.report.violations
    outcomes = run.report.outcomes
    n_served = sum(n for name, n in outcomes.items() if name.endswith("served"))
    n_asked = sum(
        n
        for name, n in outcomes.items()
        if name not in ("title taken up", "title went on")
    )
    if n_served < LEAST_SERVED_SHARE * n_asked:
        violations.append(f"only {n_served} of {n_asked} were served")
    if len(run.mixed) > TOLERATED_MIXED_STREAMS:
        violations.append(f"streams of two software versions: {run.mixed}")
    for server in run.fleet.servers:
        for done in server.runs:
            is_once = done.path.startswith(("/order", "/album"))
            if is_once and done.attempt_id in run.refused:
                violations.append(f"{done.attempt_id}: refused as not run, and ran")
            sent_seconds, key = run.sent_seconds[done.attempt_id]
            late_seconds = sent_seconds - run.revoked_seconds - REVOKE_SECONDS
            if key == LOST_KEY and late_seconds > 0:
                violations.append(f"{done.attempt_id}: ran with a key long taken away")
    servers = {
        server.name: server.words
        for server in run.fleet.servers
        if isinstance(server, ProxiedServer)
    }
    violations.extend(find_broken(servers, run.words))
    violations.extend(find_out_of_turn(run.fleet, run.words.disturbed))
    violations.extend(find_excess(run.fleet, run.requests))
    violations.extend(run.changes.find_late(run.words.disturbed))
    violations.extend(run.parts.find_refused())
    violations.extend(
        find_late_parts(
            run.fleet,
            run.parts,
            run.words.daemon_of,
            run.words.disturbed,
            [span for _, span in run.changes.store],
        )
    )
    violations.extend(find_large(run.peaks))
    violations.extend(audit_lost(run))


def audit_lost(run: SoakRun) -> Iterator[str]:
    """Tell of what clients missed, and keep the figures."""
    run.answers.lags = [span for index, span in run.changes.store if index is None]
    arrived = {
        attempt_id for server in run.fleet.servers for attempt_id, _ in server.arrivals
    }
    findings = audit_answers(run.answers, arrived, LOST_KEY)
    run.figures = findings.figures()
    run.figures["peak megabytes"] = round(max(run.peaks.values(), default=0) / 1e6)
    run.figures["lags"] = len(run.answers.lags)
    yield from findings.violations()


async def check_settled(run: SoakRun) -> None:
    """Check that all daemons are ready again."""
    until_seconds = time.monotonic() + SETTLE_SECONDS
    while not await run.fleet.all_up():
        if time.monotonic() > until_seconds:
            run.report.violations.append("not all daemons are ready again")
            return
        await asyncio.sleep(0.2)
