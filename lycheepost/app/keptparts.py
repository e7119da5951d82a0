"""Joins the cache events of engines and stores with placement and copies.

Events of engines go to the scheduler's belief, which places by them, and with those
of the stores into ``decide.sources``, which says from where to copy.
"""

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.forwarddeps import KvSource
from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.core.routing import KvStore, ListedTarget, RouteTable
from lycheepost.decide.records import PrefixLevel
from lycheepost.decide.routes import choose_kv_store
from lycheepost.decide.sources import Keeper, KeptParts, Nearness
from lycheepost.generated.engine import CacheEvent
from lycheepost.state.targetlist import TargetList
from lycheepost.targets.cachewatch import CacheEventsPort, CacheWatch


class KeptPartsKeeper:
    """What engines and stores keep, as far as they have told.

    Args:
        port: Asks for events.
        dispatcher: Places requests by what engines keep.
        targets: The engines there are.
    """

    def __init__(
        self, port: CacheEventsPort, dispatcher: Dispatcher, targets: TargetList
    ) -> None:
        self._watch = CacheWatch(port, self._take)
        self._dispatcher = dispatcher
        self._targets = targets
        self._parts = KeptParts()
        self._table: RouteTable | None = None
        self._by_address: dict[str, TargetId] = {}

    async def start(self) -> None:
        """Begin to follow."""
        await self._watch.start()

    async def drain(self) -> None:
        """Go on: requests are still placed."""

    async def stop(self) -> None:
        """Stop following."""
        await self._watch.stop()

    def set_table(self, table: RouteTable) -> None:
        """Follow the route table: it names engines and stores."""
        self._table = table
        self.refresh()

    def refresh(self) -> None:
        """Follow the engines and stores that there are now."""
        if self._table is None:
            return
        found = {target.address: TargetId(target.target) for target in self._engines()}
        for address, target in self._by_address.items():
            if found.get(address) != target:
                # Another start, or another server, has nothing of what was kept.
                self._parts.forget(address)
        self._by_address = found
        stores = {store.address for store in self._table.kv_stores}
        self._watch.follow(set(found) | stores)

    def _engines(self) -> list[ListedTarget]:
        if self._table is None:
            return []
        return [
            target
            for name, group in self._table.groups.items()
            if group.engine is not None
            for target in self._targets.listed(name)
        ]

    def _take(self, address: str, events: tuple[CacheEvent, ...]) -> None:
        self._parts.observe(address, events)
        target = self._by_address.get(address)
        if target is not None:
            boot = Incarnation(target)
            self._dispatcher.observe_cache_events(target, boot, events)

    def choose(self, target: ListedTarget, levels: tuple[PrefixLevel, ...]) -> KvSource:
        """Return where a target fetches what it lacks and keeps what it reads."""
        if self._table is None:
            return KvSource()
        store = choose_kv_store(self._table, target.availability_zone)
        keepers = [
            Keeper(other.address, _nearness_of_engine(other, target))
            for other in self._targets.listed(target.target_group)
            if other.target != target.target and not other.is_leaving
        ]
        keepers += [
            Keeper(item.address, _nearness_of_store(item, target))
            for item in self._table.kv_stores
        ]
        fetch_from = self._parts.choose(target.address, keepers, levels, store)
        return KvSource(fetch_from, store)


def _nearness_of_engine(other: ListedTarget, target: ListedTarget) -> Nearness:
    is_near = other.availability_zone == target.availability_zone
    return Nearness.ENGINE_NEAR if is_near else Nearness.ENGINE_FAR


def _nearness_of_store(store: KvStore, target: ListedTarget) -> Nearness:
    is_near = store.availability_zone == target.availability_zone
    return Nearness.STORE_NEAR if is_near else Nearness.STORE_FAR
