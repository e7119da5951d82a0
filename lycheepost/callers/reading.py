"""One response that is being read: its events, its silence, and what it tells.

Whoever reads a response is told when it is silent, and goes on to read it: its target
may go on.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from lycheepost.core.ids import SoftwareVersion
from lycheepost.targets.events import EventSplitter
from lycheepost.targets.forward import ForwardResponse
from lycheepost.utils.bodies import BodyEnd, BodyFraming
from lycheepost.utils.runningtime import running_timeout


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """How long a stream may be silent.

    Attributes:
        first_byte_seconds: Before the first part.
        idle_seconds: Between two parts; None for as long as the caller waits.
        on_silent: Called with the length of the silence after each time-out.
    """

    first_byte_seconds: float
    idle_seconds: float | None
    on_silent: Callable[[float], None]


async def read_watched(
    answer: ForwardResponse,
    wait_seconds: float | None,
    on_silent: Callable[[float], None],
) -> bytes | None:
    """Return the next bytes of a response; None after its end.

    Args:
        answer: The response.
        wait_seconds: Time-out of its silence; None for none.
        on_silent: Called with the length of the silence after each time-out.
    """
    n_timeouts = 0
    while True:
        try:
            async with running_timeout("silence", wait_seconds):
                return await answer.read()
        except TimeoutError:
            n_timeouts += 1
            on_silent(n_timeouts * (wait_seconds or 0.0))


@dataclass(frozen=True, slots=True)
class RelayedBody:
    """How the body of a response was framed and ended, for the log.

    Attributes:
        n_partial_bytes: Bytes of an event that had begun and did not end.
    """

    framing: BodyFraming
    end: BodyEnd
    n_partial_bytes: int


@dataclass(slots=True, eq=False)
class AttemptTrace:
    """What one attempt has relayed.

    Attributes:
        software_version: Version of the target's software, if known.
        has_written: The target has completed an event, or its whole answer.
        body: How the body of its response was framed and ended; None before its
            headers.
    """

    software_version: SoftwareVersion | None = None
    has_written: bool = False
    body: RelayedBody | None = None


@dataclass(frozen=True, slots=True)
class AttemptCalls:
    """What is called as the response of one attempt arrives.

    Attributes:
        on_first: Called when the first part has arrived.
        on_written: Called when the target has completed an event, or a whole
            successful answer.
    """

    on_first: Callable[[], None] = lambda: None
    on_written: Callable[[], None] = lambda: None


@dataclass(slots=True)
class Reading:
    """One response that is being read.

    Attributes:
        n_sent_events: Events that were sent to the caller.
    """

    answer: ForwardResponse
    timeouts: StreamTimeouts
    trace: AttemptTrace
    calls: AttemptCalls
    splitter: EventSplitter = field(default_factory=EventSplitter)
    n_sent_events: int = 0

    async def read_first(self) -> bytes | None:
        """Return the first bytes of the body."""
        timeouts = self.timeouts
        return await read_watched(
            self.answer, timeouts.first_byte_seconds, timeouts.on_silent
        )

    async def read_next(self) -> bytes | None:
        """Return the next bytes of the body; None after its end."""
        timeouts = self.timeouts
        return await read_watched(
            self.answer, timeouts.idle_seconds, timeouts.on_silent
        )

    def is_after(self, after_id: int | None) -> bool:
        """Return whether a continuation starts after the caller's last event.

        A target that starts from the beginning would repeat events.
        """
        first_id = self.splitter.first_id
        return after_id is None or first_id is None or first_id > after_id

    def note_written(self) -> None:
        """Record that the target has completed an event, or its whole answer."""
        if not self.trace.has_written:
            self.trace.has_written = True
            self.calls.on_written()
