"""The daemons and targets as this daemon sees them.

Sources are the platform's VM list, which lags, and what daemons see themselves:
announcements, lost links, health answers, refused connections. For new work the
most pessimistic sign counts. Absence from the VM list is no sign: a listing may
be partial, and a VM that is gone shows by its silence anyway.

The VM list is large, so a daemon looks at it as often as its size allows
(``_LIST_BYTES_PER_SECOND``), and tells its peers what changed: with more
daemons each looks less often, and the fleet looks as often as before.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import AvailabilityZone, CustomerId, DaemonId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.ports.vms import Vm, VmListPort, VmRole, VmState
from lycheepost.state.addresses import (
    Addresses,
    Member,
    MemberState,
    choose_addresses,
    load_step,
)
from lycheepost.state.memberrules import MOST_SECONDS, differs, is_newer
from lycheepost.state.signs import LISTED_VALID_SECONDS, SignSource, TargetSign
from lycheepost.state.targetstates import OnTargetSign, TargetStates
from lycheepost.state.view import ConfigurationView
from lycheepost.utils.tasks import start_task

_VM_BYTES = 120
_LIST_BYTES_PER_SECOND = 1000.0
"""Half of the 2 KB a second that control may cost a daemon. With 12,540 VMs a
daemon looks every 25 minutes, and 540 daemons look every 2.8 seconds together."""
_LOAD_NEWS_SECONDS = 10.0
_FLEET_LOAD_NEWS_SECONDS = 2.0
"""The whole fleet tells one change of load in two seconds at most: a flood costs
each daemon about 2 KB, which is all that control may cost in a second."""
_log = structlog.get_logger(part="members")

OnMember = Callable[[Member], None]
ChooseEntry = Callable[[tuple[Member, ...]], frozenset[DaemonId]]


class MemberKeeper:
    """Members and targets of one daemon; made by ``make_member_keeper``.

    Attributes:
        n_changes: Rises with each change of a member.
    """

    def __init__(
        self,
        vm_list: VmListPort,
        clock: Clock,
        me: Member,
        get_view: Callable[[], ConfigurationView],
        poll_seconds: float,
        addresses_valid_seconds: float,
        seed: int,
        names_unheard: bool = True,
        choose_entry: ChooseEntry | None = None,
        fleet_poll_seconds: float = 0.0,
    ) -> None:
        self._fleet_poll_seconds = fleet_poll_seconds
        self._names_unheard = names_unheard
        self._choose_entry = choose_entry
        self._entry: frozenset[DaemonId] | None = None
        self._vm_list = vm_list
        self._clock = clock
        self._me = me
        self._get_view = get_view
        self._poll_seconds = poll_seconds
        self._addresses_valid_seconds = addresses_valid_seconds
        self._random = random.Random(seed)
        self._members: dict[DaemonId, Member] = {me.daemon: me}
        self._since_seconds: dict[DaemonId, float] = {}
        self._targets = TargetStates()
        self._answers: dict[CustomerId | None, Addresses] = {}
        self._answers_view: ConfigurationView | None = None
        self._listed: dict[str, VmState] = {}
        self._n_vms = 0
        self._task: asyncio.Task[None] | None = None
        self._on_member: list[OnMember] = []
        self._load_news_seconds = float("-inf")
        self.n_changes = 0
        self.n_lists = 0
        self.n_failed_lists = 0

    async def start(self) -> None:
        """Start to look at the VM list."""
        self._task = start_task(self._run(), "members")

    async def drain(self) -> None:
        """Leave the addresses answers, here and through the peers."""
        self.announce_leaving()

    async def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def status(self) -> dict[str, object]:
        """Return members and targets for ``/admin/status``."""
        return {
            "n_lists": self.n_lists,
            "n_failed_lists": self.n_failed_lists,
            "members": {
                str(member.daemon): member.state.value for member in self.members()
            },
            "targets": {
                str(target): state.value
                for target, state in self.target_states().items()
            },
        }

    def on_target_sign(self, callback: OnTargetSign) -> None:
        """Call ``callback`` with signs that peers should hear of."""
        self._targets.on_sign(callback)

    def on_member(self, callback: OnMember) -> None:
        """Call ``callback`` with members whose state peers should hear of."""
        self._on_member.append(callback)

    def addresses(self, customer: CustomerId | None, now_seconds: float) -> Addresses:
        """Return where callers of ``customer`` should connect, in order."""
        self._expire(now_seconds)
        view = self._get_view()
        if view is not self._answers_view:
            self._answers_view = view
            self._answers.clear()
        answer = self._answers.get(customer)
        if answer is None:
            # Choosing among 540 members takes most of a millisecond.
            answer = self._choose(customer)
            self._answers[customer] = answer
        return answer

    def _choose(self, customer: CustomerId | None) -> Addresses:
        chosen = choose_addresses(
            self._nameable(),
            customer,
            self._me.availability_zone,
            self._traffic_share(customer),
            None if self._choose_entry is None else self.entry(),
        )
        return Addresses(chosen, self._addresses_valid_seconds)

    def entry(self) -> frozenset[DaemonId]:
        """Return the daemons that carry the traffic, among those heard of."""
        if self._entry is None:
            nameable = self._nameable()
            names = frozenset(member.daemon for member in nameable)
            choose = self._choose_entry
            self._entry = names if choose is None else choose(nameable)
        return self._entry

    def choose_anew(self) -> None:
        """Choose answers and entry daemons anew: what they rest on has changed."""
        self.n_changes += 1
        self._answers.clear()
        self._entry = None

    def _nameable(self) -> tuple[Member, ...]:
        """Return the daemons that an answer may name.

        Where the list is made of rows that daemons write themselves, one that died
        left its row behind. A daemon that starts later would name it until its
        silence shows; so only those that have been heard of are named.
        """
        return tuple(
            member
            for member in self._members.values()
            if self._names_unheard or member.boot
        )

    def target_states(self) -> dict[TargetId, TargetState]:
        """Return the state of every configured target for new work."""
        targets = self._get_view().targets
        return self._targets.states(targets, self._clock.now_seconds())

    def target_state(self, target: TargetId) -> TargetState | None:
        """Return the state of one target; None when it is not configured."""
        configured = self._get_view().targets.get(target)
        return self._targets.state(target, configured, self._clock.now_seconds())

    def observe_target(
        self, target: TargetId, sign: TargetSign, now_seconds: float
    ) -> None:
        """Take note of what was seen of a target; peers hear of bad signs."""
        configured = self._get_view().targets.get(target)
        self._targets.observe(target, configured, sign, now_seconds)

    def members(self) -> tuple[Member, ...]:
        """Return every daemon known, this one too."""
        self._expire(self._clock.now_seconds())
        return tuple(self._members.values())

    def get(self, daemon: DaemonId) -> Member | None:
        """Return one daemon, or None when it is not known."""
        return self._members.get(daemon)

    def me(self) -> Member:
        """Return this daemon."""
        return self._me

    def n_live(self) -> int:
        """Return how many daemons are live or suspect; 0 while nothing is known.

        Whoever spreads work over the fleet must wait until it is known: a
        thousand daemons that each took themselves for the only one would all
        turn to the table at once.
        """
        has_looked = self.n_lists + self.n_failed_lists > 0
        if len(self._members) == 1 and not has_looked:
            return 0
        live = (MemberState.LIVE, MemberState.SUSPECT)
        return max(1, sum(member.state in live for member in self._members.values()))

    def owner_is_live(self, daemon: DaemonId, boot: str) -> bool:
        """Return whether this very start of a daemon still runs, as far as known."""
        member = self._members.get(daemon)
        if member is None or member.state is MemberState.GONE:
            return False
        return not member.boot or member.boot == boot

    def add_seed(self, daemon: DaemonId, endpoint: str) -> None:
        """Take a peer from the settings, to ask before anything else is known."""
        if daemon != self._me.daemon and daemon not in self._members:
            zone = AvailabilityZone("")
            self._put(Member(daemon, "", MemberState.LIVE, zone, "", endpoint))

    def set_peer_endpoint(self, endpoint: str) -> None:
        """Tell where peers reach this daemon, once its socket is open."""
        self._update_me(replace(self._me, peer_endpoint=endpoint))

    def set_callers_url(self, url: str) -> None:
        """Tell where callers reach this daemon, once its listener is open."""
        self._update_me(replace(self._me, callers_url=url))

    def set_load(self, load: float) -> None:
        """Tell the share of this daemon's capacity that is in use, 0 to 1."""
        now_seconds = self._clock.now_seconds()
        is_same_step = load_step(load) == load_step(self._me.load)
        interval_seconds = max(
            _LOAD_NEWS_SECONDS, self.n_live() * _FLEET_LOAD_NEWS_SECONDS
        )
        if is_same_step or now_seconds - self._load_news_seconds < interval_seconds:
            return
        self._load_news_seconds = now_seconds
        self._update_me(replace(self._me, load=load))

    def announce_leaving(self) -> None:
        """Tell peers that this daemon leaves, or cannot serve for now."""
        self._update_me(replace(self._me, state=MemberState.LEAVING))

    def announce_live(self) -> None:
        """Tell peers that this daemon serves again, after it had to step back."""
        if self._me.state is not MemberState.LIVE:
            self._update_me(replace(self._me, state=MemberState.LIVE))

    def hear(self, member: Member) -> bool:
        """Take what is said of a daemon; return whether it was news."""
        if member.daemon == self._me.daemon:
            self._refute(member)
            return False
        known = self._members.get(member.daemon)
        if member.state is MemberState.SUSPECT:
            return self._hear_suspicion(member, known)
        if known is not None and not is_newer(member, known):
            return False
        self._put(member)
        return known is None or differs(known, member)

    def suspect(self, daemon: DaemonId, now_seconds: float) -> None:
        """Take note that a daemon does not answer, and tell the peers."""
        known = self._members.get(daemon)
        if known is None or known.state is not MemberState.LIVE:
            return
        suspected = replace(known, state=MemberState.SUSPECT)
        self._put(suspected)
        _log.info("members: suspect", daemon=daemon)
        for callback in self._on_member:
            callback(suspected)

    def take_list(self, vms: tuple[Vm, ...], now_seconds: float) -> None:
        """Take one look at the VM list."""
        self._n_vms = max(len(vms), 1)
        for vm in vms:
            match vm.role:
                case VmRole.DAEMON:
                    self._take_daemon(vm)
                case VmRole.TARGET:
                    self._take_target(vm, now_seconds)

    def _take_daemon(self, vm: Vm) -> None:
        name = DaemonId(vm.name)
        known = self._members.get(name)
        if name == self._me.daemon:
            return
        if known is None:
            state = (
                MemberState.LIVE if vm.state is VmState.LIVE else MemberState.LEAVING
            )
            zone = AvailabilityZone(vm.availability_zone)
            self._put(Member(name, "", state, zone, vm.callers_url, vm.peer_endpoint))
        elif vm.state is VmState.LEAVING and known.state is MemberState.LIVE:
            self._put(replace(known, state=MemberState.LEAVING))
        elif not known.boot and vm.peer_endpoint != known.peer_endpoint:
            self._put(
                replace(
                    known, peer_endpoint=vm.peer_endpoint, callers_url=vm.callers_url
                )
            )

    def _take_target(self, vm: Vm, now_seconds: float) -> None:
        state = TargetState.SERVING if vm.state is VmState.LIVE else TargetState.LEAVING
        sign = TargetSign(SignSource.VM_LIST, state, LISTED_VALID_SECONDS)
        self.observe_target(TargetId(vm.name), sign, now_seconds)

    def _traffic_share(self, customer: CustomerId | None) -> float:
        customers = self._get_view().customers
        total = sum(item.share_weight for item in customers.values())
        known = None if customer is None else customers.get(customer)
        return known.share_weight / total if known is not None and total else 0.0

    def _put(self, member: Member) -> None:
        before = self._members.get(member.daemon)
        self._members[member.daemon] = member
        self.choose_anew()
        if member.state is MemberState.LIVE or member.daemon == self._me.daemon:
            self._since_seconds.pop(member.daemon, None)
        elif before is None or before.state is not member.state:
            self._since_seconds[member.daemon] = self._clock.now_seconds()

    def _update_me(self, member: Member) -> None:
        is_news = differs(self._me, member)
        if is_news:
            member = replace(member, sequence=member.sequence + 1)
        self._me = member
        self._put(member)
        if is_news:
            for callback in self._on_member:
                callback(member)

    def _refute(self, said: Member) -> None:
        """Say again that this daemon lives when others take it for dead."""
        if said.boot == self._me.boot and said.state is not self._me.state:
            sequence = max(said.sequence, self._me.sequence) + 1
            self._me = replace(self._me, sequence=sequence)
            self._put(self._me)
            for callback in self._on_member:
                callback(self._me)

    def _hear_suspicion(self, said: Member, known: Member | None) -> bool:
        if known is None or known.state is not MemberState.LIVE:
            return False
        if known.boot != said.boot or known.sequence > said.sequence:
            return False
        self._put(replace(known, state=MemberState.SUSPECT))
        return True

    def _expire(self, now_seconds: float) -> None:
        """Take the silent for gone, and forget those who are gone for long."""
        for daemon, since_seconds in list(self._since_seconds.items()):
            member = self._members[daemon]
            if now_seconds - since_seconds <= MOST_SECONDS[member.state]:
                continue
            if member.state is MemberState.GONE:
                del self._members[daemon], self._since_seconds[daemon]
                self.choose_anew()
            else:
                self._put(replace(member, state=MemberState.GONE))

    async def look(self) -> bool:
        """Look at the VM list once; return whether it answered."""
        match await self._vm_list.list_vms():
            case Success(vms):
                self.n_lists += 1
                self.take_list(vms, self._clock.now_seconds())
                return True
            case Failure(error):
                self.n_failed_lists += 1
                _log.info("members: list not read", reason=error.reason)
        return False

    async def _run(self) -> None:
        while True:
            await self.look()
            await asyncio.sleep(self._next_look_seconds())

    def _next_look_seconds(self) -> float:
        allowed_seconds = self._n_vms * _VM_BYTES / _LIST_BYTES_PER_SECOND
        shared_seconds = self.n_live() * self._fleet_poll_seconds
        mean_seconds = max(self._poll_seconds, allowed_seconds, shared_seconds)
        return mean_seconds * self._random.uniform(0.5, 1.5)


def make_member_keeper(
    vm_list: VmListPort,
    clock: Clock,
    me: Member,
    get_view: Callable[[], ConfigurationView],
    poll_seconds: float = 2.0,
    addresses_valid_seconds: float = 10.0,
    seed: int = 0,
    names_unheard: bool = True,
    choose_entry: ChooseEntry | None = None,
    fleet_poll_seconds: float = 0.0,
) -> MemberKeeper:
    """Return the members and targets of one daemon.

    Args:
        vm_list: The platform's list.
        clock: Clock of this daemon.
        me: This daemon, with its availability zone and addresses.
        get_view: Returns the configuration in force.
        poll_seconds: Shortest time between looks at the list.
        addresses_valid_seconds: How long callers may keep an answer.
        seed: Seed of the jitter.
        names_unheard: Name daemons in answers that are only on the list.
        choose_entry: Returns the daemons that carry the traffic, of those that serve;
            only they are named in answers. None for all.
        fleet_poll_seconds: Shortest time between looks of any two daemons of the fleet.
    """
    return MemberKeeper(
        vm_list,
        clock,
        me,
        get_view,
        poll_seconds,
        addresses_valid_seconds,
        seed,
        names_unheard,
        choose_entry,
        fleet_poll_seconds,
    )
