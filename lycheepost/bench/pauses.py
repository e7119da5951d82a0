"""Ways to keep long prompts from pausing streams, compared in virtual time."""

from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from enum import Enum

from lycheepost.bench.pauseworld import (
    GAP_SECONDS,
    LONG,
    SHORT,
    CallerRecord,
    Fleet,
    Kind,
    Outage,
    PauseWorld,
    Phase,
)
from lycheepost.decide.mechanisms import Mechanism


class Way(Enum):
    """A way to place long prompts and streams."""

    NONE = "none"
    READING_ENGINES = "reading engines"
    BUDGET = "budget"
    BOTH = "both"

    def switched_off(self) -> frozenset[Mechanism]:
        """Return the mechanisms that it does without."""
        match self:
            case Way.NONE:
                return frozenset({Mechanism.PAUSE_GUARD})
            case Way.READING_ENGINES:
                return frozenset({Mechanism.READING_BUDGET})
            case Way.BUDGET:
                return frozenset({Mechanism.READING_ENGINES})
            case Way.BOTH:
                return frozenset()


@dataclass(frozen=True, slots=True)
class PauseScenario:
    """One load.

    Attributes:
        phases: Demand over time.
        outages: Disruptions.
    """

    name: str
    phases: tuple[Phase, ...]
    outages: tuple[Outage, ...] = ()
    fleet: Fleet = Fleet()


_TENTH = Phase(18.0, 12.0, 52.0)
SCENARIOS = (
    PauseScenario("few long prompts", (_TENTH,)),
    PauseScenario("many long prompts", (Phase(18.0, 32.0, 40.0),)),
    PauseScenario(
        "a wave of long prompts",
        (Phase(10.0, 3.0, 52.0), Phase(4.0, 32.0, 52.0), Phase(20.0, 3.0, 52.0)),
        fleet=Fleet(n_daemons=4),
    ),
    PauseScenario("no long prompts", (Phase(14.0, 0.0, 80.0),)),
    PauseScenario("only long prompts", (Phase(14.0, 40.0, 0.0),)),
    PauseScenario(
        "a third of the engines crash",
        (_TENTH,),
        (Outage(9.0, 14.0, engines=range(0, 24, 3)),),
    ),
    PauseScenario(
        "engines change weights in turn",
        (_TENTH,),
        tuple(
            Outage(7.0 + index, 8.0 + index, engines=range(3 * index, 3 * index + 3))
            for index in range(8)
        ),
    ),
    PauseScenario(
        "a daemon is cut off", (_TENTH,), (Outage(8.0, 14.0, daemons=range(1)),)
    ),
    PauseScenario(
        "three engines left",
        (Phase(24.0, 1.5, 6.0),),
        fleet=Fleet(n_engines=3, n_daemons=3),
    ),
)


@dataclass(frozen=True, slots=True)
class PauseRecord:
    """What callers got in one scenario by one way, over all seeds.

    Attributes:
        short_paused_share: Short requests that are late only by a pause.
        short_late_share: Short requests that are late, refused or not served.
        n_reading_engines: Mean number of reading engines, as one daemon sees it.
    """

    scenario: str
    way: str
    n_short: int
    n_long: int
    short_paused_share: float
    short_late_share: float
    long_paused_share: float
    long_late_share: float
    n_reading_engines: float

    def to_dict(self) -> dict[str, object]:
        """Return the record's fields by name."""
        return asdict(self)


def play(scenario: PauseScenario, way: Way, seed: int) -> PauseWorld:
    """Play a scenario and return the world at its end."""
    world = PauseWorld(
        scenario.fleet, scenario.phases, way.switched_off(), seed, scenario.outages
    )
    world.run()
    return world


def measure_pauses(
    seeds: tuple[int, ...], scenarios: tuple[PauseScenario, ...] = SCENARIOS
) -> Iterator[PauseRecord]:
    """Yield a record for each scenario and way."""
    for scenario in scenarios:
        for way in Way:
            yield record_of(scenario, way, [play(scenario, way, s) for s in seeds])


def record_of(
    scenario: PauseScenario, way: Way, worlds: list[PauseWorld]
) -> PauseRecord:
    """Return what callers got in some runs."""
    ended = [
        record
        for world in worlds
        for record in world.records
        # Streams that still run at the end have no outcome yet.
        if record.arrived_seconds < world.now_seconds - 3.0
    ]
    n_reading = [count for world in worlds for count in world.n_reading_engines]
    return PauseRecord(
        scenario=scenario.name,
        way=way.value,
        n_short=len(_of_kind(ended, SHORT)),
        n_long=len(_of_kind(ended, LONG)),
        short_paused_share=_share(ended, SHORT, _is_paused_only),
        short_late_share=_share(ended, SHORT, _is_late),
        long_paused_share=_share(ended, LONG, _is_paused_only),
        long_late_share=_share(ended, LONG, _is_late),
        n_reading_engines=round(sum(n_reading) / max(1, len(n_reading)), 1),
    )


def _of_kind(records: list[CallerRecord], kind: Kind) -> list[CallerRecord]:
    return [record for record in records if record.kind is kind]


def _share(
    records: list[CallerRecord], kind: Kind, is_counted: Callable[[CallerRecord], bool]
) -> float:
    found = _of_kind(records, kind)
    return round(sum(map(is_counted, found)) / max(1, len(found)), 4)


def _is_on_time_at_first(record: CallerRecord) -> bool:
    return (
        record.is_served
        and record.first_seconds is not None
        and record.first_seconds <= record.kind.objective_seconds
    )


def _is_paused_only(record: CallerRecord) -> bool:
    is_paused = record.longest_gap_seconds > GAP_SECONDS
    return is_paused and _is_on_time_at_first(record)


def _is_late(record: CallerRecord) -> bool:
    return not _is_on_time_at_first(record) or _is_paused_only(record)
