"""How many non-idempotent calls the table's write budget carries.

Seven daemons, and 540, claim calls as they come, in virtual time, against a table
that takes 300 transactions a second and answers after 10 ms. The baseline gives each
claim a transaction of its own. Answers are stored as well, so each call needs two
writes.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, replace

import numpy as np
from returns.result import Failure, Success

from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    DaemonId,
    IdempotencyKey,
    RequestId,
)
from lycheepost.standin.objects import make_object_model
from lycheepost.standin.table import make_table_model
from lycheepost.standin.virtualtime import run_virtual, virtual_clock
from lycheepost.state.claim_rows import Granted, StoredAnswer
from lycheepost.state.claims import ClaimLimits, ClaimManager, make_claim_manager

WRITES_PER_SECOND = 300.0
_LOADS = ((7, 70.0), (7, 700.0), (7, 3500.0), (540, 3500.0))
_SECONDS = 10.0
_LATENCY_SECONDS = 0.01
_ANSWER = StoredAnswer(200, "application/json", b'{"ticket": 1}')


@dataclass(frozen=True, slots=True)
class ClaimRateRecord:
    """What became of the claims.

    ``n_refused`` claims were told at once that they had not run.
    """

    measure: str
    policy: str
    n_daemons: int
    offered_per_second: float
    granted_per_second: float
    n_refused: int
    transactions_per_second: float
    n_throttled: int
    p50_seconds: float
    p99_seconds: float


@dataclass(slots=True)
class _Tally:
    outcomes: Counter[str]
    taken_seconds: list[float]


def measure_claims(seed: int) -> list[ClaimRateRecord]:
    """Return records for several loads, each with group commit and without."""
    together = ClaimLimits(
        max_writes_per_second=WRITES_PER_SECOND,
    )
    alone = replace(together, batch_rows=1, batch_seconds=0.0)
    records = []
    for n_daemons, offered_per_second in _LOADS:
        for policy, limits in (
            ("lycheepost", together),
            ("a transaction for each claim", alone),
        ):
            work = _measure(seed, policy, limits, n_daemons, offered_per_second)
            records.append(run_virtual(work))
    return records


async def _measure(
    seed: int,
    policy: str,
    limits: ClaimLimits,
    n_daemons: int,
    offered_per_second: float,
) -> ClaimRateRecord:
    clock = virtual_clock()
    table = make_table_model(clock, 1e9, WRITES_PER_SECOND)
    table.faults.delay_seconds = _LATENCY_SECONDS
    keepers = [
        make_claim_manager(
            table,
            make_object_model(clock),
            clock,
            DaemonId(f"daemon-{n}"),
            limits,
            n_daemons=lambda: n_daemons,
        )
        for n in range(n_daemons)
    ]
    for keeper in keepers:
        await keeper.start()
    tally = _Tally(Counter(), [])
    dice = random.Random(seed)
    calls = []
    for number in range(int(offered_per_second * _SECONDS)):
        keeper = keepers[dice.randrange(n_daemons)]
        calls.append(asyncio.create_task(_call(keeper, number, tally)))
        await asyncio.sleep(dice.expovariate(offered_per_second))
    transactions = table.writes.n_units
    await asyncio.gather(*calls)
    for keeper in keepers:
        await keeper.stop()
    return ClaimRateRecord(
        measure="claims",
        policy=policy,
        n_daemons=n_daemons,
        offered_per_second=offered_per_second,
        granted_per_second=tally.outcomes["granted"] / _SECONDS,
        n_refused=tally.outcomes["refused"],
        transactions_per_second=transactions / _SECONDS,
        n_throttled=table.writes.n_throttled,
        p50_seconds=float(np.percentile(tally.taken_seconds, 50)),
        p99_seconds=float(np.percentile(tally.taken_seconds, 99)),
    )


async def _call(keeper: ClaimManager, number: int, tally: _Tally) -> None:
    clock = virtual_clock()
    started_seconds = clock.now_seconds()
    claimed = await keeper.claim(
        CustomerId("kiosks"),
        IdempotencyKey(str(number)),
        BodyFingerprint(number),
        RequestId(str(number)),
    )
    match claimed:
        case Success(Granted() as granted):
            tally.outcomes["granted"] += 1
            tally.taken_seconds.append(clock.now_seconds() - started_seconds)
            await keeper.store_answer(granted, _ANSWER)
        case Failure(_):
            tally.outcomes["refused"] += 1
