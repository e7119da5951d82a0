"""How much runs in a soak, and which variants of faults it is held to."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.standin.endless import EndlessForm


class SilentServers(Enum):
    """Which servers are silent."""

    ENGINES = "all engines"
    PLAIN = "all plain services"
    ALL = "all servers"
    HALF = "half of the servers"
    ONE = "one server"
    ALL_BESIDE_CUTS = "all servers, beside daemons without paths"


class EndlessPlace(Enum):
    """Which requests are answered without end."""

    REQUESTS = "requests"
    REPORTS = "reports"
    HEALTH = "health checks"
    CACHE_EVENTS = "cache events"


class Work(Enum):
    """Planned work beside a fault, from one time to the next."""

    NONE = "none"
    CONFIGURATION = "configuration"
    HANG_UP = "configuration, SIGHUP"
    TERMINATE = "configuration, SIGTERM"
    WEIGHTS = "configuration, weights"


@dataclass(frozen=True, slots=True)
class Play:
    """How much runs.

    Attributes:
        n_events: Events of each stream.
        event_seconds: Time between two events; None for the stand-in's own.
        is_alone: Whether only the first fault runs, beside planned work.
        without: Names of faults that do not begin by themselves.
        form: What servers send without end; None for all forms by turns.
        place: Which requests they answer so; None for the seed's choice, or plain
            requests if the form is stated.
        silent: Which servers are silent; None for all choices by turns.
        work: The planned work; None for the seed's choice.
    """

    n_daemons: int = 6
    n_plain: int = 3
    n_engines: int = 3
    n_events: int = 6
    event_seconds: float | None = None
    rate_per_second: float = 20.0
    is_alone: bool = False
    without: frozenset[str] = frozenset()
    form: EndlessForm | None = None
    place: EndlessPlace | None = None
    silent: SilentServers | None = None
    work: Work | None = None


LARGE_PLAY = Play(n_engines=12, n_events=60, event_seconds=0.012, rate_per_second=40.0)
"""In which groups of servers fail: a few dozen requests a second, and streams of most
of a second, so that many are midway at any moment."""
