"""Errors of the shared state, into which those of the platform are turned."""

from dataclasses import dataclass

from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import Revision


@dataclass(frozen=True)
class StateError(LycheepostError):
    """Shared state could not be read or changed; nothing was changed."""


@dataclass(frozen=True)
class BasisMoved(StateError):
    """Another change was accepted first.

    Attributes:
        current: The revision in force now, as far as this daemon knows.
    """

    current: Revision = Revision(0)


@dataclass(frozen=True)
class StoreUnreachable(StateError):
    """The table service did not take the call; nothing was changed."""


@dataclass(frozen=True)
class CommitUnknown(StateError):
    """The answer was lost and could not be settled in time.

    The change may be in force now or shortly; reading the configuration tells.
    """
