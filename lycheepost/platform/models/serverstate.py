"""What the stand-ins of the platform's servers record and report."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One request that a server began to run."""

    attempt_id: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]


@dataclass
class ServerState:
    """State that a server reports.

    Attributes:
        load_seconds: How long new weights take to load.
        started_ms: Unix time of its start in milliseconds; None if it states none.
        software: Version of its software.
    """

    model: str
    started_ms: int | None = None
    version: int = 1
    n_orders: int = 0
    is_changing: bool = False
    load_seconds: float = 0.05
    orders: list[dict[str, object]] = field(default_factory=list)
    order_seconds: list[float] = field(default_factory=list)
    software: str = "v1"
