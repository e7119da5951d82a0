"""An engine whose running requests share its memory, in steps of virtual time.

It admits waiting requests by urgency and then by age, reads their prompts in pieces
between the tokens of the others, and puts the newest of the least urgent requests back
when its memory runs out. What was put back is read again, with its output so far.
Cached prompt parts are left out: they yield to running requests.
"""

from dataclasses import dataclass, field

from lycheepost.core.ids import RequestId


@dataclass(slots=True)
class EngineRun:
    """One request at an engine.

    Attributes:
        unread_tokens: Tokens that must be read before the next token is made.
        longest_gap_seconds: Longest pause between two tokens.
    """

    rank: int
    prompt_tokens: int
    output_tokens: int
    arrived_seconds: float
    n_made: int = 0
    unread_tokens: int = 0
    order: int = 0
    first_seconds: float | None = None
    last_seconds: float = 0.0
    ended_seconds: float | None = None
    longest_gap_seconds: float = 0.0

    @property
    def n_tokens(self) -> int:
        """Return the tokens that it holds while it runs."""
        return self.prompt_tokens + self.n_made

    def make_token(self, now_seconds: float) -> None:
        """Make one token."""
        self.n_made += 1
        if self.first_seconds is None:
            self.first_seconds = now_seconds
        else:
            gap_seconds = now_seconds - self.last_seconds
            self.longest_gap_seconds = max(self.longest_gap_seconds, gap_seconds)
        self.last_seconds = now_seconds


@dataclass(slots=True)
class MemoryEngine:
    """One engine.

    Attributes:
        read_tokens: Prompt tokens that it reads in one step.
        held_tokens: Tokens held by running requests.
        n_put_back: How often a running request was put back.
        n_read_tokens: Tokens read.
        n_read_again: Tokens that put-back requests must have read again.
    """

    memory_tokens: int
    n_slots: int
    read_tokens: int
    held_tokens: int = 0
    n_put_back: int = 0
    n_read_tokens: int = 0
    n_read_again: int = 0
    _n_submitted: int = 0
    _waiting: dict[RequestId, EngineRun] = field(default_factory=dict)
    _running: dict[RequestId, EngineRun] = field(default_factory=dict)

    def submit(self, request: RequestId, run: EngineRun) -> None:
        """Add a request."""
        self._n_submitted += 1
        run.order = self._n_submitted
        run.unread_tokens = run.prompt_tokens
        self._waiting[request] = run

    def advance(self, now_seconds: float) -> tuple[list[RequestId], list[RequestId]]:
        """Run one step; return the requests with a first token, and the ended ones."""
        self._admit()
        self._read()
        started, ended = [], []
        for request, run in list(self._running.items()):
            if run.unread_tokens or request not in self._running:
                continue
            run.make_token(now_seconds)
            self.held_tokens += 1
            if run.n_made == 1:
                started.append(request)
            if run.n_made >= run.output_tokens:
                run.ended_seconds = now_seconds
                self._stop(request)
                ended.append(request)
        while self.held_tokens > self.memory_tokens and len(self._running) > 1:
            self._put_back()
        return started, ended

    def _admit(self) -> None:
        for request, run in sorted(self._waiting.items(), key=_urgency):
            while not self._fits(run) and self._is_more_urgent(run):
                self._put_back()
            if not self._fits(run):
                return
            del self._waiting[request]
            self._running[request] = run
            self.held_tokens += run.n_tokens

    def _fits(self, run: EngineRun) -> bool:
        if len(self._running) >= self.n_slots:
            return False
        return self.held_tokens + run.n_tokens <= self.memory_tokens

    def _is_more_urgent(self, run: EngineRun) -> bool:
        return any(other.rank > run.rank for other in self._running.values())

    def _put_back(self) -> None:
        request, run = max(self._running.items(), key=_urgency)
        self._stop(request)
        self.n_put_back += 1
        self.n_read_again += run.n_tokens - run.unread_tokens
        run.unread_tokens = run.n_tokens
        self._waiting[request] = run

    def _stop(self, request: RequestId) -> None:
        self.held_tokens -= self._running.pop(request).n_tokens

    def _read(self) -> None:
        left_tokens = self.read_tokens
        for _, run in sorted(self._running.items(), key=_urgency):
            n_tokens = min(left_tokens, run.unread_tokens)
            run.unread_tokens -= n_tokens
            left_tokens -= n_tokens
            self.n_read_tokens += n_tokens


def _urgency(item: tuple[RequestId, EngineRun]) -> tuple[int, int]:
    return item[1].rank, item[1].order
