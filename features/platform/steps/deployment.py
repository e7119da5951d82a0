"""The deployment that the features of the platform run."""

from lycheepost.app.platformfleet import (
    BOUNDS,
    HOST,
    KEYS,
    MODEL,
    SITE,
    ZONE,
    make_configuration,
)
from lycheepost.app.platformfleet import PlatformFleet as Deployment

__all__ = [
    "BOUNDS",
    "HOST",
    "KEYS",
    "MODEL",
    "SITE",
    "ZONE",
    "Deployment",
    "make_configuration",
]
