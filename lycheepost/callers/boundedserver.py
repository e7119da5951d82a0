"""An HTTP server whose connections are bounded."""

from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from lycheepost.callers.boundedrequests import BoundedRequestHandler
from lycheepost.callers.clientaccount import ClientAccount


class BoundedServer(web.Server):
    """A server whose connections are bounded.

    Args:
        handler: Handles every request.
        account: What is held for all clients.
        options: Options of ``aiohttp.web.Server`` and of ``BoundedRequestHandler``.
    """

    def __init__(self, handler: Any, account: ClientAccount, **options: Any) -> None:
        super().__init__(handler, **options)
        self._account = account

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedRequestHandler(
            self, loop=self._loop, account=self._account, **self._kwargs
        )
