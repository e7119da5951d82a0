"""The daemon's HTTP routes for ``lycheepost report burn``.

Their answers name the customers, so an operator key is required.
"""

from collections.abc import Callable

import msgspec
from aiohttp import web

from lycheepost.core.clock import Clock
from lycheepost.generated.report import BurnAnswer, BurnObjectives
from lycheepost.generated.settings import ObjectiveSettings
from lycheepost.report.history import HistoryManager, fine_grained_since_seconds
from lycheepost.report.samples import Recorder

BURN_PATH = "/admin/burn"
HISTORY_PATH = "/admin/burn/history"


def make_objectives(settings: ObjectiveSettings) -> BurnObjectives:
    """Return the objectives that the report uses."""
    return BurnObjectives(
        ttft_objective_seconds=settings.ttft_objective_seconds,
        token_gap_objective_seconds=settings.token_gap_objective_seconds,
        objective_share=settings.objective_share,
        success_share=settings.success_share,
        exactly_once_share=settings.exactly_once_share,
    )


def make_report_routes(
    recorder: Recorder,
    history: HistoryManager,
    clock: Clock,
    members: Callable[[], tuple[str, ...]],
    is_operator: Callable[[str | None], bool],
) -> list[web.RouteDef]:
    """Return the routes of the report.

    Args:
        recorder: Holds the counts of this daemon.
        history: Reads the counts of all daemons from the object store.
        clock: Its wall time is part of the answer.
        members: Ids of the daemons that this one considers live; the report shows
            those that do not answer as missing.
        is_operator: Checks an ``Authorization`` header.
    """

    def check(request: web.Request) -> None:
        if not is_operator(request.headers.get("Authorization")):
            raise web.HTTPUnauthorized(reason="an operator key is needed")

    async def get_burn(request: web.Request) -> web.Response:
        check(request)
        wall_seconds = clock.wall_seconds()
        answer = BurnAnswer(
            daemon_id=recorder.daemon_id,
            boot_id=recorder.boot_id,
            wall_seconds=wall_seconds,
            objectives=make_objectives(recorder.objectives),
            members=list(members()),
            slots=recorder.slots(fine_grained_since_seconds(wall_seconds)),
            n_slots_lost=recorder.n_slots_lost,
        )
        return _json_response(answer)

    async def get_history(request: web.Request) -> web.Response:
        check(request)
        return _json_response(await history.read())

    return [web.get(BURN_PATH, get_burn), web.get(HISTORY_PATH, get_history)]


def _json_response(record: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(record), content_type="application/json"
    )
