"""Measures how the cost of the target feed and scheduler grows with the fleet.

``bench.slopes`` cannot import these from its layer: the feed that passes targets to
the scheduler, and the scheduler as the daemon uses it.
"""

import asyncio
from functools import partial

from lycheepost.app.feed import TargetFeed
from lycheepost.bench.fleet import make_configuration
from lycheepost.bench.slopes import (
    N_CUSTOMERS,
    N_TARGETS,
    Slope,
    allocated_megabytes,
    fit_slope,
    time_seconds,
    with_one_changed,
)
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import SystemClock
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.state.view import ConfigurationView, make_view


class _FeedFixture:
    """A feed and its scheduler, with a replaceable configuration view."""

    def __init__(self, n_targets: int) -> None:
        self.configuration = make_configuration(N_CUSTOMERS, n_targets)
        self.view: ConfigurationView = make_view(self.configuration)
        self.scheduler = Scheduler(SchedulerSettings(), 1)
        self.feed = TargetFeed(
            Dispatcher(self.scheduler, SystemClock()),
            lambda: self.view,
            lambda: {},
            lambda: {},
            lambda _view, _targets: None,
        )
        self.feed.feed()

    def change(self) -> None:
        """Apply one configuration change and feed it."""
        self.configuration = with_one_changed(
            self.configuration, self.configuration.revision
        )
        self.view = make_view(self.configuration)
        self.feed.feed()


def measure_daemon_slopes() -> list[Slope]:
    """Measure the feed and the scheduler for several numbers of targets."""
    return asyncio.run(_measure())


async def _measure() -> list[Slope]:
    poll, change, tick, memory = {}, {}, {}, {}
    now_seconds = SystemClock().now_seconds()
    for n_targets in N_TARGETS:
        fixture = _FeedFixture(n_targets)
        poll[n_targets] = 1000 * time_seconds(fixture.feed.feed)
        change[n_targets] = 1000 * time_seconds(fixture.change)
        tick[n_targets] = 1e6 * time_seconds(
            partial(fixture.scheduler.tick, now_seconds), 50
        )
        memory[n_targets] = allocated_megabytes(partial(_FeedFixture, n_targets))
    size = "targets"
    return [
        fit_slope("target feed", "one poll, milliseconds", size, poll, 12_000),
        fit_slope("target feed", "one change, milliseconds", size, change, 12_000),
        fit_slope("scheduler", "one tick, microseconds", size, tick, 12_000),
        fit_slope(
            "scheduler", "scheduler, feed and view, megabytes", size, memory, 12_000
        ),
    ]
