"""Structured logs, one line per event.

A daemon writes them to standard output through the bounded ``utils.logwriter``; a
command whose output is read by scripts writes them to standard error.

Every component binds ``part`` and starts its events with that name. The request id is
bound in a context variable, so that each line of one request carries it. Prompt text
and keys are never passed to a log call; as a second safeguard, the values of the fields
below are replaced before a line is written.
"""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

import msgspec
import structlog

from lycheepost.generated.settings import LogFormat, LogSettings

_FORBIDDEN_FIELDS = frozenset(
    {"key", "api_key", "secret_key", "authorization", "prompt", "messages", "body"}
)


def _drop_forbidden(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    for name in _FORBIDDEN_FIELDS.intersection(event):
        event[name] = "(dropped)"
    return event


def _encode(event: object, **_options: object) -> str:
    """Return an event as JSON; values without a JSON form are converted by ``str``."""
    return msgspec.json.encode(event, enc_hook=str).decode()


def configure_logs(
    settings: LogSettings, daemon_id: str = "", output: TextIO | None = None
) -> None:
    """Set up logging for this process.

    Args:
        settings: Level and format.
        daemon_id: Added to every line unless empty.
        output: Where lines go; standard error when None.
    """
    renderer: Any = structlog.processors.JSONRenderer(serializer=_encode)
    if settings.format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    level = logging.getLevelNamesMapping()[settings.level.value.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _drop_forbidden,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=output or sys.stderr),
        cache_logger_on_first_use=False,
    )
    # aiohttp logs handler errors through the standard library. It must not print
    # request lines, as their query can hold a key.
    logging.basicConfig(level=max(level, logging.WARNING), stream=sys.stderr)
    structlog.contextvars.clear_contextvars()
    if daemon_id:
        structlog.contextvars.bind_contextvars(daemon_id=daemon_id)
