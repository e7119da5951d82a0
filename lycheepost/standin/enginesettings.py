"""What one stand-in engine is."""

from dataclasses import dataclass

from lycheepost.standin.enginerecords import EngineSettings
from lycheepost.standin.enginetiming import STANDIN_SPEEDS


@dataclass(frozen=True)
class EngineStandinSettings:
    """What one stand-in engine is.

    Attributes:
        name: For logs only.
        port: 0 takes a free port, which a restart after a crash keeps.
        checks_fencing: Refuse orders whose fencing number is below one seen.
        restart_seconds: Time from a crash to the empty engine's return.
        resume_grace_seconds: How long a run goes on without a reader.
        load_lag_seconds: Age of the load that is reported.
        load_weights_seconds: Time to load other weights after an order.
        max_tokens: Longest answer.
        crash_text: A prompt with this text crashes the engine; empty for none.
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
