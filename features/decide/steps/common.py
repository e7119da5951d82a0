"""Requests, targets and a scheduler driver for features of the decisions."""

from lycheepost.core.hashing import fingerprint_body
from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    Incarnation,
    ModelId,
    RequestId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.levels import fingerprint_levels
from lycheepost.decide.records import (
    Dispatch,
    Priority,
    Refuse,
    TargetState,
    TargetView,
    Work,
)
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings

GROUP = TargetGroupId("engines")
MODEL = ModelId("model")
WEIGHTS = WeightsVersion("weights")


def make_view(index, boot="1", state=TargetState.SERVING, limit=8):
    return TargetView(
        target=TargetId(f"target-{index}"),
        target_group=GROUP,
        availability_zone=AvailabilityZone("zone"),
        state=state,
        incarnation=Incarnation(f"boot-{index}-{boot}"),
        weights_version=WEIGHTS,
        concurrency_limit=limit,
        cache_tokens=200_000,
    )


def make_work(
    name,
    now_seconds,
    customer="customer",
    body=None,
    first_token_timeout_seconds=5.0,
    **changes,
):
    text = (body or name).encode()
    levels = fingerprint_levels(
        CustomerId(customer), MODEL, WEIGHTS, [text * 200, name.encode() * 20]
    )
    fields = {
        "request": RequestId(name),
        "customer": CustomerId(customer),
        "target_group": GROUP,
        "model": MODEL,
        "weights_version": WEIGHTS,
        "levels": levels,
        "prompt_tokens": levels[-1].end_tokens,
        "output_tokens": 50,
        "priority": Priority.NORMAL,
        "arrived_seconds": now_seconds,
        "first_token_timeout_seconds": first_token_timeout_seconds,
        "fingerprint": fingerprint_body(CustomerId(customer), text),
    }
    return Work(**(fields | changes))


class SchedulerDriver:
    """Drives a scheduler with virtual time and records where each request went."""

    def __init__(self, n_targets, **settings):
        self.now_seconds = 100.0
        self.scheduler = Scheduler(SchedulerSettings(**settings), seed=7)
        self.views = {index: make_view(index) for index in range(n_targets)}
        self.works = {}
        self.sent = {}
        self.refused = {}
        self.put_back = {}
        self.announce()

    def announce(self):
        views = tuple(self.views.values())
        self.note(self.scheduler.replace_targets(views, self.now_seconds))

    def note(self, outcomes):
        for outcome in outcomes:
            match outcome:
                case Dispatch():
                    self.sent[outcome.request] = outcome.target
                    self.put_back[outcome.request] = outcome.put_back
                case Refuse():
                    self.refused[outcome.request] = outcome

    def arrive(self, name, **fields):
        work = make_work(name, self.now_seconds, **fields)
        self.works[name] = work
        self.note(self.scheduler.arrive(work, self.now_seconds))

    def wait(self, seconds):
        for _ in range(round(seconds / 0.02)):
            self.now_seconds += 0.02
            self.note(self.scheduler.tick(self.now_seconds))
