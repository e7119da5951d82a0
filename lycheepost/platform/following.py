"""Follows the operators' and servers' tables and applies their changes."""

from collections.abc import Callable

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import ModelId, StoreEra, TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.freshness import (
    MAX_LONG_POLL_SECONDS,
    KeyTrustRule,
    long_poll_seconds,
)
from lycheepost.platform.documents import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    WEIGHTS_PREFIX,
    decode_configuration,
    decode_weights,
)
from lycheepost.platform.registrations import SERVER_TABLE, decode_server
from lycheepost.ports.feed import ChangedRow, FeedPort
from lycheepost.ports.table import NEVER_RESTORED
from lycheepost.state.routing import RoutingManager
from lycheepost.state.targetlist import TargetList
from lycheepost.state.watch import TableUpdate, Watch

REWRITE_SECONDS = 2.0
"""How long after a restore the operator may take to write again what was lost, as long
as servers take by the platform's protocol."""

MAX_UNUSABLE_LOGGED = 200
"""Log lines on unusable entries over the life of a process.

The bound keeps a faulty writer from filling the log: at one unusable entry a second it
is reached after three minutes."""

MAX_LOGGED_CHARACTERS = 200
"""Longest logged part of a name or reason, which another writer may have chosen. The
store allows names of as many bytes."""

OnWeights = Callable[[ModelId, int, float | None], None]

_log = structlog.get_logger(part="following")


class OperatorFollower:
    """Applies configurations and reports requested weights versions.

    A response confirms the configuration in force only if the store holds the same one.
    After a restore the store may hold an earlier one, or the one in force while a later
    one was lost, until the operator has written again. An era that a daemon finds at
    its start may have just begun, unless it is known to be settled.

    Args:
        routing: Holds the route table.
        clock: Gives the time at which a response arrived.
        on_weights: Called with a model, its requested version and the earliest time at
            which the version may have been requested; None when that is unknown.
    """

    def __init__(
        self, routing: RoutingManager, clock: Clock, on_weights: OnWeights
    ) -> None:
        self._routing = routing
        self._clock = clock
        self._on_weights = on_weights
        self._stored_version: int | None = None
        self._rewritten_seconds = float("-inf")
        self._confirmed_seconds = float("-inf")
        self._era: StoreEra | None = None
        self._settled_era = NEVER_RESTORED.era

    def note_settled(self, era: StoreEra) -> None:
        """Take an era in which the operator had time to write again what was lost."""
        self._settled_era = max(self._settled_era, era)
        if self._era is not None and self._era <= self._settled_era:
            self._rewritten_seconds = float("-inf")
            self._confirm()

    def take(self, update: TableUpdate) -> None:
        """Apply one response of the store."""
        if update.after_restore or self._is_unsettled_start(update):
            self._rewritten_seconds = update.confirmed_seconds + REWRITE_SECONDS
        version_before = self._stored_version if update.era == self._era else None
        self._era = update.era
        self._confirmed_seconds = update.confirmed_seconds
        if update.is_whole:
            self._stored_version = None
        # A change is reported at once; a full read may return older rows.
        named_seconds: float | None = self._clock.now_seconds()
        if update.is_whole:
            named_seconds = update.before_seconds
        for row in update.rows:
            self._take_row(row, named_seconds)
        if self._is_written_in_era(update, version_before):
            self._rewritten_seconds = float("-inf")
        self._confirm()

    def _is_unsettled_start(self, update: TableUpdate) -> bool:
        return self._era is None and update.era > self._settled_era

    def _is_written_in_era(
        self, update: TableUpdate, version_before: int | None
    ) -> bool:
        """Return whether this response shows a write since the restore.

        A peer may answer with the whole table in place of the changes.

        Args:
            update: The response.
            version_before: The configuration that the store held before in this era.
        """
        if not update.is_whole:
            return any(row.key == CONFIGURATION_KEY for row in update.rows)
        if version_before is None or self._stored_version is None:
            return False
        return self._stored_version > version_before

    def _confirm(self) -> None:
        if self._confirmed_seconds < self._rewritten_seconds:
            return
        if self._stored_version is not None:
            self._routing.confirm(self._stored_version, self._confirmed_seconds)

    def _take_row(self, row: ChangedRow, named_seconds: float | None) -> None:
        if row.value is None:
            return
        if row.key == CONFIGURATION_KEY:
            self._take_configuration(row.value)
        elif row.key.startswith(WEIGHTS_PREFIX):
            self._take_weights(row.value, named_seconds)

    def _take_configuration(self, data: bytes) -> None:
        match decode_configuration(data):
            case Success(table):
                self._stored_version = table.version
                self._log_if_behind(table.version)
                self._routing.adopt(table, "store")
            case Failure(error):
                # The active table is no longer the newest, so responses of the store
                # must not confirm its keys.
                self._stored_version = None
                _log.error("following: configuration rejected", reason=error.reason)

    def _log_if_behind(self, version: int) -> None:
        """Log a row that is older than the configuration in force.

        The store was restored from a copy, and the operator has not written again yet.
        """
        table = self._routing.table
        if table is not None and version < table.version:
            _log.warning(
                "following: the store's configuration is older than that in force",
                version=version,
                in_force=table.version,
            )

    def _take_weights(self, data: bytes, named_seconds: float | None) -> None:
        match decode_weights(data):
            case Success(named):
                self._on_weights(named.model, named.version, named_seconds)
            case Failure(error):
                _log.error("following: weights row rejected", reason=error.reason)


class ServerFollower:
    """Passes servers' entries on to the target list.

    Other programs may add rows to the table or overwrite a server's entry. If such a
    row were used as an entry, requests would be sent to an address without a server. If
    it made the entire response fail, the valid rows would be lost as well. So each row
    is decoded by itself, and a target with an unusable entry is not used until it has
    written a valid one.
    """

    def __init__(self, targets: TargetList) -> None:
        self._targets = targets
        self._n_unusable = 0

    def take(self, update: TableUpdate) -> None:
        """Apply one response of the store."""
        listed: list[ListedTarget] = []
        unusable: list[TargetId] = []
        rows = update.last_rows()
        for row in rows:
            if row.value is None:
                continue
            target = self._decode(row.key, row.value)
            if target is None:
                unusable.append(TargetId(row.key))
            else:
                listed.append(target)
        self._targets.drop_unusable(unusable)
        if update.is_whole:
            self._targets.replace_all(
                listed, update.outage_ended_seconds, update.after_restore
            )
            return
        removed = [TargetId(row.key) for row in rows if row.value is None]
        if listed or removed:
            self._targets.take(listed, removed, update.outage_ended_seconds)

    def _decode(self, name: str, data: bytes) -> ListedTarget | None:
        match decode_server(name, data):
            case Success(target):
                return target
            case Failure(error):
                self._note_unusable(name, error.reason)
        return None

    def _note_unusable(self, name: str, reason: str) -> None:
        """Log an unusable entry, up to ``MAX_UNUSABLE_LOGGED`` per process."""
        self._n_unusable += 1
        if self._n_unusable <= MAX_UNUSABLE_LOGGED:
            _log.warning(
                "following: unusable entry",
                target=name[:MAX_LOGGED_CHARACTERS],
                reason=reason[:MAX_LOGGED_CHARACTERS],
                n_unusable=self._n_unusable,
            )


def make_watches(
    feed: FeedPort,
    clock: Clock,
    operators: OperatorFollower,
    servers: ServerFollower,
    key_rule: Callable[[], KeyTrustRule],
    seed: int,
) -> tuple[Watch, Watch]:
    """Return the watches of the operators' and the servers' tables."""
    return (
        Watch(
            feed,
            OPERATOR_TABLE,
            clock,
            lambda: long_poll_seconds(key_rule()),
            operators.take,
            seed,
        ),
        Watch(
            feed,
            SERVER_TABLE,
            clock,
            lambda: MAX_LONG_POLL_SECONDS,
            servers.take,
            seed + 1,
        ),
    )
