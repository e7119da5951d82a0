"""One account of what a process holds for its clients, on all of its ports.

Connections, heads, bodies and answers share its bytes. What the kernel has received and
the process has not read is bounded for each socket and charged with its connection.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import structlog

from lycheepost.callers.refusals import Refusal
from lycheepost.decide.clientlimits import CONNECTION_BYTES, ClientLimits
from lycheepost.decide.clientwaits import ClientState, ClientWaits
from lycheepost.utils.bytebudget import ByteBudget
from lycheepost.utils.runningtime import stalled_seconds

UNCONFIGURED_HEAD_BYTES = 32 * 1024
UNCONFIGURED_HEAD_SECONDS = 3.0
"""Bounds of a head while no configuration is known."""

STALL_SPAN_SECONDS = 30.0
"""How far back the time in which the process stood still is left out; longer than any
wait of a client that is bounded here."""

LOG_SECONDS = 1.0
"""Shortest time between two log lines on clients of one kind; they come in crowds."""

_log = structlog.get_logger(part="clients")


def _running_now_seconds() -> float:
    """Return the time, less that in which this process stood still of late.

    What clients sent meanwhile has not been read, which is not their fault.
    """
    now_seconds = time.monotonic()
    return now_seconds - stalled_seconds(now_seconds - STALL_SPAN_SECONDS)


class Client(Protocol):
    """A client's connection."""

    def refuse(self, refusal: Refusal) -> None:
        """Close the connection; an unfinished request is told why."""
        ...


@dataclass(frozen=True, slots=True)
class HeadBounds:
    """What a client may send before its request's body.

    Attributes:
        max_bytes: Length of a head.
        max_seconds: Time from its first byte to its last.
    """

    max_bytes: int = UNCONFIGURED_HEAD_BYTES
    max_seconds: float = UNCONFIGURED_HEAD_SECONDS


class ClientAccount:
    """What is held for clients now, and its bounds.

    Args:
        limits: The bounds.

    Attributes:
        limits: The same.
        all_bytes: Memory held for clients.
        get_head_bounds: Returns the bounds of heads that are in force.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
        self.all_bytes = ByteBudget(limits.max_bytes)
        self.get_head_bounds: Callable[[], HeadBounds] = HeadBounds
        self._waits: ClientWaits[Client] = ClientWaits()
        self._n_refused: Counter[str] = Counter()
        self._logged_seconds: dict[Refusal, float] = {}

    def make_place(self) -> bool:
        """Return whether one more connection may open; the longest wait gives way."""
        if len(self._waits) < self.limits.max_connections:
            return True
        chosen = self._waits.choose_for_place(_running_now_seconds())
        if chosen is None:
            self.note_refused(Refusal.NO_PLACE)
            return False
        self._waits.remove(chosen)
        chosen.refuse(Refusal.PLACE_NEEDED)
        return True

    def make_room(self) -> bool:
        """Return whether a stalled connection gives way to the body of another."""
        chosen = self._waits.choose_for_bytes(_running_now_seconds())
        if chosen is None:
            return False
        self._waits.remove(chosen)
        chosen.refuse(Refusal.PLACE_NEEDED)
        return True

    def open(self, client: Client) -> None:
        """Note a new connection; ``make_place`` has returned that it may open."""
        self._waits.enter(client, ClientState.IDLE, time.monotonic())
        self.all_bytes.charge(CONNECTION_BYTES)

    def close(self, client: Client) -> None:
        """Note that a connection has ended."""
        self._waits.remove(client)
        self.all_bytes.release(CONNECTION_BYTES)

    def enter(self, client: Client, state: ClientState) -> None:
        """Note that an open connection is in a state, or has made progress in it."""
        if self._waits.state(client) is not None:
            self._waits.enter(client, state, time.monotonic())

    def state(self, client: Client) -> ClientState | None:
        """Return the state of a connection; None once it gives way or has ended."""
        return self._waits.state(client)

    def refuse_late_heads(self) -> None:
        """Close the connections whose heads have taken too long."""
        max_seconds = self.get_head_bounds().max_seconds
        for client in self._waits.late_heads(_running_now_seconds() - max_seconds):
            client.refuse(Refusal.HEAD_TIME)

    def note_refused(self, refusal: Refusal) -> None:
        """Count a refusal, and log it if none was logged of late."""
        self._n_refused[refusal.value] += 1
        now_seconds = time.monotonic()
        if now_seconds < self._logged_seconds.get(refusal, 0.0) + LOG_SECONDS:
            return
        self._logged_seconds[refusal] = now_seconds
        _log.warning(
            "clients: refused",
            reason=refusal.value,
            n_refused=self._n_refused[refusal.value],
            n_connections=len(self._waits),
            held_bytes=self.all_bytes.held_bytes,
        )

    def refused_counts(self) -> dict[str, int]:
        """Return how many clients were refused, by reason."""
        return dict(self._n_refused)

    def status(self) -> dict[str, object]:
        """Return the connections and the bytes, for status pages."""
        states = {state.value: self._waits.count(state) for state in ClientState}
        return {
            "n_connections": len(self._waits),
            "max_connections": self.limits.max_connections,
            "by_state": states,
            "max_bytes": self.limits.max_bytes,
            "refused": self.refused_counts(),
            **self.all_bytes.status(),
        }
