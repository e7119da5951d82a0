"""Passes KV-cache events of engines and KV stores to the scheduler."""

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.core.routing import RouteTable
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.records import TargetView
from lycheepost.generated.engine import CacheEvent
from lycheepost.state.targetlist import TargetList
from lycheepost.targets.cachewatch import CacheEventsPort, CacheSource, CacheWatch


class CacheFollower:
    """Subscribes to the cache events of engines and KV stores.

    A daemon sends only its own part of the traffic. The events report what requests
    of other daemons added to a cache or evicted from it.

    Args:
        port: Requests events.
        dispatcher: Places requests by the cached prefixes of engines.
        targets: The listed engines.
        kv_store_contents: The estimated contents of the KV stores.
        may_follow_engines: Whether events of engines are followed as well as those of
            stores.
    """

    def __init__(
        self,
        port: CacheEventsPort,
        dispatcher: Dispatcher,
        targets: TargetList,
        kv_store_contents: KvStoreContents,
        may_follow_engines: bool = True,
    ) -> None:
        self._may_follow_engines = may_follow_engines
        self._follows_engines = True
        self._follows_stores = True
        self._kv_store_contents = kv_store_contents
        self._watch = CacheWatch(port, self._apply_events)
        self._dispatcher = dispatcher
        self._targets = targets
        self._table: RouteTable | None = None
        self._listed: frozenset[TargetId] = frozenset()

    async def start(self) -> None:
        """Start following events."""
        await self._watch.start()

    async def drain(self) -> None:
        """Do nothing: requests are still placed during the drain."""

    async def stop(self) -> None:
        """Stop following events."""
        await self._watch.stop()

    def set_table(self, table: RouteTable) -> None:
        """Set the route table, which says which target groups are engines."""
        self._table = table
        self.refresh()

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Set the current targets."""
        self._listed = frozenset(view.target for view in views)
        self.refresh()

    def follow_engines(self, is_follower: bool) -> None:
        """Set whether this daemon follows the engines.

        An engine accepts only a few event requests at a time and refuses the others.
        If all daemons of a large fleet polled all engines, polling would dominate the
        load of both.
        """
        if is_follower != self._follows_engines:
            self._follows_engines = is_follower
            self.refresh()

    def follow_stores(self, is_follower: bool) -> None:
        """Set whether this daemon follows the KV stores."""
        if is_follower != self._follows_stores:
            self._follows_stores = is_follower
            self.refresh()

    def refresh(self) -> None:
        """Update the set of followed engines and stores."""
        if self._table is None:
            return
        stores: list[str] = []
        if self._follows_stores:
            stores = [store.address for store in self._table.kv_stores]
        self._kv_store_contents.keep_only(stores)
        self._watch.follow([*self._engines(self._table), *map(_store_source, stores)])

    def _engines(self, table: RouteTable) -> list[CacheSource]:
        if not (self._may_follow_engines and self._follows_engines):
            return []
        return [
            CacheSource(target.target, target.start.incarnation, target.address)
            for name, group in table.groups.items()
            if group.engine is not None
            for target in self._targets.listed(name)
            if target.target in self._listed and not target.is_leaving
        ]

    def _apply_events(
        self, source: CacheSource, events: tuple[CacheEvent, ...]
    ) -> None:
        if source.target is None:
            self._kv_store_contents.observe(source.address, source.incarnation, events)
            return
        self._dispatcher.observe_cache_events(source.target, source.incarnation, events)


def _store_source(address: str) -> CacheSource:
    """Return a store as a source; its starts differ by their epoch only."""
    return CacheSource(None, Incarnation(address), address)
