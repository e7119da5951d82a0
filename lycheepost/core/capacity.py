"""What the VM of a daemon can carry, as its platform states it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """Limits of one VM.

    Attributes:
        processor_cores: Processor time that it has in a second, in cores of the usual
            speed; 0 where that is not known.
        link_mbps: Speed of its network link; 0 where that is not known.
    """

    processor_cores: float = 0.0
    link_mbps: float = 0.0


UNKNOWN_CAPACITY = Capacity()
