"""Sends a plan's requests open-loop and reports what their callers saw.

Each request is a task that starts at its arrival time, independent of the others. A
run is limited in time, in the number of requests and in the number in flight. An
arrival while too many are in flight is counted as not sent, so that the number of
tasks stays bounded if the system does not answer.
"""

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import dataclass, field

import aiohttp
import numpy as np

from lycheepost.core.ids import CustomerId
from lycheepost.loadgen.addresses import AddressBook, refresh_addresses
from lycheepost.loadgen.audit import Evidence, ExpectedAnswers, audit
from lycheepost.loadgen.calls import run_call
from lycheepost.loadgen.completions import Client, send_completion
from lycheepost.loadgen.mixes import Deployment, Mix, generate, make_mix
from lycheepost.loadgen.outcomes import (
    CompletionOutcome,
    CompletionRecord,
    Record,
    Refused,
    Unreached,
)
from lycheepost.loadgen.report import LoadReport, make_report
from lycheepost.loadgen.requests import Completion, Request, ServiceCall
from lycheepost.utils.bodies import TrackedResponse
from lycheepost.utils.boundedreads import make_bounded_connector

_PROGRESS_INTERVAL_SECONDS = 1.0
_CONNECT_TIMEOUT_SECONDS = 2.0
_MAX_ADDRESSES_PER_COMPLETION = 3
"""Addresses that a completion tries before it is recorded as unreached."""


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a run."""

    elapsed_seconds: float
    n_sent: int
    n_ended: int
    n_in_flight: int
    n_refused: int


async def _no_evidence() -> Evidence:
    return Evidence()


@dataclass(frozen=True)
class LoadPlan:
    """Settings of a run.

    Attributes:
        addresses: Base URLs from the callers' settings.
        keys: Caller keys, the largest customer first.
        model: Name of the model that completions request.
        service_path: Path of the plain service, such as
            ``/services/kiosk-orders/orders``; empty to send no such calls.
        rate_per_second: Arrival rate at the peak of the day.
        day_seconds: Length of a day; 0 means the length of the run.
        answers: The engines' expected answers.
        read_evidence: Reads the targets' records after the run.
    """

    addresses: tuple[str, ...]
    keys: Mapping[CustomerId, str]
    deployment: Deployment
    model: str
    service_path: str
    answers: ExpectedAnswers
    n_seconds: float = 10.0
    rate_per_second: float = 20.0
    day_seconds: float = 0.0
    seed: int = 0
    max_requests: int = 100_000
    max_in_flight: int = 2_000
    read_evidence: Callable[[], Awaitable[Evidence]] = _no_evidence
    on_progress: Callable[[Progress], None] | None = None


@dataclass
class _Run:
    """State of one run, owned by the task of ``run_load``."""

    plan: LoadPlan
    mix: Mix
    session: aiohttp.ClientSession
    books: dict[CustomerId, AddressBook]
    run_id: str
    rng: np.random.Generator
    records: list[Record] = field(default_factory=list)
    n_sent: int = 0
    n_over_bound: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    ids: Iterator[int] = field(default_factory=itertools.count)

    def make_client(self, customer: CustomerId, address: str) -> Client:
        return Client(self.session, address, self.plan.keys[customer], self.plan.model)

    def make_request_id(self) -> str:
        return f"load-{self.run_id}-{next(self.ids)}"


async def run_load(plan: LoadPlan) -> LoadReport:
    """Send all requests of ``plan``, wait for the answers, audit and report."""
    rng = np.random.default_rng(plan.seed)
    connector = make_bounded_connector("load", limit=0)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout, response_class=TrackedResponse
    ) as session:
        run = _Run(
            plan=plan,
            mix=make_mix(plan.deployment),
            session=session,
            books={customer: AddressBook(plan.addresses) for customer in plan.keys},
            # Generated from the seed, so that a seeded run repeats its ids.
            run_id=f"{rng.integers(2**40):010x}",
            rng=rng,
        )
        started_seconds = asyncio.get_running_loop().time()
        progress = asyncio.create_task(_report_progress(run, started_seconds))
        try:
            await _send_all(run, started_seconds)
            await asyncio.gather(*run.tasks)
        finally:
            progress.cancel()
            for task in run.tasks:
                task.cancel()
    elapsed_seconds = asyncio.get_running_loop().time() - started_seconds
    evidence = await plan.read_evidence()
    findings = audit(run.records, evidence, plan.answers)
    return make_report(
        run.records, findings, elapsed_seconds, run.n_sent, run.n_over_bound
    )


async def _send_all(run: _Run, started_seconds: float) -> None:
    plan = run.plan
    loop = asyncio.get_running_loop()
    day_seconds = plan.day_seconds or plan.n_seconds
    customers = tuple(plan.keys)
    requests = generate(run.mix, customers, plan.rate_per_second, day_seconds, run.rng)
    for request in itertools.islice(requests, plan.max_requests):
        if request.arrive_seconds > plan.n_seconds:
            return
        if isinstance(request, ServiceCall) and not plan.service_path:
            continue
        wait_seconds = started_seconds + request.arrive_seconds - loop.time()
        await asyncio.sleep(max(0.0, wait_seconds))
        if len(run.tasks) >= plan.max_in_flight:
            run.n_over_bound += 1
            continue
        run.n_sent += 1
        task = asyncio.create_task(_send_one(run, request))
        run.tasks.add(task)
        task.add_done_callback(run.tasks.discard)


async def _send_one(run: _Run, request: Request) -> None:
    book = run.books[request.customer]
    key = run.plan.keys[request.customer]
    now_seconds = asyncio.get_running_loop().time()
    await refresh_addresses(book, run.session, key, now_seconds)
    match request:
        case Completion():
            run.records.append(await _send_completion(run, request, book))
        case ServiceCall():
            record = await run_call(
                request,
                book,
                lambda address: run.make_client(request.customer, address),
                run.make_request_id,
                run.plan.service_path,
                run.rng,
            )
            run.records.append(record)


async def _send_completion(
    run: _Run, request: Completion, book: AddressBook
) -> CompletionRecord:
    """Send to the first address that accepts the connection."""
    request_id = run.make_request_id()
    outcome: CompletionOutcome = Unreached("no address")
    for address in book.choices()[:_MAX_ADDRESSES_PER_COMPLETION]:
        client = run.make_client(request.customer, address)
        outcome = await send_completion(request, request_id, client)
        if not isinstance(outcome, Unreached):
            break
        book.mark_failed(address)
    return CompletionRecord(request, request_id, outcome)


async def _report_progress(run: _Run, started_seconds: float) -> None:
    if run.plan.on_progress is None:
        return
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(_PROGRESS_INTERVAL_SECONDS)
        n_by_refused = Counter(
            isinstance(record, CompletionRecord) and isinstance(record.outcome, Refused)
            for record in run.records
        )
        run.plan.on_progress(
            Progress(
                elapsed_seconds=loop.time() - started_seconds,
                n_sent=run.n_sent,
                n_ended=len(run.records),
                n_in_flight=len(run.tasks),
                n_refused=n_by_refused[True],
            )
        )
