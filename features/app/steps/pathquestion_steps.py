"""Steps of pathquestions.feature: a model of a fleet whose targets fall silent."""

import asyncio
import logging
import random
from collections import Counter
from dataclasses import dataclass, field

import structlog
from behave import given, then, when

from lycheepost.app.pathquestions import PathQuestions
from lycheepost.app.paths import PROBE_TIMEOUT_SECONDS, PathWatch, ProbeTarget
from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId, TargetId
from lycheepost.decide.ownpaths import PROBED_TARGETS, ProbeEnd
from lycheepost.generated.messages import PathAnswer, PathQuestion
from lycheepost.standin.virtualtime import run_virtual, virtual_clock
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.relays import MAX_ASKED, choose_asked
from lycheepost.utils.metrics import ServedMetrics

GROUP = TargetGroupId("llm")
N_ENTRY = 10
LINK_SECONDS = 0.002
RESPONSE_SECONDS = 0.004
STEP_SECONDS = 0.01
END_SECONDS = 10.0


@dataclass
class ModelFleet:
    """Daemons, their messages, and what their targets do.

    Attributes:
        silent: From when to when all targets are silent.
        cut: From when to when the first ``n_cut`` daemons are cut off.
        has_traffic: Whether daemons hear from targets all the time.
        lost: Times and daemons at which paths were taken for lost.
        silences: Times and daemons of which the group counted as silent.
        probes: Numbers of probes of each target in each second.
        sent: Numbers of messages by sender and type.
    """

    n_daemons: int
    n_targets: int
    silent: tuple[float, float] = (0.0, 0.0)
    cut: tuple[float, float] = (0.0, 0.0)
    n_cut: int = 0
    has_traffic: bool = True
    drops_messages: bool = False
    daemons: list["ModelDaemon"] = field(default_factory=list)
    lost: list[tuple[float, int]] = field(default_factory=list)
    silences: list[tuple[float, int]] = field(default_factory=list)
    probes: Counter = field(default_factory=Counter)
    sent: Counter = field(default_factory=Counter)

    def start(self):
        self.started = virtual_clock().now_seconds()
        self.members = [
            Member(
                DaemonId(f"d{index}"),
                "boot",
                MemberState.LIVE,
                AvailabilityZone(f"z{index % 3}"),
                f"d{index}:80",
                "",
            )
            for index in range(self.n_daemons)
        ]
        self.daemons = [ModelDaemon(self, index) for index in range(self.n_daemons)]

    def elapsed(self):
        return virtual_clock().now_seconds() - self.started

    def answers_at(self, index, at):
        """Return when a daemon that asks a target gets its response."""
        if self.silent[0] <= at < self.silent[1]:
            at = self.silent[1]
        is_cut = index < self.n_cut and self.cut[0] <= at < self.cut[1]
        return self.cut[1] if is_cut else at

    def post(self, sender, receiver, message):
        self.sent[sender, type(message)] += 1
        if self.drops_messages:
            return
        loop = asyncio.get_running_loop()
        number = int(receiver[1:])
        deliver = self.daemons[number].subscribers[type(message)]
        loop.call_later(LINK_SECONDS, deliver, message, DaemonId(f"d{sender}"))


class ModelDaemon:
    """One daemon: its real probes and questions on modelled links and targets."""

    def __init__(self, fleet, index):
        self.fleet, self.index = fleet, index
        self.subscribers = {}
        self.rng = random.Random(index)
        self.metrics = ServedMetrics()
        self.questions = PathQuestions(self, self.metrics, self.choose)
        self.targets = [
            ProbeTarget(TargetId(f"t{number}"), f"t{number}", "/")
            for number in range(fleet.n_targets)
        ]
        self.watch = PathWatch(
            self,
            virtual_clock(),
            self.metrics,
            self.rng,
            lambda group: self.targets if group == GROUP else [],
            lambda _group: self.quiet_seconds(),
            self.questions,
        )
        self.watch.on_change(self.note_change)

    def note_change(self, _group, is_lost):
        if is_lost:
            self.fleet.lost.append((self.fleet.elapsed(), self.index))

    def choose(self, group):
        members = self.fleet.members
        return choose_asked(
            members[self.index].daemon,
            group,
            members[self.index].availability_zone,
            members,
            {item.daemon for item in members[:N_ENTRY]},
            self.rng,
        )

    def subscribe(self, message_type, on_message):
        self.subscribers[message_type] = on_message

    def send(self, daemon, message):
        self.fleet.post(self.index, daemon, message)

    def send_to_each(self, daemons, message):
        for daemon in daemons:
            self.send(daemon, message)

    def quiet_seconds(self):
        """Return for how long nothing has come: a part goes on by traffic."""
        if not self.fleet.has_traffic:
            return float("inf")
        now = self.fleet.elapsed()
        times = [
            start
            for start, end in (self.fleet.silent, self.fleet.cut)
            if start <= now < end
            and (start != self.fleet.cut[0] or self.index < self.fleet.n_cut)
        ]
        return now - min(times, default=now)

    async def probe(self, address, _path):
        now = self.fleet.elapsed()
        self.fleet.probes[address, int(now)] += 1
        answered = self.fleet.answers_at(self.index, now) + RESPONSE_SECONDS
        if answered - now > PROBE_TIMEOUT_SECONDS:
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS)
            return ProbeEnd.SILENT
        await asyncio.sleep(answered - now)
        return ProbeEnd.ANSWERED


async def play(fleet, from_seconds=1.0):
    """Let all daemons note silent targets for the time of the play."""
    fleet.start()
    for daemon in fleet.daemons:
        await daemon.watch.start()
    while (now := fleet.elapsed()) < END_SECONDS:
        for daemon in fleet.daemons:
            if now >= from_seconds:
                waits = fleet.answers_at(daemon.index, now) > now
                if waits and now >= from_seconds + 0.3:
                    daemon.watch.note_failed(GROUP, TargetId("t0"))
            if daemon.watch.is_silent(GROUP):
                fleet.silences.append((now, daemon.index))
        await asyncio.sleep(STEP_SECONDS)
    for daemon in fleet.daemons:
        await daemon.watch.stop()


@given("a model of {n:d} daemons in 3 zones and {n_targets:d} targets")
def step_model(context, n, n_targets):
    usual = structlog.get_config()["wrapper_class"]
    context.add_cleanup(structlog.configure, wrapper_class=usual)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    context.fleet = ModelFleet(n, n_targets)


@given("no message arrives")
def step_drop(context):
    context.fleet.drops_messages = True


@when("all targets are silent from {start:g} s to {end:g} s")
def step_silent(context, start, end):
    context.fleet.silent = (start, end)
    run_virtual(play(context.fleet))


@when(
    "all targets are silent from {start:g} s to {end:g} s, and the first daemon is cut"
    " off from {cut_start:g} s to {cut_end:g} s"
)
def step_silent_cut(context, start, end, cut_start, cut_end):
    context.fleet.n_cut = 1
    context.fleet.silent, context.fleet.cut = (start, end), (cut_start, cut_end)
    run_virtual(play(context.fleet))


@when(
    "the first {n:d} daemons are cut off from {start:g} s to {end:g} s, with traffic at"
    " {traffic}"
)
def step_cut(context, n, start, end, traffic):
    context.fleet.n_cut, context.fleet.cut = n, (start, end)
    context.fleet.has_traffic = traffic == "all"
    run_virtual(play(context.fleet))


@then("no daemon has taken its paths for lost")
def step_none(context):
    assert not context.fleet.lost, context.fleet.lost


@then("each daemon has been silent for the group, and none is {seconds:g} s later")
def step_each_silent(context, seconds):
    fleet = context.fleet
    assert {index for _, index in fleet.silences} == set(range(fleet.n_daemons))
    last = max(at for at, _ in fleet.silences)
    assert last <= fleet.silent[1] + seconds, last


@then("each daemon has sent at most {n:d} questions and {n_answers:d} answers a probe")
def step_messages(context, n, n_answers):
    assert n == n_answers == MAX_ASKED
    fleet = context.fleet
    for daemon in fleet.daemons:
        n_probes = daemon.watch.n_probes
        n_questions = fleet.sent[daemon.index, PathQuestion]
        assert n_questions <= MAX_ASKED * n_probes, (n_questions, n_probes)
    n_questions = sum(fleet.sent[item.index, PathQuestion] for item in fleet.daemons)
    n_sent = sum(fleet.sent[item.index, PathAnswer] for item in fleet.daemons)
    n_probes = sum(item.watch.n_probes for item in fleet.daemons)
    print(
        f"{n_questions} questions, {n_sent} answers, {n_probes} own probes,"
        f" {sum(item.watch.n_answer_probes for item in fleet.daemons)} for peers"
    )
    assert n_sent <= n_questions, (n_sent, n_questions)
    silent_seconds = fleet.silent[1] - fleet.silent[0]
    assert n_probes <= 4 * silent_seconds * fleet.n_daemons, n_probes


@then("no target has got more than {n:d} probes a second")
def step_probes(context, n):
    most = max(context.fleet.probes.values())
    print(f"most probes of one target in a second: {most}")
    assert most <= n, most


@then(
    "these and no others have taken their paths for lost within {seconds:g} s of a"
    " probe"
)
def step_cut_lost(context, seconds):
    fleet = context.fleet
    assert {index for _, index in fleet.lost} == set(range(fleet.n_cut)), fleet.lost
    last = max(at for at, _ in fleet.lost)
    assert last <= fleet.cut[0] + 0.3 + seconds, fleet.lost


@then("nobody has asked more than {n:d} peers in {n_probes:d} probes")
def step_asked_little(context, n, n_probes):
    fleet = context.fleet
    most = max(fleet.sent[item.index, PathQuestion] for item in fleet.daemons)
    assert 0 < most <= n * n_probes, most


@then("the first daemon and no other has taken its paths for lost by {seconds:g} s")
def step_first_lost(context, seconds):
    fleet = context.fleet
    assert [index for _, index in fleet.lost] == [0], fleet.lost
    assert fleet.lost[0][0] <= seconds, fleet.lost


@then("its paths are lost {least:g} to {most:g} s after its first probe")
def step_alone(context, least, most):
    ((at, _),) = context.fleet.lost
    assert least <= at - 1.3 <= most, at


def send_to_first(context, message, n=1):
    async def run():
        context.fleet.start()
        for _ in range(n):
            context.fleet.post(1, DaemonId("d0"), message)
        await asyncio.sleep(1.0)

    run_virtual(run())


@when("a daemon is asked {n:d} times with {name} {value}")
def step_asked(context, n, name, value):
    fields = {"number": 1, "target_group": GROUP, "probed_ago_seconds": 0.2}
    fields[name] = value if name == "target_group" else float(value)
    send_to_first(context, PathQuestion(**fields), n)


@then("it has kept nothing of it")
def step_kept_nothing(context):
    watch = context.fleet.daemons[0].watch
    assert (
        not watch._askers and not watch._answering and not watch._paths.keys() - {GROUP}
    )
    assert sum(context.fleet.probes.values()) <= PROBED_TARGETS * 5


@when("a daemon is told that the group is reached without having asked")
def step_told(context):
    send_to_first(context, PathAnswer(number=1, target_group=GROUP, is_reached=True))


@then("it keeps no answer")
def step_no_answer(context):
    daemon = context.fleet.daemons[0]
    assert not daemon.questions.answers(GROUP)
    assert not daemon.watch._paths
