"""Composes the shared state of one daemon into one component to start and stop."""

import secrets
from dataclasses import dataclass

from lycheepost.core.clock import Clock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.generated.configuration import Configuration
from lycheepost.generated.settings import Settings
from lycheepost.peers.exchange import ChoosePeers, PeerExchange, make_peer_exchange
from lycheepost.peers.membership import MemberExchange
from lycheepost.peers.revisions import RevisionExchange
from lycheepost.peers.transport import Transport
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import TablePort
from lycheepost.ports.vms import VmListPort
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.claim_expiry import ClaimExpiryWork
from lycheepost.state.claims import ClaimLimits, ClaimManager, make_claim_manager
from lycheepost.state.duties import DutyRunner, Work, is_candidate
from lycheepost.state.leases import LeaseManager
from lycheepost.state.members import MemberManager, make_member_manager
from lycheepost.state.revisions import RevisionManager, make_revision_manager
from lycheepost.state.snapshots import SnapshotWork

SNAPSHOT_DUTY = "snapshots"
EXPIRY_DUTY = "claim-expiry"
_DUTY_PERIOD_SHARE = 0.3
"""Share of a lease's length between renewals: three attempts before it expires."""


@dataclass(frozen=True, slots=True)
class Ports:
    """The platform services that the shared state uses."""

    table: TablePort
    objects: ObjectPort
    vm_list: VmListPort


@dataclass(frozen=True, slots=True)
class SharedState:
    """Components of one daemon's shared state; created by ``make_shared_state``."""

    revisions: RevisionManager
    members: MemberManager
    exchange: PeerExchange
    claims: ClaimManager
    leases: LeaseManager
    duties: tuple[DutyRunner, ...]

    async def start(self) -> None:
        """Start every component: peers before the table, so that they answer first."""
        await self.exchange.start()
        await self.members.start()
        await self.revisions.start()
        await self.claims.start()
        for duty in self.duties:
            await duty.start()

    async def drain(self) -> None:
        """Announce leaving, release duties and wait until answers are stored."""
        await self.members.drain()
        for duty in self.duties:
            await duty.drain()
        await self.claims.drain()

    async def stop(self) -> None:
        """Stop every component in reverse order."""
        for duty in self.duties:
            await duty.stop()
        await self.claims.stop()
        await self.revisions.stop()
        await self.members.stop()
        await self.exchange.stop()

    def status(self) -> dict[str, object]:
        """Return the status of every component."""
        return {
            "revisions": self.revisions.status(),
            "members": self.members.status(),
            "peers": self.exchange.status(),
            "claims": self.claims.status(),
            "duties": [duty.status() for duty in self.duties],
        }


def make_shared_state(
    ports: Ports,
    transport: Transport,
    clock: Clock,
    settings: Settings,
    fallback: Configuration | None = None,
    callers_url: str = "",
    boot: str = "",
    choose_peers: ChoosePeers = lambda _members: (),
) -> SharedState:
    """Return the shared state of one daemon.

    Args:
        ports: The platform's services.
        transport: Links to the other daemons.
        clock: A clock that includes time spent suspended.
        settings: The daemon's settings.
        fallback: Configuration to serve from until a better source answers.
        callers_url: Where callers reach this daemon, if already known; otherwise
            set later by ``members.set_callers_url``.
        boot: Unique for each start of the daemon, also the seed of its jitter;
            generated when empty.
        choose_peers: Chooses members to hold links with, besides those of the rings.
    """
    daemon = DaemonId(settings.daemon.daemon_id)
    boot = boot or secrets.token_hex(6)
    seed = hash_bytes(f"{daemon}/{boot}".encode())
    me = Member(
        daemon=daemon,
        boot=boot,
        state=MemberState.LIVE,
        availability_zone=AvailabilityZone(settings.daemon.availability_zone),
        callers_url=callers_url,
        peer_endpoint="",
        started_wall_seconds=clock.wall_seconds(),
    )
    state = settings.state
    revisions = make_revision_manager(
        ports.table,
        ports.objects,
        clock,
        state.poll_seconds,
        fallback,
        lambda: members.n_live(),
        seed,
    )
    members = make_member_manager(
        ports.vm_list,
        clock,
        me,
        lambda: revisions.view,
        state.vm_list_poll_seconds,
        state.addresses_valid_seconds,
        seed,
    )
    for peer in settings.peers.seeds:
        members.add_configured_peer(DaemonId(peer.daemon_id), peer.endpoint)
    exchange = make_peer_exchange(
        transport,
        members,
        clock,
        lambda: revisions.revision,
        settings.peers.fanout,
        settings.peers.exchange_seconds,
        choose_peers,
    )
    MemberExchange(exchange, members, clock)
    RevisionExchange(exchange, revisions, clock)
    claims = make_claim_manager(
        ports.table,
        ports.objects,
        clock,
        daemon,
        _claim_limits(settings),
        members.owner_is_live,
        boot,
        lambda: max(members.n_live(), _MIN_DAEMONS),
    )
    leases = LeaseManager(
        ports.table, clock, daemon, state.lease_seconds, state.lease_margin_seconds
    )

    def make_duty(duty: str, work: Work) -> DutyRunner:
        return DutyRunner(
            leases,
            duty,
            lambda: is_candidate(duty, daemon, members.members()),
            work,
            state.lease_seconds * _DUTY_PERIOD_SHARE,
            clock,
            seed,
        )

    snapshots = SnapshotWork(ports.table, ports.objects, revisions)
    expiry = ClaimExpiryWork(
        ports.table, ports.objects, clock, state.claim_keep_seconds
    )
    duties = (
        make_duty(SNAPSHOT_DUTY, snapshots.work),
        make_duty(EXPIRY_DUTY, expiry.work),
    )
    return SharedState(revisions, members, exchange, claims, leases, duties)


def _claim_limits(settings: Settings) -> ClaimLimits:
    max_writes_per_second = settings.platform.table_writes_per_second
    return ClaimLimits(
        wait_seconds=2 * settings.platform.timeout_seconds,
        answer_bytes=settings.streams.stored_answer_bytes,
        batch_seconds=settings.state.claim_batch_seconds,
        batch_rows=settings.state.claim_batch,
        max_writes_per_second=max_writes_per_second,
    )


_MIN_DAEMONS = 7
"""Daemons of a typical deployment, assumed until more members are known."""
