"""Steps of streamversions.feature: a model of several daemons' exchanges."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from behave import given, then, when

from lycheepost.app.streamversions import StreamVersionExchange
from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import DaemonId, SoftwareVersion, StreamId, TargetGroupId
from lycheepost.decide.softwareversions import ListedVersions, SoftwareVersions
from lycheepost.generated.messages import BegunStreams, PeerHello, PeerMember
from lycheepost.utils.metrics import ServedMetrics

GROUP = TargetGroupId("llm")
STEP_SECONDS = 0.01
STREAMS_PER_SECOND = 30
CALLER_SECONDS = 15.0
NOTICED_DEAD_SECONDS = 1.5
"""Until the others no longer count a dead daemon as a peer."""

KILL_EVERY_SECONDS = 6.0
CUT_EVERY_SECONDS = 10.0
N_RELAYS = 2
LINK_SECONDS = 0.4
"""Until a daemon that has started has links; what it sends before is dropped."""


class ModelExchange:
    """The links of one modelled daemon."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.subscribers = {}
        self.heard = {}

    def subscribe(self, message_type, on_message):
        self.subscribers[message_type] = on_message

    def send(self, daemon, message):
        self.world.post(self.name, daemon, message)
        return True

    def send_to_each(self, daemons, message):
        for daemon in daemons:
            self.send(daemon, message)

    def heard_within(self, seconds):
        since = self.world.clock.seconds - seconds
        return frozenset(name for name, at in self.heard.items() if at >= since)


@dataclass
class ModelDaemon:
    """One start of a daemon.

    Attributes:
        listed: The versions in its copy of the list.
        is_store_cut: Whether it gets no answers of the store.
        is_peer_cut: Whether it gets and sends no messages.
    """

    name: DaemonId
    exchange: ModelExchange
    software: SoftwareVersions
    streams: StreamVersionExchange
    started_seconds: float
    peers: tuple[DaemonId, ...] = ()
    listed: frozenset[SoftwareVersion] = frozenset()
    confirmed_seconds: float | None = None
    next_poll_seconds: float = 0.0
    is_store_cut: bool = False
    is_peer_cut: bool = False
    has_links: bool = False
    is_dead: bool = False
    dead_seconds: float = 0.0


@dataclass
class World:
    """Store, daemons, messages and streams."""

    rng: random.Random
    clock: FakeClock = field(default_factory=FakeClock)
    versions: set[SoftwareVersion] = field(default_factory=set)
    daemons: dict[DaemonId, ModelDaemon] = field(default_factory=dict)
    calls: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    counts: Counter = field(default_factory=Counter)
    mixed: list = field(default_factory=list)
    n_versions: int = 0

    def later(self, seconds, call):
        at_seconds = self.clock.seconds + seconds
        heapq.heappush(self.calls, (at_seconds, next(self.numbers), call))

    def start_daemon(self, name, known_from_seconds):
        exchange = ModelExchange(self, name)
        software = SoftwareVersions(known_from_seconds)
        daemon = None

        def confirmed():
            return daemon.confirmed_seconds

        streams = StreamVersionExchange(
            software,
            exchange,
            self.clock,
            ServedMetrics(),
            confirmed,
            lambda: None,
            lambda call: self.later(0.01, call),
        )
        daemon = ModelDaemon(name, exchange, software, streams, self.clock.seconds)
        self.daemons[name] = daemon

    def post(self, sender, receiver, message):
        if isinstance(message, BegunStreams):
            self.counts["told"] += 1
        source, target = self.daemons[sender], self.daemons.get(receiver)
        if target is None or target.is_dead or source.is_peer_cut:
            return
        if self.clock.seconds - source.started_seconds < LINK_SECONDS:
            return

        def arrive():
            if target.is_dead or target.is_peer_cut:
                return
            target.exchange.heard[sender] = self.clock.seconds
            target.exchange.subscribers[type(message)](message, sender)

        self.later(self.rng.uniform(0.001, 0.005), arrive)

    def live(self):
        return [item for item in self.daemons.values() if not item.is_dead]

    def ready(self):
        now = self.clock.seconds
        return [
            item
            for item in self.live()
            if item.listed and now - item.started_seconds > 0.5
        ]

    def step(self):
        self.clock.seconds += STEP_SECONDS
        now = self.clock.seconds
        while self.calls and self.calls[0][0] <= now:
            heapq.heappop(self.calls)[2]()
        for daemon in self.live():
            self.update(daemon, now)

    def update(self, daemon, now):
        if now >= daemon.next_poll_seconds and not daemon.is_store_cut:
            daemon.next_poll_seconds = now + self.rng.uniform(0.02, 0.6)
            daemon.listed = frozenset(self.versions)
            daemon.confirmed_seconds = now
        if daemon.listed:
            listed = ListedVersions(daemon.listed, daemon.listed)
            if daemon.software.set_listed({GROUP: listed}, now):
                daemon.streams.note_versions()
        if not daemon.has_links and now - daemon.started_seconds >= LINK_SECONDS:
            daemon.has_links = True
            self.open_links(daemon)
        elapsed_steps = round((now - daemon.started_seconds) / STEP_SECONDS)
        if elapsed_steps % 40 == 0:
            daemon.streams.tick()
            self.set_peers(daemon, now)
            for peer in daemon.peers:
                self.heartbeat(daemon, peer)

    def open_links(self, daemon):
        hello = PeerHello(member=PeerMember(daemon=daemon.name, boot="", state="live"))
        for other in self.live():
            if other is not daemon and other.has_links:
                self.post(daemon.name, other.name, hello)
                self.post(other.name, daemon.name, hello)

    def heartbeat(self, daemon, peer):
        target = self.daemons[peer]
        if not (daemon.is_peer_cut or target.is_peer_cut or target.is_dead):
            target.exchange.heard[daemon.name] = self.clock.seconds

    def set_peers(self, daemon, now):
        daemon.peers = tuple(
            sorted(
                item.name
                for item in self.daemons.values()
                if item is not daemon
                and now - item.started_seconds > 0.2
                and not (
                    item.is_dead and now - item.dead_seconds > NOTICED_DEAD_SECONDS
                )
            )
        )
        daemon.streams.set_peers(daemon.peers, is_peer=True)

    def kill(self, daemon):
        daemon.is_dead, daemon.dead_seconds = True, self.clock.seconds
        name = daemon.name
        self.later(
            self.rng.uniform(0.3, 1.2),
            lambda: self.start_daemon(name, self.clock.seconds),
        )

    def begin(self, number):
        daemon = self.rng.choice(self.ready())
        now = self.clock.seconds
        free = daemon.listed - daemon.software.held_back(GROUP, now)
        version = self.rng.choice(sorted(free))
        stream = StreamId(f"stream {number}")
        until_seconds = now + CALLER_SECONDS
        daemon.streams.note_begun(stream, GROUP, version)
        self.lose_later(daemon, stream, version, until_seconds)

    def lose_later(self, daemon, stream, version, until_seconds):
        lost_seconds = self.clock.seconds + self.rng.uniform(0.05, 6.0)

        def watch():
            now = self.clock.seconds
            if daemon.is_dead or now >= lost_seconds:
                self.later(
                    self.rng.uniform(0.02, 1.0),
                    lambda: self.take_up(stream, version, until_seconds),
                )
            else:
                self.later(0.05, watch)

        self.later(0.03, watch)

    def take_up(self, stream, version, until_seconds):
        now = self.clock.seconds
        ready = self.ready()
        if now >= until_seconds or not ready:
            return
        daemon = self.rng.choice(ready)
        self.counts["taken up"] += 1
        found, server = self.find(daemon, stream)
        if found is None:
            self.counts["refused"] += 1
            return
        if found != version:
            self.mixed.append((stream, version, found, daemon.name))
        self.counts["went on"] += 1
        if found in server.listed:
            server.streams.note_begun(stream, GROUP, found)
            self.lose_later(server, stream, version, until_seconds)

    def find(self, daemon, stream):
        """Return the version at which a stream goes on, and the daemon serving it."""
        found = daemon.streams.version_of(stream, GROUP)
        if found is not None or not daemon.streams.may_peers_know(stream, GROUP):
            return found, daemon
        if daemon.is_peer_cut:
            return None, daemon
        peers = [self.daemons[name] for name in daemon.peers]
        able = [item for item in peers if not item.is_dead and not item.is_peer_cut]
        for peer in self.rng.sample(able, min(N_RELAYS, len(able))):
            found = peer.streams.version_of(stream, GROUP)
            if found is not None:
                return found, peer
        return None, daemon


@given("{n:d} daemons that exchange versions, seed {seed:d}")
def step_world(context, n, seed):
    world = context.world = World(random.Random(seed))
    world.versions = {SoftwareVersion("v1")}
    world.n_versions = 1
    for number in range(n):
        world.start_daemon(DaemonId(f"d{number}"), float("-inf"))


def change_versions(world):
    """Add a version, or take one away that is not the only one."""
    if len(world.versions) == 1 or world.rng.random() < 0.3:
        world.n_versions += 1
        world.versions.add(SoftwareVersion(f"v{world.n_versions}"))
    else:
        world.versions.discard(world.rng.choice(sorted(world.versions)))


def cut(world, daemons, is_store, is_peers):
    for daemon in daemons:
        daemon.is_store_cut |= is_store
        daemon.is_peer_cut |= is_peers

    def heal():
        for daemon in daemons:
            daemon.is_store_cut &= not is_store
            daemon.is_peer_cut &= not is_peers

    world.later(world.rng.uniform(1.0, 9.0), heal)


def trouble(world, troubles):
    """Return the functions that cause troubles, with their intervals."""
    rng = world.rng

    def kill():
        live = world.ready()
        if len(live) > 1:
            world.kill(rng.choice(live))

    def kill_all():
        for daemon in world.live():
            world.kill(daemon)

    def some():
        live = world.live()
        return rng.sample(live, rng.randint(1, max(1, len(live) // 2)))

    found = []
    if "kills" in troubles:
        found.append((KILL_EVERY_SECONDS, kill))
    if "deaths of all" in troubles:
        found.append((KILL_EVERY_SECONDS * 4, kill_all))
    if "store" in troubles or "all cuts" in troubles:
        found.append((CUT_EVERY_SECONDS, lambda: cut(world, some(), True, False)))
        found.append(
            (CUT_EVERY_SECONDS * 3, lambda: cut(world, world.live(), True, False))
        )
    if "everything" in troubles or "all cuts" in troubles:
        found.append((CUT_EVERY_SECONDS, lambda: cut(world, some(), True, True)))
    return found


def play(context, seconds, troubles, change_seconds):
    world = context.world
    due = defaultdict(float)
    schedule = trouble(world, troubles)
    if change_seconds is not None:
        schedule.append((change_seconds, lambda: change_versions(world)))
    for index, (every, _) in enumerate(schedule):
        due[index] = 2.0 + world.rng.uniform(0.0, every)
    n_streams = 0
    for step in range(int(seconds / STEP_SECONDS)):
        world.step()
        elapsed = step * STEP_SECONDS
        for index, (every, act) in enumerate(schedule):
            if elapsed >= due[index]:
                due[index] = elapsed + every * world.rng.uniform(0.5, 1.5)
                act()
        if world.ready() and elapsed * STREAMS_PER_SECOND >= n_streams:
            n_streams += 1
            world.begin(n_streams)


@when("versions come and go for {seconds:d} s, with {troubles}")
def step_play(context, seconds, troubles):
    play(context, seconds, troubles, 7.0)


@when("one version serves for {seconds:d} s, with {troubles}")
def step_play_one(context, seconds, troubles):
    play(context, seconds, troubles, None)


@when(
    "one is cut off from everything, v2 comes {delay:g} s later and {seconds:d} s pass"
)
def step_cut_off(context, delay, seconds):
    world = context.world
    for _ in range(int(5.0 / STEP_SECONDS)):
        world.step()
    cut_off, *others = world.live()
    cut_off.is_store_cut = cut_off.is_peer_cut = True
    context.begun, context.taken_up = Counter(), []
    for step in range(int(seconds / STEP_SECONDS)):
        if step == round(delay / STEP_SECONDS):
            world.versions.add(SoftwareVersion("v2"))
        world.step()
        if step % 10:
            continue
        for daemon in others:
            held_back = daemon.software.held_back(GROUP, world.clock.seconds)
            for version in sorted(daemon.listed - held_back):
                stream = StreamId(f"{daemon.name} {step} {version}")
                daemon.streams.note_begun(stream, GROUP, version)
                context.begun[version] += 1
                found = cut_off.streams.version_of(stream, GROUP)
                context.taken_up.append((step, version, found))


@then("the others have begun streams at both versions")
def step_both_begun(context):
    assert set(context.begun) == {"v1", "v2"}, context.begun


@then("the one takes none up at another version, and in the end none of v2")
def step_none_wrong(context):
    wrong = [item for item in context.taken_up if item[2] not in (None, item[1])]
    assert not wrong, wrong[:5]
    assert any(found == "v1" for _, _, found in context.taken_up)
    assert [found for _, version, found in context.taken_up if version == "v2"][
        -1
    ] is None


@then("no stream has gone on at another version")
def step_none_mixed(context):
    world = context.world
    assert world.counts["taken up"] > 500, world.counts
    assert not world.mixed, (len(world.mixed), world.mixed[:5])


@then("at least {share:g} of the take-ups went on")
def step_share(context, share):
    counts = context.world.counts
    assert counts["went on"] >= share * counts["taken up"], counts


@then("all take-ups went on")
def step_all(context):
    counts = context.world.counts
    assert counts["went on"] == counts["taken up"] > 500, counts


@then("no message told of a stream")
def step_nothing_told(context):
    assert context.world.counts["told"] == 0, context.world.counts
