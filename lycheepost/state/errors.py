"""Errors of the shared state; errors of the platform are converted into these."""

from dataclasses import dataclass

from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import Revision


@dataclass(frozen=True)
class StateError(LycheepostError):
    """Reading or changing the shared state failed.

    Nothing was changed unless the subclass says otherwise.
    """


@dataclass(frozen=True)
class BasisMoved(StateError):
    """Another change was accepted first.

    Attributes:
        current: The revision in force, as far as this daemon knows.
    """

    current: Revision = Revision(0)


@dataclass(frozen=True)
class StoreUnreachable(StateError):
    """The table service did not accept the call; nothing was changed."""


@dataclass(frozen=True)
class CommitUnknown(StateError):
    """The response was lost and the outcome could not be determined in time.

    The change may be in force now or soon; reading the configuration shows whether.
    """
