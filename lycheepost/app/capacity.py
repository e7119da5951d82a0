"""Builds the capacity duty of a daemon from its shared state and target clients."""

from lycheepost.app.platform import Platform
from lycheepost.core.clock import Clock
from lycheepost.core.hashing import hash_bytes
from lycheepost.decide.hotprefixes import HotPrefixes
from lycheepost.generated.settings import Settings
from lycheepost.operators.capacity_ports import CapacityDeps
from lycheepost.operators.capacity_runner import (
    DUTY,
    CapacityRunner,
    make_capacity_runner,
)
from lycheepost.operators.capacity_warm import KvWarmer
from lycheepost.peers.shared import SharedState
from lycheepost.state.duties import is_candidate
from lycheepost.targets.control import ControlClient
from lycheepost.targets.orders import make_order_client


def make_capacity(
    settings: Settings,
    platform: Platform,
    state: SharedState,
    control: ControlClient,
    hot: HotPrefixes,
    clock: Clock,
) -> CapacityRunner:
    """Return the component that carries out capacity intents.

    The control client is a separate component and must be started first.
    """
    me = state.members.me().daemon
    deps = CapacityDeps(
        revisions=state.revisions,
        leases=state.leases,
        orders=make_order_client(control),
        states=state.members.target_states,
        clock=clock,
        settings=settings.operators,
        is_candidate=lambda: is_candidate(DUTY, me, state.members.members()),
        vms=platform.vm_list,
        warm=KvWarmer(control, lambda: state.revisions.view, hot),
    )
    return make_capacity_runner(deps, seed=hash_bytes(me.encode()))
