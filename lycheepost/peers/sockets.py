"""Links between daemons over ZeroMQ, authenticated by CURVE.

Each daemon binds one ROUTER and opens one DEALER for each outgoing link. Answers go
back over the link on which a message arrived. With keys, both ends prove that they hold
a trusted key and every message is encrypted; a connection from an unknown peer ends in
the handshake, before any code of the daemon runs.

Sends never block: when a queue is full the message is dropped and counted. Heartbeats
repeat the state, so a dropped message only delays an update.
"""

import secrets
from dataclasses import dataclass
from functools import partial

import structlog
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import DaemonId
from lycheepost.peers.socketreader import NOBLOCK, SocketReader
from lycheepost.peers.transport import OnMessage

_ZAP_DOMAIN = "peers"
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
"""A whole configuration at the design size is 3 MB before compression; a message more
than twenty times as large is corrupt or an attack."""
_LOOPBACK_HOSTS = ("127.0.0.1", "::1")
_IDENTITY_SEPARATOR = b"#"
_MORE_NOBLOCK = int(zmq.SNDMORE) | NOBLOCK
_log = structlog.get_logger(part="peers")


@dataclass(frozen=True)
class PeerError(LycheepostError):
    """The peer socket could not be opened."""


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """CURVE keys in Z85.

    Attributes:
        trusted: Public keys accepted besides ``public``. To rotate the key of a
            deployment, first add the new one here on every daemon.
    """

    public: str
    secret: str
    trusted: tuple[str, ...] = ()


def make_peer_keys() -> PeerKeys:
    """Return a new key pair, for all daemons of a deployment to share."""
    public, secret = zmq.curve_keypair()
    return PeerKeys(public.decode(), secret.decode())


class SocketTransport:
    """Implements ``peers.transport.Transport`` over TCP."""

    def __init__(
        self,
        daemon: DaemonId,
        host: str,
        port: int,
        keys: PeerKeys | None,
        queue_messages: int,
    ) -> None:
        self._daemon = daemon
        self._host = host
        self._port = port
        self._keys = keys
        self._queue_messages = queue_messages
        self._context: zmq.Context[zmq.Socket[bytes]] | None = None
        self._authenticator: AsyncioAuthenticator | None = None
        self._router: _Link | None = None
        self._on_message: OnMessage | None = None
        self._dealers: dict[DaemonId, _Link] = {}
        self._accepted: dict[DaemonId, bytes] = {}
        self._n_connects: dict[DaemonId, int] = {}
        self.bytes_out = 0
        self.bytes_in = 0
        self.n_dropped = 0

    @property
    def endpoint(self) -> str:
        """Return where peers reach this daemon; known after ``start``."""
        return f"tcp://{self._host}:{self._port}"

    def set_keys(self, keys: PeerKeys) -> None:
        """Set keys that were not known at construction; call before ``start``."""
        self._keys = keys

    async def start(self, on_message: OnMessage) -> None:
        """Open the listening socket.

        Raises:
            PeerError: The port is taken, or there are no keys on a network.
        """
        if self._keys is None and self._host not in _LOOPBACK_HOSTS:
            raise PeerError("Peers need CURVE keys unless they listen on loopback.")
        self._on_message = on_message
        self._context = zmq.Context()
        router = self._make_socket(zmq.ROUTER)
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        if self._keys is not None:
            self._start_authenticator(self._context, self._keys)
            router.setsockopt(zmq.CURVE_SERVER, 1)
            router.setsockopt_string(zmq.ZAP_DOMAIN, _ZAP_DOMAIN)
            self._set_own_key(router, self._keys)
        try:
            router.bind(self.endpoint.replace(":0", ":*"))
        except zmq.ZMQError as error:
            router.close(linger=0)
            await self.stop()
            raise PeerError(f"The peer port cannot be opened: {error}.") from error
        bound = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._port = int(bound.rpartition(":")[2])
        self._router = _Link(router, SocketReader(router, self._handle_router_message))

    async def stop(self) -> None:
        """Close all links."""
        for daemon in list(self._dealers):
            self.disconnect(daemon)
        if self._router is not None:
            self._router.close()
            self._router = None
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._context is not None:
            self._context.term()
        self._context = None

    def connect(self, daemon: DaemonId, endpoint: str) -> None:
        """Open a new link, replacing an existing one."""
        self.disconnect(daemon)
        if not endpoint:
            return
        dealer = self._make_socket(zmq.DEALER)
        # A new identity for each link, so that the other end does not confuse it with
        # the lost one.
        nonce = secrets.token_hex(4).encode()
        dealer.setsockopt(
            zmq.IDENTITY, self._daemon.encode() + _IDENTITY_SEPARATOR + nonce
        )
        if self._keys is not None:
            self._set_own_key(dealer, self._keys)
            dealer.setsockopt_string(zmq.CURVE_SERVERKEY, self._server_key(daemon))
        try:
            dealer.connect(endpoint)
        except zmq.ZMQError as error:
            # The member's row may have been overwritten. If raised, the error would
            # end the task that links with all members.
            _log.warning(
                "peers: endpoint cannot be used", peer=daemon, reason=str(error)
            )
            dealer.close(linger=0)
            return
        reader = SocketReader(dealer, partial(self._handle_dealer_message, daemon))
        self._dealers[daemon] = _Link(dealer, reader)

    def disconnect(self, daemon: DaemonId) -> None:
        """Close the link that this side opened."""
        dealer = self._dealers.pop(daemon, None)
        if dealer is not None:
            dealer.close()

    def send(self, daemon: DaemonId, data: bytes) -> bool:
        """Send without blocking; False when there is no link or its queue is full."""
        dealer = self._dealers.get(daemon)
        if dealer is not None:
            return self._send(dealer, [data])
        identity = self._accepted.get(daemon)
        if identity is not None and self._router is not None:
            return self._send(self._router, [identity, data])
        self.n_dropped += 1
        return False

    def _send(self, link: "_Link", parts: list[bytes]) -> bool:
        try:
            for part in parts[:-1]:
                link.socket.send(part, _MORE_NOBLOCK)
            link.socket.send(parts[-1], NOBLOCK)
        except zmq.ZMQError:
            self.n_dropped += 1
            return False
        finally:
            link.reader.schedule_read()
        self.bytes_out += len(parts[-1])
        return True

    def _make_socket(self, kind: int) -> zmq.Socket[bytes]:
        if self._context is None:
            raise PeerError("The peer socket is not open.")
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, self._queue_messages)
        socket.setsockopt(zmq.RCVHWM, self._queue_messages)
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        return socket

    def _set_own_key(self, socket: zmq.Socket[bytes], keys: PeerKeys) -> None:
        socket.setsockopt_string(zmq.CURVE_PUBLICKEY, keys.public)
        socket.setsockopt_string(zmq.CURVE_SECRETKEY, keys.secret)

    def _server_key(self, daemon: DaemonId) -> str:
        """Return the key expected of the other end: each trusted one in turn.

        During a key rotation the other end holds one of them. A link that times out is
        opened again with the next.
        """
        if self._keys is None:
            raise PeerError("There are no keys.")
        candidates = (self._keys.public, *self._keys.trusted)
        turn = self._n_connects.get(daemon, 0)
        self._n_connects[daemon] = turn + 1
        return candidates[turn % len(candidates)]

    def _start_authenticator(
        self, context: zmq.Context[zmq.Socket[bytes]], keys: PeerKeys
    ) -> None:
        trusted = frozenset((keys.public, *keys.trusted))
        self._authenticator = AsyncioAuthenticator(zmq.asyncio.Context.shadow(context))
        self._authenticator.start()
        self._authenticator.configure_curve_callback(_ZAP_DOMAIN, _TrustedKeys(trusted))

    def _handle_router_message(self, parts: list[bytes]) -> None:
        if len(parts) != 2:
            self.n_dropped += 1
            return
        identity, data = parts
        name = identity.rpartition(_IDENTITY_SEPARATOR)[0]
        daemon = DaemonId(name.decode(errors="replace"))
        self._accepted[daemon] = identity
        self._deliver(daemon, data)

    def _handle_dealer_message(self, daemon: DaemonId, parts: list[bytes]) -> None:
        if len(parts) != 1:
            self.n_dropped += 1
            return
        self._deliver(daemon, parts[0])

    def _deliver(self, daemon: DaemonId, data: bytes) -> None:
        self.bytes_in += len(data)
        if self._on_message is not None:
            self._on_message(daemon, data)


@dataclass(frozen=True, slots=True)
class _Link:
    """A socket and its reader."""

    socket: zmq.Socket[bytes]
    reader: SocketReader

    def close(self) -> None:
        """Stop reading and close the socket."""
        self.reader.close()
        self.socket.close(linger=0)


class _TrustedKeys:
    """Checks for pyzmq's authenticator whether a client's key is trusted."""

    def __init__(self, trusted: frozenset[str]) -> None:
        self._trusted = trusted
        self.n_refused = 0

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key``, in Z85, may connect."""
        is_trusted = key.decode() in self._trusted
        if not is_trusted:
            self.n_refused += 1
            _log.warning("peers: refused an unknown peer")
        return is_trusted


def make_socket_transport(
    daemon: DaemonId,
    host: str = "127.0.0.1",
    port: int = 0,
    keys: PeerKeys | None = None,
    queue_messages: int = 1000,
) -> SocketTransport:
    """Return a transport over TCP.

    Args:
        daemon: This daemon.
        host: IP address to listen on.
        port: Port to listen on; 0 for a free one.
        keys: CURVE keys; without them only loopback is allowed.
        queue_messages: Maximum number of messages queued on one link.
    """
    return SocketTransport(daemon, host, port, keys, queue_messages)
