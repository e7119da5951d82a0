"""Which client's connection gives way when a daemon holds too much for its clients.

A client that has not sent a whole request is owed nothing yet, and closing its
connection loses no work. The one that has kept its place longest without progress gives
way first, so that a client that sends at once is served beside any number that do not.
"""

from collections import OrderedDict
from enum import Enum
from typing import Generic, TypeVar

BODY_STALL_SECONDS = 1.0
"""A body counts as stalled without progress for this long. A client sends its body
without pause."""

ANSWER_STALL_SECONDS = 5.0
"""An answer counts as unread if its client has read nothing for this long."""

PROGRESS_BYTES = 16 * 1024
"""Bytes of a body that count as progress; a client that sends single bytes makes
none."""

ClientT = TypeVar("ClientT")


class ClientState(Enum):
    """What a client's connection waits for."""

    IDLE = "idle"
    """For a request to begin."""
    HEAD = "head"
    """For the rest of a head."""
    BODY = "body"
    """For the rest of a body."""
    SERVED = "served"
    """For an answer."""
    UNREAD = "unread"
    """For the client to read an answer."""


class ClientWaits(Generic[ClientT]):
    """The clients' connections by state, each since when."""

    def __init__(self) -> None:
        self._states: dict[ClientT, ClientState] = {}
        self._since: dict[ClientState, OrderedDict[ClientT, float]] = {
            state: OrderedDict() for state in ClientState
        }

    def __len__(self) -> int:
        return len(self._states)

    def state(self, client: ClientT) -> ClientState | None:
        """Return the state of a connection; None if it is not open."""
        return self._states.get(client)

    def count(self, state: ClientState) -> int:
        """Return the number of connections in a state."""
        return len(self._since[state])

    def enter(self, client: ClientT, state: ClientState, now_seconds: float) -> None:
        """Note that a connection is in a state from now on, or has made progress."""
        previous = self._states.get(client)
        if previous is not None:
            del self._since[previous][client]
        self._states[client] = state
        self._since[state][client] = now_seconds

    def remove(self, client: ClientT) -> None:
        """Forget a connection that has ended."""
        state = self._states.pop(client, None)
        if state is not None:
            del self._since[state][client]

    def choose_for_place(self, now_seconds: float) -> ClientT | None:
        """Return the connection that gives way to a new one; None if none does."""
        waiting = [
            found
            for state in (ClientState.IDLE, ClientState.HEAD)
            if (found := self._oldest(state)) is not None
        ]
        if waiting:
            return min(waiting, key=lambda item: item[1])[0]
        return self.choose_for_bytes(now_seconds)

    def choose_for_bytes(self, now_seconds: float) -> ClientT | None:
        """Return the connection that gives way to the body of another's request."""
        return self._stalled(
            ClientState.BODY, now_seconds - BODY_STALL_SECONDS
        ) or self._stalled(ClientState.UNREAD, now_seconds - ANSWER_STALL_SECONDS)

    def late_heads(self, since_seconds: float) -> list[ClientT]:
        """Return the connections whose heads began before a time."""
        return [
            client
            for client, began_seconds in self._since[ClientState.HEAD].items()
            if began_seconds < since_seconds
        ]

    def _oldest(self, state: ClientState) -> tuple[ClientT, float] | None:
        return next(iter(self._since[state].items()), None)

    def _stalled(self, state: ClientState, since_seconds: float) -> ClientT | None:
        oldest = self._oldest(state)
        if oldest is None or oldest[1] > since_seconds:
            return None
        return oldest[0]
