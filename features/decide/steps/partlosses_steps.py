"""Steps of partlosses.feature: schedulers that exchange what they have lost."""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from behave import given, then, when

from features.decide.steps.common import make_view, make_work
from lycheepost.core.hashing import prompt_part_key
from lycheepost.core.ids import RunKey, StartKey, TargetId
from lycheepost.decide.partlosses import LOSSES_TO_BLAME, LostRun, PartLosses
from lycheepost.decide.records import Dispatch, FinishKind, RefusalReason, Refuse
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings

TICK_SECONDS = 0.02
CONTACT_SECONDS = 3.0
TOLERATED_SENDS = 3
TOLERATED_SHARE = 0.01
AWAY_SECONDS = 2.5
"""How long a crashed target is away."""
LISTED_SECONDS = 1.0
"""How long it is still listed."""
DETECTED_SECONDS = (0.01, 0.3)
"""When a daemon knows that it was lost."""
MESSAGE_SECONDS = (0.002, 0.03)
WRITE_SECONDS = (0.05, 0.4)
MAX_TRIES = 6
"""Targets of one request, as on the platform."""
N_TOPICS = 12
RARE_TOPIC = "rare"
QUARANTINE_SECONDS = 600.0


def key(name):
    return prompt_part_key(name.encode())


def keys(*names):
    return frozenset(map(key, names))


def lost_run(start, parts, started_seconds, lost_seconds):
    run_id = RunKey(key(f"{start} {sorted(parts)}"))
    return LostRun(run_id, start, parts, started_seconds, lost_seconds)


@dataclass
class Run:
    """One attempt at a request."""

    daemon: int
    name: str
    target: str
    bad: str | None
    writes_seconds: float
    has_written: bool = False


@dataclass
class Request:
    work: object
    bad: str | None
    n_losses: int = 0
    comes_again: bool = False


@dataclass
class PartFleet:
    """Daemons, targets and what was seen of them.

    Attributes:
        crashes: When each part crashed targets.
        sent: When requests with each part were sent, and by a daemon in touch or not.
        refused: How sound requests were refused.
        n_lost_twice: Sound requests that were lost with two targets.
    """

    n_daemons: int
    n_targets: int
    seed: int
    now_seconds: float = 1000.0
    schedulers: list = field(default_factory=list)
    crashes: dict = field(default_factory=lambda: defaultdict(list))
    sent: dict = field(default_factory=lambda: defaultdict(list))
    refused: Counter = field(default_factory=Counter)
    n_sound: int = 0
    n_lost_twice: int = 0
    message_loss: float = 0.0

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.views = {
            index: make_view(index, limit=32) for index in range(self.n_targets)
        }
        self.alive = {view.target for view in self.views.values()}
        self.requests, self.runs, self.due = {}, {}, []
        self.deaf = set()
        self.ejected = [set() for _ in range(self.n_daemons)]
        self.disturbed = [float("-inf")] * self.n_daemons
        self.n_names = self.n_targets
        for daemon in range(self.n_daemons):
            self.schedulers.append(self.make_scheduler(daemon))

    def make_scheduler(self, daemon):
        settings = SchedulerSettings(max_tries=MAX_TRIES)
        scheduler = Scheduler(settings, self.seed * 100 + daemon)
        scheduler.replace_targets(tuple(self.views.values()), self.now_seconds)
        return scheduler

    def later(self, seconds, call):
        self.due.append((self.now_seconds + seconds, call))

    def between(self, span):
        return self.rng.uniform(*span)

    def announce(self):
        for daemon in range(self.n_daemons):
            self.announce_to(daemon)

    def announce_to(self, daemon):
        scheduler, ejected = self.schedulers[daemon], self.ejected[daemon]
        views = tuple(
            view for view in self.views.values() if view.target not in ejected
        )
        self.apply(daemon, scheduler.replace_targets(views, self.now_seconds))

    def eject(self, daemon, target):
        """Use a target that accepts no connection no more."""
        if target not in self.ejected[daemon]:
            self.ejected[daemon].add(target)
            self.announce_to(daemon)

    def step(self):
        self.now_seconds += TICK_SECONDS
        due = [item for item in self.due if item[0] <= self.now_seconds]
        self.due = [item for item in self.due if item[0] > self.now_seconds]
        for _, call in sorted(due, key=lambda item: item[0]):
            call()
        for run in list(self.runs.values()):
            if run.writes_seconds <= self.now_seconds and not run.has_written:
                self.write(run)
        for daemon, scheduler in enumerate(self.schedulers):
            self.apply(daemon, scheduler.tick(self.now_seconds))
        self.exchange()

    def write(self, run):
        if run.target not in self.alive:
            return
        if run.bad is not None:
            self.crashes[run.bad].append(self.now_seconds)
            self.lose(run.target)
            return
        run.has_written = True
        scheduler = self.schedulers[run.daemon]
        scheduler.first_token(run.name, self.now_seconds, None)
        scheduler.note_written(run.name, self.now_seconds)
        self.later(0.3, lambda: self.finish(run, FinishKind.COMPLETE))

    def lose(self, target):
        """Take a target away; a new one comes in its place."""
        if target not in self.alive:
            return
        self.alive.discard(target)
        index = next(key for key, view in self.views.items() if view.target == target)
        for run in [item for item in self.runs.values() if item.target == target]:
            self.later(
                self.between(DETECTED_SECONDS),
                lambda run=run: self.finish(run, FinishKind.TARGET_LOST),
            )
        self.later(LISTED_SECONDS, lambda: self.unlist(index))
        self.later(AWAY_SECONDS, lambda: self.bring_back(index))

    def unlist(self, index):
        del self.views[index]
        self.announce()

    def bring_back(self, index):
        self.n_names += 1
        view = replace(
            make_view(index, boot=str(self.n_names), limit=32),
            target=TargetId(f"target-{self.n_names}"),
        )
        self.views[index] = view
        self.alive.add(view.target)
        self.announce()

    def finish(self, run, kind):
        if self.runs.get(run.name) is not run:
            return
        if kind is FinishKind.COMPLETE and run.target not in self.alive:
            return
        del self.runs[run.name]
        scheduler = self.schedulers[run.daemon]
        self.apply(run.daemon, scheduler.finish(run.name, self.now_seconds, kind))
        if kind is not FinishKind.TARGET_LOST:
            self.requests.pop(run.name, None)
            return
        request = self.requests[run.name]
        request.n_losses += 1
        if request.n_losses == 2:
            self.n_lost_twice += request.bad is None
            self.requests.pop(run.name)
            return
        excluded = request.work.excluded | {run.target}
        request.work = replace(request.work, excluded=excluded)
        self.later(self.between((0.0, 0.1)), lambda: self.retry(run.daemon, run.name))

    def retry(self, daemon, name):
        if name in self.requests:
            work = self.requests[name].work
            scheduler = self.schedulers[daemon]
            self.apply(daemon, scheduler.retry(work, self.now_seconds, is_free=True))

    def arrive(self, daemon, parts, bad, comes_again=False):
        name = f"request-{len(self.requests)}-{self.rng.getrandbits(48)}"
        work = make_work(
            name, self.now_seconds, parts=keys(*parts), first_token_timeout_seconds=4.0
        )
        self.n_sound += bad is None
        self.requests[name] = Request(work, bad, comes_again=comes_again)
        scheduler = self.schedulers[daemon]
        self.apply(daemon, scheduler.arrive(work, self.now_seconds))
        return name

    def apply(self, daemon, outcomes):
        for outcome in outcomes:
            match outcome:
                case Dispatch():
                    self.dispatch(daemon, outcome)
                case Refuse():
                    self.refuse(daemon, outcome)

    def dispatch(self, daemon, outcome):
        bad = self.requests[outcome.request].bad
        if bad is not None:
            is_in_touch = self.disturbed[daemon] < self.now_seconds - CONTACT_SECONDS
            self.sent[bad].append((self.now_seconds, is_in_touch))
        run = Run(
            daemon,
            outcome.request,
            outcome.target,
            bad,
            self.now_seconds + self.between(WRITE_SECONDS),
        )
        self.runs[run.name] = run
        if run.target not in self.alive:
            del self.runs[run.name]
            self.later(0.01, lambda: self.refuse_by_target(run))

    def refuse_by_target(self, run):
        """End an attempt at a target that accepts no connection any more."""
        if run.name not in self.requests:
            return
        self.eject(run.daemon, run.target)
        kind = FinishKind.TARGET_REFUSED
        scheduler = self.schedulers[run.daemon]
        self.apply(run.daemon, scheduler.finish(run.name, self.now_seconds, kind))
        request = self.requests[run.name]
        excluded = request.work.excluded | {run.target}
        request.work = replace(request.work, excluded=excluded)
        self.retry(run.daemon, run.name)

    def refuse(self, daemon, outcome):
        request = self.requests.pop(outcome.request, None)
        if request is None:
            return
        if request.bad is None:
            self.refused[outcome.reason] += 1
        elif request.comes_again:
            parts = request.work.parts
            self.later(0.1, lambda: self.come_again(daemon, request, parts))

    def come_again(self, daemon, request, parts):
        name = f"again-{self.rng.getrandbits(48)}"
        work = replace(request.work, request=name, arrived_seconds=self.now_seconds)
        self.requests[name] = Request(work, request.bad)
        following = (daemon + 1) % self.n_daemons
        scheduler = self.schedulers[following]
        self.apply(following, scheduler.arrive(work, self.now_seconds))

    def exchange(self):
        """Deliver what daemons tell each other, a little later."""
        for daemon, scheduler in enumerate(self.schedulers):
            news = scheduler.suspicion.take_news()
            placed = scheduler.take_suspect_news()
            if news is None and not placed:
                continue
            for other in range(self.n_daemons):
                is_cut = daemon in self.deaf or other in self.deaf
                is_lost = self.rng.random() < self.message_loss
                if other != daemon and not is_cut and not is_lost:
                    self.later(
                        self.between(MESSAGE_SECONDS),
                        lambda other=other, me=daemon, news=news, placed=placed: (
                            self.hear(other, me, news, placed)
                        ),
                    )

    def hear(self, daemon, sender, news, placed):
        scheduler = self.schedulers[daemon]
        for notice in placed:
            scheduler.note_peer_suspect(notice, sender, self.now_seconds)
        if news is None:
            return
        suspicion = scheduler.suspicion
        for loss in news.losses:
            suspicion.note_peer_loss(loss)
        for run in news.runs:
            suspicion.note_peer_run(run)
        for part, written_seconds in news.written.items():
            suspicion.note_peer_written(part, written_seconds)
        for trial in news.trials:
            suspicion.note_peer_trial(trial, self.now_seconds)

    def tell_all(self):
        """Let all daemons tell each other all that is in force."""
        for daemon, scheduler in enumerate(self.schedulers):
            news = scheduler.suspicion.all_news(self.now_seconds)
            for other in range(self.n_daemons):
                if other != daemon and not {daemon, other} & self.deaf:
                    self.hear(other, daemon, news, [])

    def kill(self, daemon):
        """Kill a daemon; it starts again at once and is told what is in force."""
        for run in [item for item in self.runs.values() if item.daemon == daemon]:
            del self.runs[run.name]
            self.requests.pop(run.name, None)
        waiting = [name for name in self.requests if self.is_at(daemon, name)]
        for name in waiting:
            self.requests.pop(name)
        self.schedulers[daemon] = self.make_scheduler(daemon)
        self.disturbed[daemon] = self.now_seconds
        self.later(0.5, self.tell_all)

    def is_at(self, daemon, name):
        return name in self.schedulers[daemon]._group_by_request


def bad_parts(rng, that, number):
    """Return the parts of a request that crashes targets, and which of them does."""
    topic = f"topic{rng.randrange(N_TOPICS)}"
    match that:
        case "that comes with the same rare topic":
            return ("root", RARE_TOPIC, "bad"), "bad"
        case "that is the first of its prompt":
            return ("bad", topic), "bad"
        case "of two that both crash targets":
            bad = f"bad{number % 2}"
            return ("root", topic, bad), bad
        case _:
            return ("root", topic, "bad") if number % 3 else ("root", "bad"), "bad"


def play(fleet, n_sound, n_bad, that, seconds, disturb=None):
    """Send requests to all daemons in turn, in virtual time."""
    sound_due = bad_due = 0.0
    number = 0
    for tick in range(int(seconds / TICK_SECONDS)):
        sound_due += n_sound * TICK_SECONDS
        bad_due += n_bad * TICK_SECONDS if tick * TICK_SECONDS > 2.0 else 0.0
        while sound_due >= 1.0:
            sound_due -= 1.0
            topic = f"topic{min(N_TOPICS - 1, int(fleet.rng.expovariate(0.3)))}"
            if fleet.rng.random() < 0.03:
                topic = RARE_TOPIC
            fleet.arrive(fleet.rng.randrange(fleet.n_daemons), ("root", topic), None)
        while bad_due >= 1.0:
            bad_due -= 1.0
            parts, bad = bad_parts(fleet.rng, that, number)
            comes_again = that == "that comes again at once at the next one"
            fleet.arrive(number % fleet.n_daemons, parts, bad, comes_again)
            number += 1
        if disturb is not None:
            disturb(fleet, tick)
        fleet.step()


@given("{n:d} daemons before {n_targets:d} targets, in {n_runs:d} seeded runs")
def step_fleets(context, n, n_targets, n_runs):
    context.fleets = [PartFleet(n, n_targets, seed) for seed in range(1, n_runs + 1)]


@when(
    "{n_sound:d} sound requests and {n_bad:g} with a part {that} come in a second for"
    " {seconds:d} s"
)
def step_play(context, n_sound, n_bad, that, seconds):
    for fleet in context.fleets:
        play(fleet, n_sound, n_bad, that, seconds)


def kill_in_turn(fleet, tick):
    if tick and tick % 200 == 0:
        fleet.kill((tick // 200) % fleet.n_daemons)


def cut_in_turn(fleet, tick):
    if tick % 250 == 50:
        fleet.deaf = {(tick // 250) % fleet.n_daemons}
    if tick % 250 == 200:
        fleet.deaf = set()
        fleet.tell_all()


def lose_messages(fleet, tick):
    fleet.message_loss = 0.33
    if tick % 50 == 0:
        fleet.tell_all()


DISTURBANCES = {
    "daemons are killed in turn": kill_in_turn,
    "each daemon hears nothing from the others in turn": cut_in_turn,
    "a third of the messages is lost": lose_messages,
}


@when(
    "{n_sound:d} sound requests and {n_bad:d} with a part that comes with any others"
    " come in a second for {seconds:d} s while {trouble}"
)
def step_trouble(context, n_sound, n_bad, seconds, trouble):
    for fleet in context.fleets:
        that = "that comes with any others"
        play(fleet, n_sound, n_bad, that, seconds, DISTURBANCES[trouble])


@when(
    "{n_sound:d} sound requests come in a second for {seconds:d} s while {n:d} targets"
    " at a time are lost every {every:d} s"
)
def step_racks(context, n_sound, seconds, n, every):
    def lose_rack(fleet, tick):
        if tick and tick % int(every / TICK_SECONDS) == 0:
            for target in fleet.rng.sample(sorted(fleet.alive), n):
                fleet.lose(target)

    for fleet in context.fleets:
        play(fleet, n_sound, 0.0, "", seconds, lose_rack)


@then("the part crashes at most {n:d} targets")
def step_crashes(context, n):
    counts = [
        {bad: len(at) for bad, at in item.crashes.items()} for item in context.fleets
    ]
    assert all(count and max(count.values()) <= n for count in counts), counts


def late_sends(fleet, bad):
    crashes = fleet.crashes[bad]
    if len(crashes) < 5:
        return []
    from_seconds = crashes[4] + CONTACT_SECONDS
    return [at for at, in_touch in fleet.sent[bad] if in_touch and at > from_seconds]


@then(
    "at most {n:d} requests with it are sent later than {seconds:d} s after the fifth"
    " crash"
)
@then(
    "at most {n:d} requests with it are sent later than {seconds:d} s after the fifth"
    " crash, by daemons in touch"
)
def step_late(context, n, seconds):
    assert (n, seconds) == (TOLERATED_SENDS, CONTACT_SECONDS)
    counts = [
        (bad, len(fleet.crashes[bad]), len(late_sends(fleet, bad)))
        for fleet in context.fleets
        for bad in list(fleet.crashes)
    ]
    assert counts and all(count[2] <= n for count in counts), counts


@then("at most 1 in 100 sound requests is refused or lost twice")
def step_sound(context):
    for fleet in context.fleets:
        n_bad = sum(fleet.refused.values()) + fleet.n_lost_twice
        found = (n_bad, fleet.n_sound, fleet.refused, fleet.n_lost_twice)
        assert n_bad <= TOLERATED_SHARE * fleet.n_sound, found


@then("no sound request is refused as quarantined")
def step_none_quarantined(context):
    for fleet in context.fleets:
        assert not fleet.refused[RefusalReason.QUARANTINED], fleet.refused


def lose_in_turn(run_parts):
    """Return what is known after some losses, one after the other."""
    parts = PartLosses(QUARANTINE_SECONDS)
    for number in range(LOSSES_TO_BLAME):
        for names in run_parts(number):
            parts.note_lost(
                lost_run(
                    StartKey(f"start-{number}"),
                    keys(*names),
                    10.0 * number,
                    10.0 * number + 1.0,
                )
            )
    return parts


NOW_SECONDS = 30.0


@given(
    "{n:d} lost targets, one after the other, each with a run of the parts topic and"
    " bad"
)
def step_together(context, n):
    assert n == LOSSES_TO_BLAME
    context.parts = lose_in_turn(lambda _number: [("topic", "bad")])


@given(
    "{n:d} lost targets, one after the other, each with a run of the part bad and one"
    " of its own"
)
def step_own(context, n):
    assert n == LOSSES_TO_BLAME
    context.parts = lose_in_turn(lambda number: [("bad",), (f"own{number}",)])


def is_refused(context, *names):
    return context.parts.refused_seconds(keys(*names), NOW_SECONDS) > 0.0


@then("a request with both is refused, and one with either is tried")
def step_both(context):
    assert is_refused(context, "topic", "bad", "other")
    for name in ("topic", "bad"):
        assert not is_refused(context, name, "other")
        assert context.parts.suspected(keys(name))


@then("only the part bad is suspected")
def step_only(context):
    assert context.parts.judgement.parts.keys() == keys("bad")


@when("a run with the part topic writes")
def step_write(context):
    context.parts.note_written(keys("topic"), NOW_SECONDS)


@then("a request with bad alone is refused, and one with topic alone is not suspected")
def step_cleared(context):
    assert is_refused(context, "bad")
    assert not context.parts.suspected(keys("topic"))


@given("{n:d} daemons that have blamed a part")
def step_blamed(context, n):
    context.fleet = fleet = PartFleet(n, 12, 1)
    for number in range(LOSSES_TO_BLAME):
        lost_seconds = fleet.now_seconds + 10.0 * number
        run = lost_run(
            StartKey(f"start-{number}"),
            keys("bad"),
            lost_seconds - 1.0,
            lost_seconds,
        )
        for scheduler in fleet.schedulers:
            scheduler.suspicion.note_peer_run(run)
    fleet.now_seconds += 100.0


def ask_all(context, bad):
    fleet = context.fleet
    fleet.sent.clear()
    for _ in range(context.n_asked):
        for daemon in range(fleet.n_daemons):
            fleet.arrive(daemon, ("bad",), bad)
            fleet.step()
    for _ in range(100):
        fleet.step()


@when("its quarantine ends and each gets {n:d} requests with it")
def step_end(context, n):
    context.n_asked = n
    ask_all(context, "bad")
    assert not context.fleet.sent["bad"]
    context.fleet.now_seconds += QUARANTINE_SECONDS
    ask_all(context, "bad")


@then("one of them is sent, and after its loss the others are refused")
def step_one(context):
    assert len(context.fleet.sent["bad"]) == 1, context.fleet.sent
    assert not context.fleet.requests


@then("after an answer instead the others are sent")
def step_answer(context):
    fleet = context.fleet
    fleet.now_seconds += QUARANTINE_SECONDS
    fleet.refused.clear()
    ask_all(context, None)
    assert not fleet.refused, fleet.refused


@given("a daemon that tries a suspected part while {n:d} requests with it wait")
def step_waiting(context, n):
    context.fleet = fleet = PartFleet(1, 4, 1)
    now_seconds = fleet.now_seconds
    context.run = lost_run(
        StartKey("start"), keys("bad"), now_seconds - 1.0, now_seconds
    )
    fleet.schedulers[0].suspicion.note_peer_run(context.run)
    for _ in range(n + 1):
        fleet.arrive(0, ("bad",), "bad")
    for _ in range(4):
        fleet.step()
    assert len(fleet.runs) == 1 and len(fleet.requests) == n + 1


@when("the part is blamed")
def step_blame(context):
    fleet = context.fleet
    for number in range(1, LOSSES_TO_BLAME):
        at_seconds = fleet.now_seconds + number
        fleet.schedulers[0].suspicion.note_peer_run(
            lost_run(
                StartKey(f"start-{number}"),
                keys("bad"),
                at_seconds - 0.1,
                at_seconds,
            )
        )


@then("the waiting requests are refused within {seconds:g} s")
def step_refused(context, seconds):
    fleet = context.fleet
    for _ in range(int(seconds / TICK_SECONDS)):
        fleet.step()
    assert fleet.requests.keys() <= fleet.runs.keys(), fleet.requests


@when("{n:d} sound requests come")
def step_sound_come(context, n):
    context.sound = [context.fleet.arrive(0, ("root",), None) for _ in range(n)]


@then("all of these are sent at once")
def step_sent(context):
    assert set(context.sound) <= context.fleet.runs.keys(), context.fleet.runs


@given("{n:d} lost runs of different parts")
def step_many(context, n):
    context.parts = PartLosses(QUARANTINE_SECONDS)
    for number in range(n):
        context.parts.note_lost(
            lost_run(StartKey(f"start-{number % 10}"), keys(f"part{number}"), 1.0, 2.0)
        )


@when("{n:d} requests are checked against them")
def step_check(context, n):
    for number in range(n):
        context.parts.refused_seconds(keys(f"part{number}", "other"), 3.0)


@then("they were judged once")
def step_once(context):
    assert context.parts.n_judged == 1, context.parts.n_judged


@given("{n:d} daemons with {n_each:d} requests each on one of {n_targets:d} targets")
def step_on_one(context, n, n_each, n_targets):
    context.fleet = fleet = PartFleet(n, 1, 1)
    for daemon in range(n):
        for number in range(n_each):
            fleet.arrive(daemon, ("root", f"topic{daemon}{number}"), None)
    assert len(fleet.runs) == n * n_each, fleet.runs
    context.lost = dict(fleet.runs)
    for index in range(1, n_targets):
        fleet.bring_back(index)


@when("this target is lost")
def step_lose_one(context):
    context.fleet.lose("target-0")


@then("all of these requests are sent again within {seconds:g} s")
def step_sent_again(context, seconds):
    fleet = context.fleet
    again = set()
    for _ in range(int(seconds / TICK_SECONDS)):
        fleet.step()
        again |= {run.name for run in fleet.runs.values() if run.target != "target-0"}
    missing = context.lost.keys() - again
    assert not missing, (len(missing), fleet.refused)


@given("a lost run of the parts topic and bad")
def step_one_run(context):
    context.parts = PartLosses(QUARANTINE_SECONDS)
    context.run = lost_run(StartKey("start"), keys("topic", "bad"), 1.0, 2.0)
    context.parts.note_lost(context.run)


@when("a peer tells of it {n:d} times, later and without topic")
def step_tell_again(context, n):
    for number in range(1, n + 1):
        told = replace(
            context.run,
            parts=keys("bad"),
            started_seconds=1.0 + 5.0 * number,
            lost_seconds=2.0 + 5.0 * number,
        )
        context.parts.note_lost(told)


@then("bad alone is suspected, of one loss")
def step_one_loss(context):
    found = context.parts.judgement.parts
    assert found.keys() == keys("bad"), found
    assert found[key("bad")].n_losses == 1, found


@then("its digest is that of a daemon that heard of it only then")
def step_same_digest(context):
    other = PartLosses(QUARANTINE_SECONDS)
    other.note_lost(replace(context.run, parts=keys("bad")))
    assert context.parts.digest() == other.digest() != 0


def lose_one(parts, number, *names):
    start, lost_seconds = StartKey(f"start-{number}"), 10.0 * number + 1.0
    parts.note_lost(lost_run(start, keys(*names), lost_seconds - 1.0, lost_seconds))


@given(
    "{n:d} lost targets, one after the other, with runs of bad, three of them with"
    " topic"
)
def step_first_part(context, n):
    context.parts = PartLosses(QUARANTINE_SECONDS)
    for number in range(n - 1):
        lose_one(context.parts, number, "topic", "bad")
    lose_one(context.parts, n - 1, "bad")
    context.n_lost = n


@when("{n:d} more are lost, each with a run of the parts topic and bad2")
def step_second_part(context, n):
    for number in range(context.n_lost, context.n_lost + n):
        lose_one(context.parts, number, "topic", "bad2")


@then("bad alone is blamed, and topic and bad2 are suspected of the last losses")
def step_first_stays(context):
    found = context.parts.judgement.parts
    n_losses = {name: found[key(name)].n_losses for name in ("bad", "topic", "bad2")}
    assert n_losses == {"bad": 4, "topic": 2, "bad2": 2}, n_losses
    assert context.parts.refused_seconds(keys("bad", "other"), 70.0) > 0.0


@given(
    "{n:d} lost targets, the first with runs of topic and of bad, the others of both"
)
def step_tied(context, n):
    context.parts = PartLosses(QUARANTINE_SECONDS)
    for parts in (keys("topic"), keys("bad")):
        context.parts.note_lost(lost_run(StartKey("t0"), parts, 0.0, 1.0))
    for number in range(1, n):
        run = lost_run(
            StartKey(f"t{number}"), keys("topic", "bad"), number + 0.5, number + 1.0
        )
        context.parts.note_lost(run)
    context.now_seconds = n + 1.0


@when("one more is lost, with a run of bad")
def step_one_more(context):
    run = lost_run(
        StartKey("last"), keys("bad"), context.now_seconds, context.now_seconds + 0.5
    )
    context.parts.note_lost(run)


@given(
    "{n:d} lost targets with runs of topic one after the other, and runs of bad at once"
)
def step_overlapping(context, n):
    context.parts = PartLosses(QUARANTINE_SECONDS)
    for number in range(n):
        start, lost_seconds = StartKey(f"t{number}"), number + 1.0
        runs = ((keys("topic"), number + 0.5), (keys("bad"), 0.0))
        for parts, started_seconds in runs:
            run = lost_run(start, parts, started_seconds, lost_seconds)
            context.parts.note_lost(run)
    context.now_seconds = n + 1.0


@then("a request with topic alone is still tried")
def step_topic_tried(context):
    assert not is_refused(context, "topic", "other")
