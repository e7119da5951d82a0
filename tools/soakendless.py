"""Servers of a soak that answer some requests without end."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web
from soakanswers import Answers
from soakplay import EndlessPlace

from lycheepost.platform import headers as names
from lycheepost.standin.endless import EndlessForm, send_endless

SHARE = 0.33
"""Share of the requests that are answered so."""


_WITHOUT_BODY = (
    EndlessForm.INFORMATIONAL_HEADS,
    EndlessForm.HEAD_LINES,
    EndlessForm.HEAD_LINE,
    EndlessForm.STATUS_LINE,
    EndlessForm.BLANK_LINES,
    EndlessForm.SWITCHED,
)
_PATHS = {
    "/report": EndlessPlace.REPORTS,
    "/health": EndlessPlace.HEALTH,
    "/kv-events": EndlessPlace.CACHE_EVENTS,
}


@dataclass(frozen=True)
class EndlessAnswers:
    """What a server answers without end for a while.

    Attributes:
        pause_seconds: Pause between two units; None for as fast as is read.
        place: Which requests it answers so.
        rng: Chooses among the requests.
        answers: Takes the ids of the requests that were answered so.
    """

    form: EndlessForm
    pause_seconds: float | None
    place: EndlessPlace
    rng: random.Random
    answers: Answers

    def is_due(self, request: web.Request) -> bool:
        """Tell whether to answer this request so."""
        place = _PATHS.get(request.path, EndlessPlace.REQUESTS)
        return place is self.place and self.rng.random() < SHARE

    async def send(
        self, request: web.Request, headers: Mapping[str, str]
    ) -> web.StreamResponse:
        """Answer until the caller closes the connection."""
        attempt_id = request.headers.get(names.ATTEMPT_ID)
        if attempt_id is not None:
            self.answers.victims.add(attempt_id)
            if self.form not in _WITHOUT_BODY:
                self.answers.with_body.add(attempt_id)
        if isinstance(request.transport, asyncio.WriteTransport):
            await send_endless(
                request.transport, self.form, headers, self.pause_seconds
            )
        return web.Response()
