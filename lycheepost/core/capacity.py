"""Capacity of a daemon's VM, as stated by the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """Limits of one VM.

    Attributes:
        processor_cores: Processor time per second, in cores of standard speed; 0 if
            unknown.
        link_mbps: Bandwidth of its network link; 0 if unknown.
    """

    processor_cores: float = 0.0
    link_mbps: float = 0.0


UNKNOWN_CAPACITY = Capacity()
