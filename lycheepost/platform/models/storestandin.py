"""Stand-in for the platform's store: serves ``standin.rowstore`` by its protocol."""

import asyncio
import time
from base64 import b64decode

import msgspec
from aiohttp import web

from lycheepost.platform.storeera import ERA_HEADER
from lycheepost.platform.storewire import (
    WireCommitted,
    WireRow,
    WireRows,
    WireTransaction,
    encode_value,
)
from lycheepost.standin.rowstore import RowChange, RowCondition, RowStore, StoredRow
from lycheepost.standin.webserver import StandinServer

_PAGE_ROWS = 500


class StoreStandin:
    """Serves one row store.

    Attributes:
        store: Its rows and faults.
        n_calls: Calls so far.
        other_parts: Rows of other parts, which every response of a feed holds.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.store = RowStore()
        self.n_calls = 0
        self.other_parts: list[WireRow] = []
        self._server = StandinServer(self._make_app, host, port)
        self._late_writes: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    async def start(self) -> str:
        """Listen and return the base URL."""
        return await self._server.start()

    async def stop(self) -> None:
        """Close all connections and stop."""
        await self._server.stop()

    def freeze(self) -> None:
        """Stop responding on open connections for good; new connections work."""
        self._server.freeze_connections()

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=2 * 1024 * 1024)
        app.router.add_post("/rows-tx", self._guard(self._commit))
        app.router.add_get("/rows-get", self._guard(self._get))
        app.router.add_get("/rows-feed", self._guard(self._feed))
        return app

    def _guard(self, handler):  # type: ignore[no-untyped-def]
        async def handle(request: web.Request) -> web.StreamResponse:
            self.n_calls += 1
            await self._server.block_if_frozen(request)
            if (
                self.store.faults.refuses()
                or request.remote in self.store.refused_hosts
            ):
                return self._with_era(web.Response(status=503))
            await asyncio.sleep(self.store.faults.delay_seconds)
            answer: web.StreamResponse = await handler(request)
            self._with_era(answer)
            await asyncio.sleep(self.store.faults.answer_delay_seconds)
            return answer

        return handle

    def _with_era(self, answer: web.StreamResponse) -> web.StreamResponse:
        if ERA_HEADER not in answer.headers:
            answer.headers[ERA_HEADER] = str(self.store.era)
        return answer

    async def _commit(self, request: web.Request) -> web.StreamResponse:
        wire = msgspec.json.decode(await request.read(), type=WireTransaction)
        if self.store.faults.take("n_late_writes"):
            task = asyncio.create_task(self._apply_late(wire))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            self._server.abort_connection(request)
            return web.Response(status=500)
        answer = self._apply(wire)
        if self.store.faults.take("n_lost_answers"):
            self._server.abort_connection(request)
        return answer

    async def _apply_late(self, wire: WireTransaction) -> None:
        await asyncio.sleep(self.store.faults.late_seconds)
        self._apply(wire)

    def _apply(self, wire: WireTransaction) -> web.Response:
        conditions = [RowCondition(e.table, e.key, e.ver) for e in wire.expected]
        failed = self.store.failed(conditions)
        if failed:
            rows = [WireRow(key=item.key, table=item.table) for item in failed]
            return _answer(WireRows(rows, self.store.version, _now_ms()), 412)
        changes = [RowChange(p.table, p.key, b64decode(p.value)) for p in wire.puts]
        changes += [RowChange(r.table, r.key, None) for r in wire.remove]
        return _answer(WireCommitted(self.store.apply(changes)))

    async def _get(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        limit = min(int(query.get("limit", _PAGE_ROWS)), _PAGE_ROWS)
        first, last = query.get("from", ""), query.get("to")
        rows = [
            row
            for row in self.store.rows(query["table"])
            if row.key >= first and (last is None or row.key < last)
        ]
        shown = [_to_wire(row) for row in rows[:limit]]
        has_more = len(rows) > limit
        return _answer(WireRows(shown, self.store.version, _now_ms(), has_more))

    def _is_available(self, after: int) -> bool:
        """Return whether the changes after a version are known."""
        return self.store.oldest_version <= after <= self.store.version

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        after = int(query["after"])
        if not self._is_available(after):
            return web.Response(status=410)
        wait_seconds = float(query.get("wait_ms", 0)) / 1000
        rows = await self.store.wait_changes(query["table"], after, wait_seconds)
        if not self._is_available(after):
            return web.Response(status=410)
        shown = [_to_wire(row) for row in rows] + self.other_parts
        return _answer(WireRows(shown, self.store.version, _now_ms()))


def _now_ms() -> float:
    return time.monotonic() * 1000


def _to_wire(row: StoredRow) -> WireRow:
    value = "" if row.value is None else encode_value(row.value)
    return WireRow(
        key=row.key,
        table=row.table,
        value=value,
        ver=row.version,
        deleted=row.value is None,
    )


def _answer(body: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )
