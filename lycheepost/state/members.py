"""This daemon's view of the daemons and targets.

The sources are the platform's VM list, which lags, and what daemons observe
themselves: announcements, lost links, health responses, refused connections. For new
work the most pessimistic signal counts. Absence from the VM list is not a signal: a
listing may be partial, and a VM that is gone stops responding anyway.

The VM list is large, so a daemon polls it as often as its size allows
(``_LIST_BYTES_PER_SECOND``) and notifies its peers of changes. In a larger fleet each
daemon polls less often, while the rate of the whole fleet stays the same.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    DaemonId,
    TargetGroupId,
    TargetId,
)
from lycheepost.decide.records import TargetState
from lycheepost.ports.vms import Vm, VmListPort, VmRole, VmState
from lycheepost.state.addresses import (
    Addresses,
    Member,
    MemberState,
    choose_addresses,
    load_step,
)
from lycheepost.state.memberrules import MAX_STATE_SECONDS, differs, is_newer
from lycheepost.state.signals import LISTED_VALID_SECONDS, SignalSource, TargetSignal
from lycheepost.state.targetstates import OnTargetSignal, TargetStates
from lycheepost.state.view import ConfigurationView
from lycheepost.utils.tasks import start_task

_VM_BYTES = 120
_LIST_BYTES_PER_SECOND = 1000.0
"""Half of the 2 KB a second that a daemon may use for control traffic. With 12,540 VMs
a daemon polls every 25 minutes, and 540 daemons together poll every 2.8 seconds."""
_MIN_LOAD_UPDATE_SECONDS = 10.0
_FLEET_LOAD_UPDATE_SECONDS = 2.0
"""The fleet publishes at most one load change per two seconds: broadcasting one costs
each daemon about 2 KB, the whole control budget of a second."""
_log = structlog.get_logger(part="members")

OnMember = Callable[[Member], None]
ChooseEntryDaemons = Callable[[tuple[Member, ...]], frozenset[DaemonId]]


class MemberManager:
    """Members and targets known to a daemon; created by ``make_member_manager``.

    Attributes:
        n_changes: Increases with each change of a member.
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
        includes_unconfirmed: bool = True,
        choose_entry_daemons: ChooseEntryDaemons | None = None,
        fleet_poll_seconds: float = 0.0,
    ) -> None:
        self._fleet_poll_seconds = fleet_poll_seconds
        self._includes_unconfirmed = includes_unconfirmed
        self._choose_entry_daemons = choose_entry_daemons
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
        self._address_cache: dict[CustomerId | None, Addresses] = {}
        self._address_cache_view: ConfigurationView | None = None
        self._listed: dict[str, VmState] = {}
        self._n_vms = 0
        self._task: asyncio.Task[None] | None = None
        self._on_member: list[OnMember] = []
        self._load_published_seconds = float("-inf")
        self.n_changes = 0
        self.n_lists = 0
        self.n_failed_lists = 0

    async def start(self) -> None:
        """Start polling the VM list."""
        self._task = start_task(self._run(), "members")

    async def drain(self) -> None:
        """Announce leaving, so that address responses no longer name this daemon."""
        self.announce_leaving()

    async def stop(self) -> None:
        """Stop polling."""
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

    def on_target_signal(self, callback: OnTargetSignal) -> None:
        """Call ``callback`` with each target signal to send to peers."""
        self._targets.on_signal(callback)

    def on_member(self, callback: OnMember) -> None:
        """Call ``callback`` with each member whose state is to be sent to peers."""
        self._on_member.append(callback)

    def addresses(self, customer: CustomerId | None, now_seconds: float) -> Addresses:
        """Return the addresses for callers of ``customer``, in order of preference."""
        self._expire(now_seconds)
        view = self._get_view()
        if view is not self._address_cache_view:
            self._address_cache_view = view
            self._address_cache.clear()
        answer = self._address_cache.get(customer)
        if answer is None:
            # Cached: choosing among 540 members takes most of a millisecond.
            answer = self._choose(customer)
            self._address_cache[customer] = answer
        return answer

    def _choose(self, customer: CustomerId | None) -> Addresses:
        chosen = choose_addresses(
            self._eligible_members(),
            customer,
            self._me.availability_zone,
            self._traffic_share(customer),
            None if self._choose_entry_daemons is None else self.entry(),
        )
        return Addresses(chosen, self._addresses_valid_seconds)

    def entry(self) -> frozenset[DaemonId]:
        """Return the entry daemons, which carry the traffic."""
        if self._entry is None:
            eligible = self._eligible_members()
            names = frozenset(member.daemon for member in eligible)
            choose = self._choose_entry_daemons
            self._entry = names if choose is None else choose(eligible)
        return self._entry

    def invalidate_choices(self) -> None:
        """Discard the cached addresses and entry daemons after a change."""
        self.n_changes += 1
        self._address_cache.clear()
        self._entry = None

    def _eligible_members(self) -> tuple[Member, ...]:
        """Return the daemons that an address response may name.

        If the list consists of rows that daemons write themselves, a daemon that died
        leaves its row behind. A daemon started later would name it until it is found
        unreachable, so only daemons that have sent a message are named.
        """
        return tuple(
            member
            for member in self._members.values()
            if self._includes_unconfirmed or member.boot
        )

    def target_states(self) -> dict[TargetId, TargetState]:
        """Return the state of every configured target for new work."""
        targets = self._get_view().targets
        return self._targets.states(targets, self._clock.now_seconds())

    def target_state(self, target: TargetId) -> TargetState | None:
        """Return the state of one target; None when it is not configured."""
        configured = self._get_view().targets.get(target)
        return self._targets.state(target, configured, self._clock.now_seconds())

    @property
    def are_paths_lost(self) -> bool:
        """Return whether this daemon itself likely reaches no target."""
        return self._targets.are_paths_lost

    def observe_target(
        self, target: TargetId, signal: TargetSignal, now_seconds: float
    ) -> None:
        """Record a signal of a target; peers are notified of bad ones."""
        configured = self._get_view().targets.get(target)
        self._targets.observe(target, configured, signal, now_seconds)

    def note_unanswered(self, target: TargetId) -> None:
        """Record a target that accepted a connection and gave no response."""
        self._targets.note_unanswered(target)

    def members(self) -> tuple[Member, ...]:
        """Return all known daemons, including this one."""
        self._expire(self._clock.now_seconds())
        return tuple(self._members.values())

    def get(self, daemon: DaemonId) -> Member | None:
        """Return one daemon, or None if it is unknown."""
        return self._members.get(daemon)

    def me(self) -> Member:
        """Return this daemon."""
        return self._me

    def n_live(self) -> int:
        """Return how many daemons are live or suspect; 0 while nothing is known.

        Code that spreads work over the fleet must wait until the number is known: if a
        thousand daemons each assumed to be the only one, all would read the table at
        once.
        """
        has_polled = self.n_lists + self.n_failed_lists > 0
        if len(self._members) == 1 and not has_polled:
            return 0
        live = (MemberState.LIVE, MemberState.SUSPECT)
        return max(1, sum(member.state in live for member in self._members.values()))

    def owner_is_live(self, daemon: DaemonId, boot: str) -> bool:
        """Return whether this start of a daemon still runs, as far as known."""
        member = self._members.get(daemon)
        if member is None or member.state is MemberState.GONE:
            return False
        return not member.boot or member.boot == boot

    def add_configured_peer(self, daemon: DaemonId, endpoint: str) -> None:
        """Add a peer from the settings, to contact before any other is known."""
        if daemon != self._me.daemon and daemon not in self._members:
            zone = AvailabilityZone("")
            self._put(Member(daemon, "", MemberState.LIVE, zone, "", endpoint))

    def set_peer_endpoint(self, endpoint: str) -> None:
        """Announce the endpoint for peers, once its socket is open."""
        self._update_me(replace(self._me, peer_endpoint=endpoint))

    def set_callers_url(self, url: str) -> None:
        """Announce the URL for callers, once its listener is open."""
        self._update_me(replace(self._me, callers_url=url))

    def set_load(self, load: float) -> None:
        """Announce the share of this daemon's capacity that is in use, 0 to 1."""
        now_seconds = self._clock.now_seconds()
        is_same_step = load_step(load) == load_step(self._me.load)
        interval_seconds = max(
            _MIN_LOAD_UPDATE_SECONDS, self.n_live() * _FLEET_LOAD_UPDATE_SECONDS
        )
        if (
            is_same_step
            or now_seconds - self._load_published_seconds < interval_seconds
        ):
            return
        self._load_published_seconds = now_seconds
        self._update_me(replace(self._me, load=load))

    def set_unreached_groups(self, groups: frozenset[TargetGroupId]) -> None:
        """Announce the target groups of which this daemon reaches no target."""
        self._update_me(replace(self._me, unreached_groups=groups))

    def announce_leaving(self) -> None:
        """Notify peers that this daemon is leaving, or cannot serve for now."""
        self._update_me(replace(self._me, state=MemberState.LEAVING))

    def announce_live(self) -> None:
        """Notify peers that this daemon serves again after an interruption."""
        if self._me.state is not MemberState.LIVE:
            self._update_me(replace(self._me, state=MemberState.LIVE))

    def merge(self, member: Member) -> bool:
        """Merge a received member record; return whether it changed anything."""
        if member.daemon == self._me.daemon:
            self._refute(member)
            return False
        known = self._members.get(member.daemon)
        if member.state is MemberState.SUSPECT:
            return self._merge_suspicion(member, known)
        if known is not None and not is_newer(member, known):
            return False
        if known is not None and known.unreached_groups != member.unreached_groups:
            _log.info(
                "members: paths of a daemon to targets",
                daemon=member.daemon,
                unreached_groups=sorted(member.unreached_groups),
            )
        self._put(member)
        return known is None or differs(known, member)

    def suspect(self, daemon: DaemonId, now_seconds: float) -> None:
        """Mark a daemon that does not respond as suspect, and notify the peers."""
        known = self._members.get(daemon)
        if known is None or known.state is not MemberState.LIVE:
            return
        suspected = replace(known, state=MemberState.SUSPECT)
        self._put(suspected)
        _log.info("members: daemon does not respond", daemon=daemon)
        for callback in self._on_member:
            callback(suspected)

    def apply_vm_list(self, vms: tuple[Vm, ...], now_seconds: float) -> None:
        """Apply one reading of the VM list."""
        self._n_vms = max(len(vms), 1)
        for vm in vms:
            match vm.role:
                case VmRole.DAEMON:
                    self._apply_daemon(vm)
                case VmRole.TARGET:
                    self._apply_target(vm, now_seconds)

    def _apply_daemon(self, vm: Vm) -> None:
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

    def _apply_target(self, vm: Vm, now_seconds: float) -> None:
        state = TargetState.SERVING if vm.state is VmState.LIVE else TargetState.LEAVING
        signal = TargetSignal(SignalSource.VM_LIST, state, LISTED_VALID_SECONDS)
        self.observe_target(TargetId(vm.name), signal, now_seconds)

    def _traffic_share(self, customer: CustomerId | None) -> float:
        customers = self._get_view().customers
        total = sum(item.share_weight for item in customers.values())
        known = None if customer is None else customers.get(customer)
        return known.share_weight / total if known is not None and total else 0.0

    def _put(self, member: Member) -> None:
        before = self._members.get(member.daemon)
        self._members[member.daemon] = member
        self.invalidate_choices()
        if member.state is MemberState.LIVE or member.daemon == self._me.daemon:
            self._since_seconds.pop(member.daemon, None)
        elif before is None or before.state is not member.state:
            self._since_seconds[member.daemon] = self._clock.now_seconds()

    def _update_me(self, member: Member) -> None:
        is_change = differs(self._me, member)
        if is_change:
            member = replace(member, sequence=member.sequence + 1)
        self._me = member
        self._put(member)
        if is_change:
            for callback in self._on_member:
                callback(member)

    def _refute(self, received: Member) -> None:
        """Announce this daemon's state again when peers have a wrong one."""
        if received.boot == self._me.boot and received.state is not self._me.state:
            sequence = max(received.sequence, self._me.sequence) + 1
            self._me = replace(self._me, sequence=sequence)
            self._put(self._me)
            for callback in self._on_member:
                callback(self._me)

    def _merge_suspicion(self, received: Member, known: Member | None) -> bool:
        if known is None or known.state is not MemberState.LIVE:
            return False
        if known.boot != received.boot or known.sequence > received.sequence:
            return False
        self._put(replace(known, state=MemberState.SUSPECT))
        return True

    def _expire(self, now_seconds: float) -> None:
        """Mark members as gone after their time limit, and later remove them."""
        for daemon, since_seconds in list(self._since_seconds.items()):
            member = self._members[daemon]
            if now_seconds - since_seconds <= MAX_STATE_SECONDS[member.state]:
                continue
            if member.state is MemberState.GONE:
                del self._members[daemon], self._since_seconds[daemon]
                self.invalidate_choices()
            else:
                self._put(replace(member, state=MemberState.GONE))

    async def poll(self) -> bool:
        """Poll the VM list once; return whether that succeeded."""
        match await self._vm_list.list_vms():
            case Success(vms):
                self.n_lists += 1
                self.apply_vm_list(vms, self._clock.now_seconds())
                return True
            case Failure(error):
                self.n_failed_lists += 1
                _log.info("members: VM list not read", reason=error.reason)
        return False

    async def _run(self) -> None:
        while True:
            await self.poll()
            await asyncio.sleep(self._next_poll_seconds())

    def _next_poll_seconds(self) -> float:
        allowed_seconds = self._n_vms * _VM_BYTES / _LIST_BYTES_PER_SECOND
        shared_seconds = self.n_live() * self._fleet_poll_seconds
        mean_seconds = max(self._poll_seconds, allowed_seconds, shared_seconds)
        return mean_seconds * self._random.uniform(0.5, 1.5)


def make_member_manager(
    vm_list: VmListPort,
    clock: Clock,
    me: Member,
    get_view: Callable[[], ConfigurationView],
    poll_seconds: float = 2.0,
    addresses_valid_seconds: float = 10.0,
    seed: int = 0,
    includes_unconfirmed: bool = True,
    choose_entry_daemons: ChooseEntryDaemons | None = None,
    fleet_poll_seconds: float = 0.0,
) -> MemberManager:
    """Return the manager of the members and targets known to one daemon.

    Args:
        vm_list: The platform's list.
        clock: Clock of this daemon.
        me: This daemon, with its availability zone and addresses.
        get_view: Returns the configuration in force.
        poll_seconds: Minimum time between polls of the list.
        addresses_valid_seconds: How long callers may cache an address response.
        seed: Seed of the jitter.
        includes_unconfirmed: Whether address responses may name daemons that are on the
            list but have sent no message yet.
        choose_entry_daemons: Returns the entry daemons among those that serve; address
            responses name only them. None for all daemons.
        fleet_poll_seconds: Minimum time between polls of any two daemons of the fleet.
    """
    return MemberManager(
        vm_list,
        clock,
        me,
        get_view,
        poll_seconds,
        addresses_valid_seconds,
        seed,
        includes_unconfirmed,
        choose_entry_daemons,
        fleet_poll_seconds,
    )
