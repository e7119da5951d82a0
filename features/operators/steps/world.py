"""Daemons that serve the operators' API, on one table stand-in."""

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from returns.result import Failure

from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import ModelId, WeightsVersion
from lycheepost.generated.settings import OperatorSettings
from lycheepost.operators.ports import OperatorDeps
from lycheepost.operators.routes import make_operator_routes
from lycheepost.ports.table import OutcomeUnknown, TableUnavailable
from lycheepost.ports.weights import WeightsInfo
from lycheepost.standin.objects import make_object_model
from lycheepost.standin.table import make_table_model
from lycheepost.standin.weightstore import make_weight_store_model
from lycheepost.state.revisions import make_revision_manager
from lycheepost.utils.keys import hash_key

OPERATOR_KEYS = {"ada": "lpo-ada", "ben": "lpo-ben"}
FLEET = {
    "changes": [
        {
            "kind": "create_target_group",
            "target_group": "engines",
            "group_kind": "engine",
            "min_serving": 2,
        },
        {
            "kind": "create_model",
            "model": "reader",
            "weights_version": "w1",
            "target_group": "engines",
        },
        *(
            {
                "kind": "add_target",
                "target": f"e{i}",
                "target_group": "engines",
                "availability_zone": "derby",
                "url": f"http://127.0.0.1:{9000 + i}",
            }
            for i in (1, 2, 3)
        ),
        {"kind": "create_customer", "customer": "acme"},
    ]
}


class FaultyTable:
    """A table that fails chosen writes of one key prefix."""

    def __init__(self, inner):
        self.inner = inner
        self.prefix, self.fault, self.n_left = "", "", 0

    def fail(self, prefix, fault, n=1):
        self.prefix, self.fault, self.n_left = prefix, fault, n

    async def read(self, keys):
        return await self.inner.read(keys)

    async def scan(self, prefix, after_key, limit):
        return await self.inner.scan(prefix, after_key, limit)

    async def commit(self, transaction):
        hit = any(w.key.startswith(self.prefix) for w in transaction.writes)
        if not (self.n_left and hit):
            return await self.inner.commit(transaction)
        self.n_left -= 1
        if self.fault == "refused":
            return Failure(TableUnavailable("down"))
        await self.inner.commit(transaction)
        return Failure(OutcomeUnknown("lost"))


class World:
    """Some daemons, each with its own view of the configuration."""

    def __init__(self, context):
        self.context = context
        self.clock = FakeClock()
        self.model = make_table_model(self.clock)
        self.table = FaultyTable(self.model)
        self.objects = make_object_model()
        self.weights = make_weight_store_model()
        for version in ("w1", "w2"):
            self.weights.put(
                WeightsInfo(ModelId("reader"), WeightsVersion(version), 10**9, 60.0)
            )
        self.clients = []
        self.managers = []

    def run(self, coroutine):
        return self.context.loop.run_until_complete(coroutine)

    def add_daemon(self):
        manager = make_revision_manager(self.table, self.objects, self.clock)
        settings = OperatorSettings(
            key_hashes=[hash_key(k) for k in OPERATOR_KEYS.values()]
        )
        app = web.Application()
        app.add_routes(
            make_operator_routes(
                OperatorDeps(manager, self.table, self.clock, settings, self.weights)
            )
        )
        client = TestClient(TestServer(app), loop=self.context.loop)
        self.run(client.start_server())
        self.context.closers.append(client.close)
        self.clients.append(client)
        self.managers.append(manager)

    def call(self, daemon, method, path, document=None, key="lpo-ada", headers=None):
        return self.run(self.acall(daemon, method, path, document, key, headers))

    async def acall(
        self, daemon, method, path, document=None, key="lpo-ada", headers=None
    ):
        sent = {"Authorization": f"Bearer {key}", **(headers or {})}
        response = await self.clients[daemon].request(
            method, path, json=document, headers=sent
        )
        return response.status, await response.json()

    def plan(self, daemon, document, operator="ada"):
        status, body = self.call(
            daemon, "POST", "/v1/intents", document, OPERATOR_KEYS[operator]
        )
        assert status == 200, body
        return body

    def confirm(self, daemon, plan_id, operator="ada", token="t", query=""):
        path = f"/v1/plans/{plan_id}/confirm{query}"
        return self.call(
            daemon,
            "POST",
            path,
            None,
            OPERATOR_KEYS[operator],
            {"Idempotency-Key": token},
        )

    def configuration(self, daemon):
        self.run(self.managers[daemon].refresh())
        return self.managers[daemon].view.configuration
