"""Settings of a stand-in engine."""

from dataclasses import dataclass

from lycheepost.standin.enginerecords import EngineSettings
from lycheepost.standin.enginetiming import STANDIN_SPEEDS


@dataclass(frozen=True)
class EngineStandinSettings:
    """Settings of one stand-in engine.

    Attributes:
        name: Used in logs only.
        port: 0 selects a free port, which is kept over restarts.
        checks_fencing: Whether to reject orders with a fencing number below the
            highest one received.
        restart_seconds: Time from a crash to the restart of the empty engine.
        resume_grace_seconds: Time that a run continues without a reader.
        load_lag_seconds: Age of the reported load.
        load_weights_seconds: Time to load other weights after an order.
        max_tokens: Maximum length of an answer.
        crash_text: A prompt that contains this text crashes the engine; empty for
            none.
    """

    name: str = "engine"
    host: str = "127.0.0.1"
    port: int = 0
    model: str = "caption-llm"
    weights_version: str = "w1"
    checks_fencing: bool = True
    restart_seconds: float = 1.0
    resume_grace_seconds: float = 5.0
    load_lag_seconds: float = 0.5
    load_weights_seconds: float = 0.5
    max_tokens: int = 4096
    crash_text: str = ""
    timing: EngineSettings = STANDIN_SPEEDS
