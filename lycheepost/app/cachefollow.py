"""Lets the decisions know what engines and stores keep of prompts' KV cache."""

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.core.routing import RouteTable
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.records import TargetView
from lycheepost.generated.engine import CacheEvent
from lycheepost.state.targetlist import TargetList
from lycheepost.targets.cachewatch import CacheEventsPort, CacheSource, CacheWatch


class CacheFollower:
    """Follows the cache events of engines and stores.

    A daemon sends only its own part of the traffic; what the other daemons' requests
    put into a cache, or drove out of it, it learns from the events.

    Args:
        port: Asks for events.
        dispatcher: Places requests by what engines keep.
        targets: The engines there are.
        copies: Decides what is sent to stores.
        may_follow_engines: Engines' events are followed, and not only those of stores.
    """

    def __init__(
        self,
        port: CacheEventsPort,
        dispatcher: Dispatcher,
        targets: TargetList,
        copies: KvStoreContents,
        may_follow_engines: bool = True,
    ) -> None:
        self._may_follow_engines = may_follow_engines
        self._follows_engines = True
        self._follows_stores = True
        self._copies = copies
        self._watch = CacheWatch(port, self._take)
        self._dispatcher = dispatcher
        self._targets = targets
        self._table: RouteTable | None = None
        self._viewed: frozenset[TargetId] = frozenset()

    async def start(self) -> None:
        """Begin to follow."""
        await self._watch.start()

    async def drain(self) -> None:
        """Go on: requests are still placed."""

    async def stop(self) -> None:
        """Stop following."""
        await self._watch.stop()

    def set_table(self, table: RouteTable) -> None:
        """Follow the route table: it says which targets are engines."""
        self._table = table
        self.refresh()

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Follow the engines that there are now."""
        self._viewed = frozenset(view.target for view in views)
        self.refresh()

    def follow_engines(self, is_follower: bool) -> None:
        """Follow the engines, or leave that to other daemons.

        An engine holds a few of these questions at a time and refuses the others.
        Were all daemons of a large fleet to ask all engines, most of what they and
        the engines do would be that.
        """
        if is_follower != self._follows_engines:
            self._follows_engines = is_follower
            self.refresh()

    def follow_stores(self, is_follower: bool) -> None:
        """Follow the KV stores, or leave that to other daemons."""
        if is_follower != self._follows_stores:
            self._follows_stores = is_follower
            self.refresh()

    def refresh(self) -> None:
        """Follow the engines and stores that there are now."""
        if self._table is None:
            return
        stores: list[str] = []
        if self._follows_stores:
            stores = [store.address for store in self._table.kv_stores]
        self._copies.keep_only(stores)
        self._watch.follow([*self._engines(self._table), *map(_store_source, stores)])

    def _engines(self, table: RouteTable) -> list[CacheSource]:
        if not (self._may_follow_engines and self._follows_engines):
            return []
        return [
            CacheSource(target.target, target.start.incarnation, target.address)
            for name, group in table.groups.items()
            if group.engine is not None
            for target in self._targets.listed(name)
            if target.target in self._viewed and not target.is_leaving
        ]

    def _take(self, source: CacheSource, events: tuple[CacheEvent, ...]) -> None:
        if source.target is None:
            self._copies.observe(source.address, source.incarnation, events)
            return
        self._dispatcher.observe_cache_events(source.target, source.incarnation, events)


def _store_source(address: str) -> CacheSource:
    """Return a store as a source; its epoch alone tells its starts apart."""
    return CacheSource(None, Incarnation(address), address)
