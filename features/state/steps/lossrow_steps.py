"""Steps of lossrow.feature."""

import asyncio
import random
from dataclasses import dataclass, replace

from behave import given, then, when

from lycheepost.core.ids import (
    BodyFingerprint,
    PromptPartKey,
    RunKey,
    StartKey,
)
from lycheepost.decide.lossrecord import (
    LossRecord,
    apply_record,
    is_verdict,
    make_record,
)
from lycheepost.decide.partlosses import LostRun
from lycheepost.decide.parttrials import PartTrials
from lycheepost.decide.quarantine import LossReport
from lycheepost.decide.suspicion import SuspicionNews, make_suspicion
from lycheepost.ports.table import Transaction, Write
from lycheepost.standin.table import make_table_model
from lycheepost.standin.tableclient import TableClient
from lycheepost.state.lossrow import KEY, LossRow

REQUEST = BodyFingerprint(11)
PART, SOUND_PART = PromptPartKey(2**64 - 1), PromptPartKey(8)
QUARANTINE_SECONDS = 600.0
NOW_SECONDS = 50.0
WALL_SECONDS = 1_800_000_000.0
ROWS = {
    "not text": b"\xff\xfe",
    "a list": b"[1, 2]",
    "of numbers out of range": (
        b'{"quarantines": [{"fingerprint": 1e400, "until_wall_seconds": 1,'
        b' "starts": []}], "runs": []}'
    ),
    "without quarantines": b"{}",
    "missing": None,
}


@dataclass
class OwnClock:
    """A clock whose two readings begin at different times."""

    now: float = NOW_SECONDS
    wall: float = WALL_SECONDS

    def now_seconds(self):
        return self.now

    def wall_seconds(self):
        return self.wall


def suspicion_of():
    return make_suspicion(2, QUARANTINE_SECONDS, PartTrials(random.Random(1)))


def add_losses(suspicion, part, n, lost_seconds):
    """Add runs with a part that were lost one after the other, the last one now."""
    for number in range(n):
        at_seconds = lost_seconds - 0.01 * (n - 1 - number)
        suspicion.note_peer_run(
            LostRun(
                RunKey(2**63 + number),
                StartKey(f"target-{number}"),
                frozenset({part, PromptPartKey(1000 + number)}),
                at_seconds - 0.005,
                at_seconds,
            )
        )


def write(context, record):
    row = LossRow(context.store_table, OwnClock())
    assert asyncio.run(row.write(record)).unwrap() is None


def quarantine(fingerprint, for_seconds):
    until_seconds = NOW_SECONDS + for_seconds
    return LossReport(fingerprint, NOW_SECONDS, NOW_SECONDS, until_seconds, True)


@given("a daemon has quarantined a request for {seconds:g} s and blamed a part")
def step_recorded(context, seconds):
    context.store_table = TableClient(make_table_model(), OwnClock())
    suspicion = suspicion_of()
    suspicion.note_peer_loss(quarantine(REQUEST, seconds))
    add_losses(suspicion, PART, 3, NOW_SECONDS)
    write(context, make_record(suspicion, NOW_SECONDS))


@given("the row is {row}")
def step_row(context, row):
    odd = Transaction((), (Write(KEY, ROWS[row]),))
    asyncio.run(context.store_table.commit(odd)).unwrap()


@given(
    "a daemon has blamed a part for {n_losses:d} losses and quarantined {n:d} requests"
)
def step_many(context, n_losses, n):
    context.store_table = TableClient(make_table_model(), OwnClock())
    suspicion = suspicion_of()
    add_losses(suspicion, PART, n_losses, NOW_SECONDS)
    for number in range(n):
        # The request that the next steps ask for ends last, and is known first.
        other = BodyFingerprint(2**63 + number) if number else REQUEST
        starts = tuple(StartKey(f"target-{number}-{item}") for item in range(2))
        loss = quarantine(other, QUARANTINE_SECONDS - 0.1 * number)
        suspicion.note_peer_loss(replace(loss, starts=starts))
    write(context, make_record(suspicion, NOW_SECONDS))


@then("its row has less than {n:d} bytes")
def step_bytes(context, n):
    [row] = asyncio.run(context.store_table.read((KEY,))).unwrap()
    assert 3 * 50 < len(row.value) < n, len(row.value)


@given("a daemon suspects a request and a part")
def step_suspects(context):
    context.suspicion = suspicion_of()
    context.suspicion.wholes.note_loss(REQUEST, 1.0, 2.0, StartKey("target-0"))
    add_losses(context.suspicion, PART, 2, NOW_SECONDS)


@then("it has recorded nothing")
def step_nothing(context):
    suspicion = context.suspicion
    news = SuspicionNews(runs=suspicion.parts.runs)
    assert not is_verdict(news, suspicion)
    assert make_record(suspicion, NOW_SECONDS) == LossRecord()


@when("another daemon starts {seconds:g} s later with a clock that is {skew:g} s off")
def step_start(context, seconds, skew):
    # Starts share no clock but the time of day.
    context.clock = OwnClock(7.0, WALL_SECONDS + seconds + skew)
    row = LossRow(context.store_table, context.clock)
    record = asyncio.run(row.read()).unwrap()
    context.suspicion = suspicion_of()
    apply_record(context.suspicion, record, context.clock.now)


def assert_refused(context, fingerprint, seconds):
    wholes = context.suspicion.wholes
    left_seconds = wholes.remaining_seconds(fingerprint, context.clock.now)
    assert abs(left_seconds - seconds) < 0.1, left_seconds


def assert_part_refused(context, seconds):
    parts = frozenset({PART, SOUND_PART})
    found = context.suspicion.parts.refused_seconds(parts, context.clock.now)
    assert abs(found - seconds) < 0.1, found


@then("it refuses the request for {request:g} s and the part for {part:g} s")
def step_refused(context, request, part):
    assert_refused(context, REQUEST, request)
    assert_part_refused(context, part)
