"""Follows the era of the platform's store.

The store states its era in every response. It rises by one when the store is restored
from a copy: writes since the copy are gone, and versions are given out again.
"""

from collections.abc import Callable

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import StoreEra
from lycheepost.ports.table import NEVER_RESTORED, ObservedEra

ERA_HEADER = "Store-Era"

MAX_ERA = 2**20
"""More restores than any store sees. A larger number is taken for a damaged header."""

_log = structlog.get_logger(part="store")

OnEra = Callable[[StoreEra], None]


class StoreEras:
    """The newest era that the store has stated.

    Args:
        clock: A clock that includes time spent suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest = NEVER_RESTORED
        self._has_response = False
        self._version = 0
        self._subscribers: list[OnEra] = []
        self._first_subscribers: list[OnEra] = []

    @property
    def newest(self) -> ObservedEra:
        """Return the newest known era."""
        return self._newest

    def subscribe(self, callback: OnEra) -> None:
        """Call ``callback`` with each era that begins while this daemon runs."""
        self._subscribers.append(callback)

    def subscribe_first(self, callback: OnEra) -> None:
        """Call ``callback`` with the era in the first response of the store."""
        self._first_subscribers.append(callback)

    def note_version(self, version: int) -> None:
        """Record the store's newest version, for the log."""
        self._version = max(self._version, version)

    def note(self, header: str | None) -> StoreEra:
        """Record the header of a response and return the response's era."""
        before = self._newest
        era = _decode_era(header)
        if era is None:
            era = before.era
        if era > before.era:
            self._newest = ObservedEra(era, self._clock.now_seconds())
            if self._has_response:
                self._note_restored(before.era)
        if not self._has_response:
            self._has_response = True
            _log.info("store: first response", era=era)
            for callback in self._first_subscribers:
                callback(era)
        return era

    def _note_restored(self, era_before: StoreEra) -> None:
        era = self._newest.era
        _log.warning(
            "store: restored from a copy",
            era=era,
            era_before=era_before,
            version_before=self._version,
        )
        self._version = 0
        for callback in self._subscribers:
            callback(era)


def _decode_era(header: str | None) -> StoreEra | None:
    """Return the era of a header; None if it is missing or unusable."""
    if header is None:
        return None
    text = header.strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA))
    if not is_number or int(text) > MAX_ERA:
        _log.warning("store: era cannot be decoded", header=header[:40])
        return None
    return StoreEra(int(text))
