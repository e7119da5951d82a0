"""Write snapshots of the configuration and remove the deltas that they cover.

This is the work of one duty. A paused holder that continues after its lease has expired
does no harm: the head is updated only on a condition on its version and only to a newer
snapshot, and only data older than the previously named snapshot is removed.
"""

from collections.abc import Callable

import structlog
from returns.result import Failure, Success

from lycheepost.core.ids import Revision
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import Page, TablePort, Transaction, Write
from lycheepost.state.leases import Lease
from lycheepost.state.revision_rows import (
    REVISION_PREFIX,
    SNAPSHOT_PREFIX,
    Head,
    make_snapshot_transaction,
    read_head,
    snapshot_name,
    write_snapshot,
)
from lycheepost.state.revisions import RevisionManager

SNAPSHOT_INTERVAL_REVISIONS = 256
"""Revisions between snapshots. A snapshot of 3 MB is about 0.4 MB when compressed; at
64,000 changes a day this is one in six minutes, or 1.2 KB a second for its writer."""
_ROWS_PER_REMOVAL = 64
_log = structlog.get_logger(part="snapshots")


class SnapshotWork:
    """Work of the duty's holder: writes snapshots and removes covered deltas.

    Args:
        table: Stores the head and the deltas.
        objects: Stores the snapshots.
        revisions: The configuration of this daemon.
        every: Minimum number of revisions between snapshots.
    """

    def __init__(
        self,
        table: TablePort,
        objects: ObjectPort,
        revisions: RevisionManager,
        every: int = SNAPSHOT_INTERVAL_REVISIONS,
    ) -> None:
        self._every = every
        self._table = table
        self._objects = objects
        self._revisions = revisions
        self.n_written = 0

    async def work(self, get_lease: Callable[[], Lease]) -> None:
        """Write a snapshot if one is due."""
        await self._revisions.refresh()
        match await read_head(self._table):
            case Success(head):
                pass
            case Failure(_):
                return
        accepted = self._revisions.accepted
        n_after = accepted.revision - head.snapshot
        if accepted.revision > head.revision or n_after < self._every:
            return
        written = await write_snapshot(self._objects, accepted)
        if isinstance(written, Failure):
            _log.warning("snapshots: not written", reason=str(written.failure()))
            return
        await self._name_snapshot(head, Revision(accepted.revision))

    async def _name_snapshot(self, head: Head, snapshot: Revision) -> None:
        transaction = make_snapshot_transaction(head, snapshot)
        if isinstance(await self._table.commit(transaction), Failure):
            # The head has changed, or the response was lost. The next call retries; an
            # unnamed snapshot does no harm, as it holds an accepted configuration.
            return
        self.n_written += 1
        _log.info("snapshots: written", revision=snapshot)
        await self._remove_deltas(head.snapshot)
        await self._remove_snapshots(head.snapshot)

    async def _remove_deltas(self, until: Revision) -> None:
        last_key = f"{REVISION_PREFIX}{until:012d}/~"
        while True:
            match await self._table.scan(REVISION_PREFIX, None, _ROWS_PER_REMOVAL):
                case Success(Page(rows=rows)):
                    old = tuple(row.key for row in rows if row.key <= last_key)
                case Failure(_):
                    return
            if not old:
                return
            removal = Transaction((), tuple(Write(key, None) for key in old))
            if isinstance(await self._table.commit(removal), Failure):
                return

    async def _remove_snapshots(self, until: Revision) -> None:
        match await self._objects.list_names(SNAPSHOT_PREFIX):
            case Success(names):
                for name in names:
                    if name < snapshot_name(until):
                        await self._objects.delete(name)
