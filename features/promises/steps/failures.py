"""Failures, by their names in the tables of the features."""

import asyncio

from lycheepost.standin.faults import (
    Crossed,
    Doubled,
    LostAnswer,
    Refused,
    Silent,
    Skipped,
    SlowFirstByte,
    Swallowed,
    Truncated,
    WrongEcho,
)

OUTAGE_SECONDS = 0.6


async def crash_engine(fleet):
    fleet.standins.engines[0].crash()


async def crash_every_engine(fleet):
    for engine in fleet.standins.engines:
        engine.crash()


async def freeze_engine(fleet):
    fleet.standins.engines[1].freeze()


async def freeze_every_engine(fleet):
    for engine in fleet.standins.engines:
        engine.freeze()


async def crash_service(fleet):
    fleet.standins.services[0].crash()


async def freeze_services(fleet):
    for service in fleet.standins.services:
        service.freeze()


async def lose_service_answers(fleet):
    for service in fleet.standins.services:
        service.faults.add(LostAnswer(), n_calls=4)


async def refuse_service_calls(fleet):
    for service in fleet.standins.services:
        service.faults.add(Refused(status=503), n_calls=4)


async def table_outage(fleet):
    fleet.standins.table.faults.is_down = True
    await asyncio.sleep(OUTAGE_SECONDS)
    fleet.standins.table.faults.is_down = False


async def slow_table(fleet):
    fleet.standins.table.faults.delay_seconds = 0.2
    await asyncio.sleep(OUTAGE_SECONDS)
    fleet.standins.table.faults.delay_seconds = 0.0


async def lose_table_answers(fleet):
    fleet.standins.table.faults.n_lost_answers = 15


async def late_table_writes(fleet):
    fleet.standins.table.faults.late_seconds = 0.7
    fleet.standins.table.faults.n_late_writes = 8


async def stale_table_reads(fleet):
    fleet.standins.table.faults.n_stale_reads = 30


async def platform_outage(fleet):
    services = (fleet.standins.table, fleet.standins.objects, fleet.standins.vm_list)
    for service in services:
        service.faults.is_down = True
    await asyncio.sleep(OUTAGE_SECONDS)
    for service in services:
        service.faults.is_down = False


async def restart_daemon(fleet):
    await fleet.restart(1)


async def restart_all_daemons(fleet):
    await fleet.restart(0, 1, 2)


async def drain_daemon(fleet):
    await fleet.drain_and_restart(1)


async def slow_target(fleet):
    fleet.standins.engines[2].faults.add(SlowFirstByte(seconds=0.6), n_calls=20)


def stream_fault(fault, n_calls=2):
    async def inject(fleet):
        for engine in fleet.standins.engines:
            engine.faults.add(fault, n_calls=n_calls)

    return inject


FAILURES = {
    "nothing": lambda fleet: asyncio.sleep(0),
    "an engine crashes": crash_engine,
    "every engine crashes": crash_every_engine,
    "an engine's connections go silent": freeze_engine,
    "every engine's connections go silent": freeze_every_engine,
    "a service crashes": crash_service,
    "services' connections go silent": freeze_services,
    "services' answers are lost": lose_service_answers,
    "services refuse calls": refuse_service_calls,
    "the table is down": table_outage,
    "the table is slow": slow_table,
    "the table's answers are lost": lose_table_answers,
    "the table's writes come late": late_table_writes,
    "the table's reads are stale": stale_table_reads,
    "the whole platform is down": platform_outage,
    "a daemon restarts": restart_daemon,
    "all daemons restart": restart_all_daemons,
    "a daemon drains": drain_daemon,
    "a target is slow": slow_target,
    "streams end early, cleanly": stream_fault(Truncated(after_events=3)),
    "streams break off": stream_fault(Truncated(after_events=3, is_clean=False)),
    "streams go silent": stream_fault(Silent(after_events=3)),
    "events are doubled": stream_fault(Doubled(event=3)),
    "events are skipped": stream_fault(Skipped(event=3)),
    "events of others come": stream_fault(Crossed(event=3)),
    "answers name others": stream_fault(WrongEcho()),
    "requests are swallowed": stream_fault(Swallowed()),
    "engines refuse": stream_fault(Refused(status=503)),
}


async def inject_all(fleet, names):
    await asyncio.gather(*(FAILURES[name](fleet) for name in names))


def clear_counted_faults(fleet):
    """Remove the injected faults that no call has met yet."""
    for target in (*fleet.standins.engines, *fleet.standins.services):
        target.faults.clear()
    table_faults = fleet.standins.table.faults
    for name in ("n_lost_answers", "n_late_writes", "n_stale_reads", "n_refused"):
        setattr(table_faults, name, 0)
