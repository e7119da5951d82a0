"""Stateful tests: hypothesis draws the events, and models check the outcome."""

import asyncio
import itertools
from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Success

from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    DaemonId,
    IdempotencyKey,
    RequestId,
    Revision,
)
from lycheepost.generated.configuration import Customer
from lycheepost.ports.table import Transaction, Write
from lycheepost.standin.objects import make_object_model
from lycheepost.standin.table import make_table_model
from lycheepost.standin.tableclient import TableClient
from lycheepost.standin.virtualtime import VirtualTimeLoop
from lycheepost.state.claim_rows import (
    Answered,
    BodyDiffers,
    Granted,
    StoredAnswer,
)
from lycheepost.state.claims import ClaimLimits, make_claim_manager
from lycheepost.state.errors import CommitUnknown
from lycheepost.state.leases import LeaseManager
from lycheepost.state.revisions import make_revision_manager
from lycheepost.state.snapshots import SnapshotWork

SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=80,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
DAEMONS = st.integers(0, 2)
N_KEYS = 6
KEYS = st.integers(0, N_KEYS - 1)
BODIES = st.sampled_from([1, 1, 1, 2])
FAULTS = st.sampled_from(
    ["lost", "late", "lost, down", "late, down", "stale", "refused", "slow", "down"]
    + ["up"] * 3
)


class StoreMachine(RuleBasedStateMachine):
    """A store in virtual time, with faults drawn between steps."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.store = make_table_model(self.loop, 1e9, 1e9)
        self.objects = make_object_model(self.loop)

    def run(self, work):
        return self.loop.run_until_complete(work)

    @rule(fault=FAULTS)
    def fault(self, fault):
        faults = self.store.faults
        match fault:
            case "lost":
                faults.n_lost_answers += 1
            case "late":
                faults.n_late_writes, faults.late_seconds = 2, 3.0
            case "lost, down":
                faults.n_lost_answers = 1
                self.loop.call_later(0.01, setattr, faults, "is_down", True)
            case "late, down":
                faults.n_late_writes, faults.late_seconds = 1, 12.0
                self.loop.call_later(0.01, setattr, faults, "is_down", True)
            case "stale":
                faults.n_stale_reads += 1
            case "refused":
                faults.n_refused += 2
            case "slow":
                faults.delay_seconds = 0.5
            case "down":
                faults.is_down = True
            case "up":
                self.clear_faults()

    def clear_faults(self):
        self.store.faults.clear()

    def recover(self):
        """End all faults, including ones about to begin, and wait for retries."""
        self.run(asyncio.sleep(0.1))
        self.clear_faults()
        self.run(asyncio.sleep(30))

    @rule(seconds=st.sampled_from([0.1, 2.0, 8.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    def teardown(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()


class ClaimMachine(StoreMachine):
    """Orders sent through three daemons that crash and are exposed to all faults."""

    def __init__(self):
        super().__init__()
        self.boots = {}
        self.managers = {}
        self.ran = {}
        self.answers = {}
        self.open = []
        self.in_doubt = False
        self.numbers = itertools.count()
        for number in range(3):
            self.boot(number)

    def boot(self, number):
        boot = f"boot-{next(self.numbers)}"
        self.boots[DaemonId(f"d{number}")] = boot
        manager = make_claim_manager(
            self.store,
            self.objects,
            self.loop,
            DaemonId(f"d{number}"),
            ClaimLimits(wait_seconds=2.0, max_writes_per_second=1e7),
            lambda owner, owner_boot: self.boots.get(owner) == owner_boot,
            boot,
        )
        self.managers[number] = manager
        self.run(manager.start())

    async def claim(self, number, key, body, timeout_seconds):
        claim = self.managers[number].claim(
            CustomerId("c"),
            IdempotencyKey(f"k{key}"),
            BodyFingerprint(body),
            RequestId("r"),
        )
        try:
            return number, await asyncio.wait_for(claim, timeout_seconds)
        except TimeoutError:
            return number, None

    @rule(
        key=KEYS,
        body=BODIES,
        senders=st.lists(DAEMONS, min_size=1, max_size=3),
        timeout_seconds=st.sampled_from([0.2, 30.0]),
        then=st.sampled_from(["run", "answer", "release", "abandon", "keep"]),
    )
    def send(self, key, body, senders, timeout_seconds, then):
        async def send_all():
            return await asyncio.gather(
                *(self.claim(n, key, body, timeout_seconds) for n in senders)
            )

        for number, outcome in self.run(send_all()):
            if isinstance(outcome, Success):
                self.check_outcome(number, key, body, outcome.unwrap(), then)

    def check_outcome(self, number, key, body, outcome, then):
        match outcome:
            case Granted() as granted:
                assert key not in self.ran, "a second run"
                self.ran[key] = body
                self.open.append((number, key, granted, self.managers[number]))
                self.end(len(self.open) - 1, then)
            case Answered(answer):
                assert self.answers.get(key) == answer, "not the first answer"
            case BodyDiffers():
                assert self.ran.get(key) != body, "the same body was refused"

    @rule(index=st.integers(0, 5), then=st.sampled_from(["answer", "release"]))
    def end_later(self, index, then):
        if index < len(self.open):
            self.end(index, then)

    def end(self, index, then):
        number, key, granted, manager = self.open[index]
        if then in ("run", "keep"):
            return
        self.open.pop(index)
        if manager is not self.managers[number]:
            return
        match then:
            case "answer":
                body = b"x" * (20_000 if key % 2 else 10) + str(index).encode()
                self.answers[key] = StoredAnswer(200, "text/plain", body)
                self.run(manager.store_answer(granted, self.answers[key]))
            case "abandon":
                self.run(manager.abandon(granted))
            case "release":
                del self.ran[key]
                self.run(manager.release(granted))

    @rule(number=DAEMONS)
    def crash(self, number):
        # Claims not completed before the crash stay claimed and never run.
        self.in_doubt |= self.managers[number].status()["n_unsettled"] > 0
        self.run(self.managers[number].stop())
        self.boot(number)

    def teardown(self):
        self.recover()
        try:
            self.send_all_again()
        finally:
            super().teardown()

    def send_all_again(self):
        for key, number in itertools.product(range(N_KEYS), range(3)):
            body = self.ran.get(key, 1)
            outcome = self.run(self.claim(number, key, body, 60))[1]
            assert isinstance(outcome, Success), "a healthy store decides"
            if key not in self.ran and not self.in_doubt:
                assert isinstance(outcome.unwrap(), Granted), "lost, and never ran"
            self.check_outcome(number, key, body, outcome.unwrap(), "answer")


class LeaseMachine(StoreMachine):
    """Three daemons that acquire, renew and release one lease."""

    def __init__(self):
        super().__init__()
        self.copies = [self.store.copy()]
        self.managers = {n: self.make(n) for n in range(3)}
        self.leases = {}
        self.highest = 0

    def make(self, number):
        client = TableClient(self.store, self.loop)
        return LeaseManager(client, self.loop, DaemonId(f"d{number}"), 6.0, 1.0)

    @rule()
    def copy(self):
        self.copies.append(self.store.copy())

    @rule(index=st.integers(0, 5), n_others=st.sampled_from([0, 1, 5]))
    def restore(self, index, n_others):
        self.store.restore(self.copies[index % len(self.copies)])
        for _ in range(n_others):
            self.run(self.store.commit(Transaction((), (Write("other", b"x"),))))

    @rule(number=DAEMONS)
    def acquire(self, number):
        if number in self.leases:
            return
        outcome = self.run(self.managers[number].acquire("duty"))
        if isinstance(outcome, Success):
            lease = outcome.unwrap()
            assert lease.fencing_number > self.highest, "a fencing number again"
            self.highest = lease.fencing_number
            self.leases[number] = lease

    @rule(number=DAEMONS)
    def renew(self, number):
        lease = self.leases.get(number)
        if lease is None:
            return
        outcome = self.run(self.managers[number].renew(lease))
        if isinstance(outcome, Success):
            self.leases[number] = outcome.unwrap()

    @rule(number=DAEMONS)
    def release(self, number):
        lease = self.leases.pop(number, None)
        if lease is not None:
            self.run(self.managers[number].release(lease))

    @rule(number=DAEMONS)
    def crash(self, number):
        self.leases.pop(number, None)
        self.managers[number] = self.make(number)

    @invariant()
    def at_most_one_holder(self):
        now_seconds = self.loop.now_seconds()
        held = [n for n, lease in self.leases.items() if lease.is_held(now_seconds)]
        assert len(held) <= 1, held


class RevisionMachine(StoreMachine):
    """Three daemons with concurrent commits while peers forward revisions."""

    def __init__(self):
        super().__init__()
        self.numbers = itertools.count(1)
        self.history = {}
        self.managers = {n: self.make(n) for n in range(3)}
        self.seen = dict.fromkeys(range(3), 0)
        self.confirmed = 0
        self.refused = set()

    def make(self, number):
        return make_revision_manager(self.store, self.objects, self.loop, seed=number)

    @rule(numbers=st.lists(DAEMONS, min_size=1, max_size=3), is_old=st.booleans())
    def commit(self, numbers, is_old):
        async def commit_all():
            return await asyncio.gather(*(self.commit_one(n, is_old) for n in numbers))

        outcomes = self.run(commit_all())
        won = [out.unwrap() for out, _ in outcomes if isinstance(out, Success)]
        assert len(won) == len(set(won)), "two changes became one revision"
        for outcome, name in outcomes:
            if isinstance(outcome, Success):
                self.confirm(outcome.unwrap(), name)
            elif not isinstance(outcome.failure(), CommitUnknown):
                self.refused.add(name)

    async def commit_one(self, number, is_old):
        manager = self.managers[number]
        before = manager.accepted
        name = f"customer-{next(self.numbers)}"
        customers = [*before.customers, Customer(customer=name, key_hashes=[])]
        basis = max(0, before.revision - is_old)
        changed = replace(before, customers=customers)
        return await manager.commit(Revision(basis), changed), name

    def confirm(self, revision, name):
        self.confirmed = max(self.confirmed, revision)
        holder = next(k for k in self.managers.values() if k.revision >= revision)
        names = [item.customer for item in holder.accepted.customers]
        assert names.count(name) == 1, "a confirmed change is missing"

    @rule(number=DAEMONS)
    def refresh(self, number):
        self.run(self.managers[number].refresh())

    @rule(giver=DAEMONS, taker=DAEMONS, is_whole=st.booleans())
    def pass_on(self, giver, taker, is_whole):
        giver, taker = self.managers[giver], self.managers[taker]
        deltas = giver.deltas_after(taker.revision)
        if is_whole or deltas is None:
            taker.adopt(giver.accepted, "peer")
        else:
            taker.adopt_deltas(deltas, "peer")

    @rule(number=DAEMONS)
    def restart(self, number):
        self.managers[number] = self.make(number)
        self.seen[number] = 0

    @rule(number=DAEMONS)
    def snapshot(self, number):
        work = SnapshotWork(self.store, self.objects, self.managers[number], every=2)
        self.run(work.work(None))

    @invariant()
    def never_back_and_agreed(self):
        for number, manager in self.managers.items():
            assert manager.revision >= self.seen[number], "went back"
            self.seen[number] = manager.revision
            known = self.history.setdefault(manager.revision, manager.accepted)
            assert known == manager.accepted, "one revision, two contents"

    def teardown(self):
        self.recover()
        fresh = self.make(9)
        outcome = self.run(fresh.refresh())
        assert isinstance(outcome, Success), outcome
        assert fresh.revision >= self.confirmed, "a confirmed change reverted"
        known = self.history.get(fresh.revision, fresh.accepted)
        assert known == fresh.accepted, "one revision, two contents"
        names = {item.customer for item in fresh.accepted.customers}
        assert not names & self.refused, "a refused change is in force"
        super().teardown()


MACHINES = {
    "claims": ClaimMachine,
    "leases": LeaseMachine,
    "revisions": RevisionMachine,
}
