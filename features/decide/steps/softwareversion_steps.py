"""Steps of softwareversions.feature."""

from collections import deque
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import GROUP, SchedulerDriver, make_view, make_work
from lycheepost.core.ids import DaemonId, PrefixDigest, SoftwareVersion, StreamId
from lycheepost.decide.placement import _usable
from lycheepost.decide.records import (
    FinishKind,
    PrefixLevel,
    RefusalReason,
    TargetState,
)
from lycheepost.decide.softwareversions import ListedVersions, SoftwareVersions
from lycheepost.decide.streamorigins import (
    MAX_ORIGINS,
    StreamOrigin,
    StreamOrigins,
)

V1, V2, V3 = map(SoftwareVersion, ("v1", "v2", "v3"))
PEERS = tuple(DaemonId(f"d{number}") for number in range(3))
TEMPLATE_TOKENS, OWN_TOKENS = 6000, 1000
FETCH_SECONDS = 4e-6
RUNNING_STREAMS = 20


class Daemon:
    """The versions that one daemon knows, in virtual time."""

    def __init__(self, known_from_seconds, versions):
        self.now_seconds = 1000.0
        self.software = SoftwareVersions(known_from_seconds)
        self.software.set_peers(PEERS)
        self.set_listed(versions)

    def set_listed(self, versions, usable=None):
        listed = frozenset(versions)
        usable = listed if usable is None else frozenset(usable)
        self.software.set_listed(
            {GROUP: ListedVersions(listed, usable)}, self.now_seconds
        )

    def advance(self, seconds, versions):
        """Let time pass, with the list as it is."""
        for _ in range(round(seconds)):
            self.now_seconds += 1.0
            self.set_listed(versions)
        self.now_seconds += seconds - round(seconds)

    def confirm(self, peer, versions):
        self.software.note_told(peer, GROUP, versions, self.now_seconds)

    def sole(self):
        return self.software.sole(GROUP, self.now_seconds)


@given("a daemon with 3 peers and the version v1")
def step_daemon(context):
    context.daemon = Daemon(float("-inf"), {V1})
    context.daemon.advance(60.0, {V1})


@when("v2 comes and {n:d} of its peers confirm it within {seconds:g} s")
def step_comes(context, n, seconds):
    daemon = context.daemon
    daemon.set_listed({V1, V2})
    for peer in PEERS[:n]:
        daemon.confirm(peer, {V1, V2})
    daemon.now_seconds += seconds


@when("v2 comes and no target of v1 can be used")
def step_alone(context):
    context.daemon.set_listed({V1, V2}, usable={V2})


@when("the daemon starts again beside {versions}")
def step_starts(context, versions):
    names, _, rest = versions.partition(" and 30 s pass")
    names, _, told = names.partition(", and a peer that knows all for 30 s tells ")
    listed = set(map(SoftwareVersion, names.split(" and ")))
    daemon = context.daemon = Daemon(1000.0, listed)
    if told:
        daemon.confirm(PEERS[0], map(SoftwareVersion, told.split(" and ")))
        daemon.software.note_known_for(30.0, daemon.now_seconds)
    if " and 30 s pass" in versions:
        daemon.advance(30.0, listed)


@when("nothing changes for {seconds:d} s")
def step_nothing(context, seconds):
    context.daemon.advance(seconds, {V1})


@when("v2 comes, v1 leaves and {seconds:d} s pass")
def step_leaves(context, seconds):
    context.daemon.set_listed({V1, V2})
    context.daemon.set_listed({V2})
    context.daemon.advance(seconds, {V2})


@then("v2 is {decision}")
def step_decision(context, decision):
    held_back = context.daemon.software.held_back(GROUP, context.daemon.now_seconds)
    assert held_back == ({V2} if decision == "held back" else frozenset()), held_back


@then("an unknown stream is of {version}")
def step_sole(context, version):
    expected = None if version == "no sole version" else version
    assert context.daemon.sole() == expected, context.daemon.sole()


@when("{n:d} streams of {seconds:d} s begin at {per_second:d} a second")
def step_many(context, n, seconds, per_second):
    context.origins = StreamOrigins()
    context.now_seconds = 0.0
    for number in range(n):
        context.now_seconds = number / per_second
        until_seconds = context.now_seconds + seconds
        context.last = StreamId(f"s{number}")
        origin = StreamOrigin(GROUP, V1, until_seconds)
        context.origins.note(context.last, origin, is_own=True)


@then("at most {n:d} are remembered, the newest among them")
def step_bounded(context, n):
    assert len(context.origins) <= n == MAX_ORIGINS, len(context.origins)
    assert context.origins.get(context.last, context.now_seconds) is not None


@then("{seconds:d} s later none is")
def step_expired(context, seconds):
    now_seconds = context.now_seconds + seconds
    assert context.origins.get(context.last, now_seconds) is None
    context.origins.expire(now_seconds)
    assert len(context.origins) == 0
    assert context.origins.own(now_seconds) == {}


@given("{n:d} targets of v1 and {m:d} of v2 with {n_slots:d} slots each")
def step_targets(context, n, m, n_slots):
    driver = context.driver = SchedulerDriver(n + m)
    driver.views = {
        index: replace(
            make_view(index, limit=n_slots),
            software_version=V1 if index < n else V2,
            fetch_token_seconds=FETCH_SECONDS,
        )
        for index in driver.views
    }
    driver.announce()
    context.software = {
        view.target: view.software_version for view in driver.views.values()
    }


@when("{n:d} streams that {version} began ask to go on")
@when("{n:d} stream that {version} began asks to go on")
def step_go_on(context, n, version):
    versions = frozenset({SoftwareVersion(version)})
    for number in range(n):
        context.driver.arrive(f"rest-{number}", software_versions=versions)


@when("a stream that {version} began asks to go on")
def step_one_goes_on(context, version):
    step_go_on(context, 1, version)


@when("all targets of v1 leave")
def step_all_leave(context):
    driver = context.driver
    for index, view in driver.views.items():
        if view.software_version == V1:
            driver.views[index] = replace(view, state=TargetState.LEAVING)
    driver.announce()


@then("{n:d} are sent to targets of v1, {n_waiting:d} wait and none is sent to v2")
def step_bound(context, n, n_waiting):
    driver = context.driver
    used = [context.software[target] for target in driver.sent.values()]
    assert used == [V1] * n, used
    assert not driver.refused, driver.refused
    assert len(driver.works) == n + n_waiting


@then("the {n:d} that wait are refused at once, with a time to come back")
def step_waiting_refused(context, n):
    refused = list(context.driver.refused.values())
    assert len(refused) == n, refused
    for refusal in refused:
        assert refusal.reason is RefusalReason.NO_TARGET, refusal
        assert refusal.retry_after_seconds > 0.0, refusal


@then("it is refused at once, with a time to come back")
def step_refused(context):
    step_waiting_refused(context, 1)


@when("a prompt comes that a KV store keeps for {who}")
def step_kept(context, who):
    versions = [] if who == "nobody" else who.split(", ")
    context.work = make_work(
        "kept",
        context.driver.now_seconds,
        prompt_tokens=TEMPLATE_TOKENS + OWN_TOKENS,
        stored_tokens={SoftwareVersion(name): TEMPLATE_TOKENS for name in versions},
    )


@then("{n:d} tokens are expected to be read at targets of v1 and {m:d} at those of v2")
def step_expected(context, n, m):
    placement = context.driver.scheduler._group(GROUP).placement
    found = {V1: set(), V2: set()}
    for load, n_uncached, _ in _usable(placement._serving, context.work, frozenset()):
        found[load.view.software_version].add(n_uncached)
    assert found == {V1: {n}, V2: {m}}, found


@when("{n:d} streams of {n_templates:d} shared prompts begin, {per_second:d} a second")
def step_shared(context, n, n_templates, per_second):
    driver = context.driver
    running = deque()
    context.read = set()
    context.n_read_again = context.n_shared = 0
    for number in range(n):
        template = PrefixDigest(number % n_templates + 1)
        levels = (
            PrefixLevel(template, TEMPLATE_TOKENS),
            PrefixLevel(PrefixDigest(1000 + number), TEMPLATE_TOKENS + OWN_TOKENS),
        )
        name = f"shared-{number}"
        driver.arrive(name, levels=levels, prompt_tokens=TEMPLATE_TOKENS + OWN_TOKENS)
        key = (driver.sent[name], template)
        context.n_shared += 1
        if key not in context.read:
            context.n_read_again += any(item == template for _, item in context.read)
        context.read.add(key)
        driver.wait(1.0 / per_second)
        driver.scheduler.first_token(name, driver.now_seconds, None)
        running.append(name)
        if len(running) > RUNNING_STREAMS:
            driver.scheduler.finish(
                running.popleft(), driver.now_seconds, FinishKind.COMPLETE
            )


@then("at most {n:d} in 100 of the shared tokens are read again")
def step_read_again(context, n):
    assert context.n_read_again <= n / 100 * context.n_shared, context.n_read_again
