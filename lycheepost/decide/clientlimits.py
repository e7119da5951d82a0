"""What a daemon may hold for its clients, by the size of its VM.

Connections and bytes are bounded together: each connection may hold the buffers below,
so their number is bounded by memory as well as by descriptors.
"""

from dataclasses import dataclass

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE

PROCESS_BYTES = 64 * MEBIBYTE
"""Memory of a daemon in calm; the rest of its VM is for clients, targets and peers."""

CLIENT_SHARE = 0.65
"""Of the rest, the share for clients. What is left covers copies of bodies as they are
sent on, and what the allocator does not return."""

CONNECTION_SHARE = 0.6
"""Of the clients' memory, the most that connections take without their requests."""

RECEIVE_BUFFER_BYTES = 16 * KIBIBYTE
"""Receive buffer of a client's socket; one round trip carries an ordinary request. The
kernel queues up to one and a half times as much."""

SMALL_RECEIVE_BUFFER_BYTES = 4 * KIBIBYTE
"""The same on ports that serve requests without a body."""

LARGE_RECEIVE_BUFFER_BYTES = 64 * KIBIBYTE
"""The same while a large body arrives."""

CONNECTION_BYTES = 60 * KIBIBYTE
"""Memory of one connection without its request: what the kernel has received, as much
again that was read and waits for the parser, and the objects of the library."""

REQUEST_BYTES = 24 * KIBIBYTE
"""Memory of one request that is served, without its head, its body and its answer."""

QUEUE_SHARE = 0.125
"""Of the clients' memory, the most in connections that wait to be accepted."""

MIN_QUEUED = 64
MAX_QUEUED = 1024
"""Length of an accept queue, enough for a burst of connections. When it is full, the
SYN is dropped and retransmitted only after a second."""

FILE_DESCRIPTORS = 200
"""Descriptors of the VM that are kept for files."""

DESCRIPTOR_SHARE = 0.5
"""Of the other descriptors, the share for clients; targets, peers and the store have
the rest."""

MIN_CONNECTIONS = 16
MIN_CLIENT_BYTES = 8 * MEBIBYTE

DEFAULT_MEMORY_MEBIBYTES = 88.0
DEFAULT_DESCRIPTORS = 4100
"""Of a VM whose limits are not stated: the smallest that present deployments have."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a daemon may hold for its clients, on all of its ports together.

    Attributes:
        max_bytes: Memory, including what the kernel has received for them.
        max_connections: Open connections.
        max_queued: Connections that wait to be accepted at one port.
    """

    max_bytes: int
    max_connections: int
    max_queued: int


def make_client_limits(
    memory_mebibytes: float = 0.0, n_descriptors: int = 0
) -> ClientLimits:
    """Return the limits for a VM.

    Args:
        memory_mebibytes: Its memory; 0 if unknown.
        n_descriptors: Its descriptors; 0 if unknown.
    """
    memory_bytes = (memory_mebibytes or DEFAULT_MEMORY_MEBIBYTES) * MEBIBYTE
    spare_bytes = max(0.0, memory_bytes - PROCESS_BYTES)
    max_bytes = max(MIN_CLIENT_BYTES, int(CLIENT_SHARE * spare_bytes))
    n_sockets = max(0, (n_descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS)
    max_connections = min(
        int(CONNECTION_SHARE * max_bytes) // CONNECTION_BYTES,
        int(DESCRIPTOR_SHARE * n_sockets),
    )
    n_queued = int(QUEUE_SHARE * max_bytes) // RECEIVE_BUFFER_BYTES
    return ClientLimits(
        max_bytes=max_bytes,
        max_connections=max(MIN_CONNECTIONS, max_connections),
        max_queued=min(MAX_QUEUED, max(MIN_QUEUED, n_queued)),
    )


UNKNOWN_VM_LIMITS = make_client_limits()
"""Of a VM whose size is not stated."""
