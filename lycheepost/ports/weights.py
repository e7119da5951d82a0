"""Interface to the platform's rate-limited weight store.

Targets read weights themselves. lycheepost only lists versions and their sizes, to
plan loads.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import ModelId, WeightsVersion


@dataclass(frozen=True, slots=True)
class WeightsInfo:
    """One version of one model's weights."""

    model: ModelId
    weights_version: WeightsVersion
    size_bytes: int
    load_seconds: float
    """Time one target takes to load it while no other target loads."""


@dataclass(frozen=True)
class WeightsError(LycheepostError):
    """A call to the weight store failed."""


class WeightsPort(Protocol):
    """Operations required of a weight store."""

    async def list_versions(
        self, model: ModelId
    ) -> Result[tuple[WeightsInfo, ...], WeightsError]:
        """Return the versions of one model."""
        ...
