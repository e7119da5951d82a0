"""The neighbours of this daemon in the fleet, computed from the known members."""

from dataclasses import dataclass

import structlog

from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.ids import DaemonId
from lycheepost.decide.entry import SMALL_FLEET_DAEMONS, choose_entry
from lycheepost.decide.feedtree import find_sources
from lycheepost.peers.neighbours import LINKED_STATES
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.members import MemberManager

MAX_REPLACED_SHARE = 2.0 / 3.0
"""Share of the entry daemons up to which those without paths to a target group are
replaced. It covers the loss of an availability zone and some more. If all targets of a
group are down, replacing the daemons that notice it first would change the entry
daemons again and again."""

_log = structlog.get_logger(part="fleet")


@dataclass(frozen=True, slots=True)
class FleetTopology:
    """The fleet as seen by one daemon.

    Attributes:
        entry: The entry daemons, whose addresses are published to callers.
        peers: The daemons that it exchanges load and notices with: the other entry
            daemons if it is one itself, otherwise none. In a small fleet all known
            daemons.
        sources: The daemons that it requests store updates from, best first.
        n_members: Number of daemons that are not gone, itself included.
    """

    entry: frozenset[DaemonId]
    peers: tuple[DaemonId, ...]
    sources: tuple[DaemonId, ...]
    n_members: int = 1

    def is_peer(self, daemon: DaemonId) -> bool:
        """Return whether a daemon is one of those that exchange load and notices."""
        return self.n_members <= SMALL_FLEET_DAEMONS or daemon in self.entry


class EntryChooser:
    """Chooses the entry daemons among members.

    Args:
        ignores_paths: Whether daemons that reach no target of a group are chosen like
            others.

    Attributes:
        n_targets: Number of targets of the fleet.
    """

    def __init__(self, ignores_paths: bool = False) -> None:
        self.n_targets = 0
        self._ignores_paths = ignores_paths

    def choose(self, members: tuple[Member, ...]) -> frozenset[DaemonId]:
        """Return the entry daemons among the members that are live.

        If none is live, as while the store is down, they are chosen among all members
        that may become live again, so that entry daemons keep exchanging updates.
        Daemons without paths to a target group are replaced by others, unless most of
        them are without: then its targets are down.
        """
        live = [item for item in members if item.state is MemberState.LIVE]
        found = live or [item for item in members if item.state in LINKED_STATES]
        entry = self._choose(found)
        n_cut = sum(
            item.daemon in entry and bool(item.unreached_groups) for item in found
        )
        if self._ignores_paths or not 0 < n_cut <= MAX_REPLACED_SHARE * len(entry):
            return entry
        return self._choose([item for item in found if not item.unreached_groups])

    def _choose(self, members: list[Member]) -> frozenset[DaemonId]:
        return choose_entry(map(to_fleet_member, members), self.n_targets)


def find_topology(
    me: Member, members: tuple[Member, ...], entry: frozenset[DaemonId]
) -> FleetTopology:
    """Return the topology as seen by ``me``.

    Args:
        me: This daemon.
        members: All known daemons.
        entry: The entry daemons.
    """
    others = [item for item in members if item.daemon != me.daemon]
    known = [item for item in others if item.state is not MemberState.GONE]
    peers = _find_peers(me, known, entry)
    live = {item.daemon for item in others if item.state is MemberState.LIVE}
    sources = find_sources(to_fleet_member(me), map(to_fleet_member, known), live)
    return FleetTopology(entry, peers, sources, len(known) + 1)


def _find_peers(
    me: Member, known: list[Member], entry: frozenset[DaemonId]
) -> tuple[DaemonId, ...]:
    """Return the daemons that ``me`` exchanges load and notices with.

    In a small fleet these are all known daemons, including those that currently cannot
    serve: they still have requests in flight and will serve again.
    """
    if len(known) < SMALL_FLEET_DAEMONS:
        return tuple(sorted(item.daemon for item in known))
    return tuple(sorted(entry - {me.daemon})) if me.daemon in entry else ()


def to_fleet_member(member: Member) -> FleetMember:
    """Convert a member to the record used by ``decide``."""
    return FleetMember(member.daemon, member.availability_zone, member.capacity)


class TopologyTracker:
    """Computes the topology, and caches it until a member changes.

    With two hundred members the computation takes a millisecond, and the result is
    needed at each exchange with the peers and at each request to the store.

    Args:
        members: The members known to this daemon.
        chooser: Chooses the entry daemons for ``members``.
    """

    def __init__(self, members: MemberManager, chooser: EntryChooser) -> None:
        self._members = members
        self._chooser = chooser
        self._topology: FleetTopology | None = None
        self._change: int | None = None

    def set_targets(self, n_targets: int) -> None:
        """Set the number of targets; on a change, choose entry daemons again."""
        if n_targets != self._chooser.n_targets:
            self._chooser.n_targets = n_targets
            self._members.invalidate_choices()

    def topology(self) -> FleetTopology:
        """Return the current topology."""
        members = self._members.members()
        if self._topology is None or self._change != self._members.n_changes:
            self._change = self._members.n_changes
            before = self._topology
            me = self._members.me()
            self._topology = find_topology(me, members, self._members.entry())
            if self._topology != before:
                self._log_change(me, self._topology, len(members))
        return self._topology

    def _log_change(self, me: Member, topology: FleetTopology, n_members: int) -> None:
        _log.info(
            "fleet: topology changed",
            is_entry=me.daemon in topology.entry,
            entry=sorted(topology.entry),
            sources=topology.sources,
            n_members=n_members,
            n_targets=self._chooser.n_targets,
        )
