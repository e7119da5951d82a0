"""Clients that do not keep to the protocol, many at once, and what each kind sends."""

import itertools
import selectors
import socket
import time
from dataclasses import dataclass

from lycheepost.app.platformfleet import SITE
from lycheepost.platform import headers as names

HOST = "127.0.0.1"
MEASURE_SECONDS = 0.05
_SEND_BYTES = 256 * 1024
_READ_BYTES = 64 * 1024
_MEGABYTE = 1024 * 1024
LARGE_BODY_BYTES = 4 * _MEGABYTE
_SHORT_BYTES = 10
_numbers = itertools.count(1)


def request_head(path="/order/1", key="k-one", method="POST", *lines):
    """Return the head of a request, with an id of its own."""
    fields = [
        f"{method} {path} HTTP/1.1",
        f"Host: {SITE}",
        f"{names.ATTEMPT_ID}: crowd-{next(_numbers)}",
        f"{names.DEADLINE}: 3000",
        f"{names.AUTHORIZATION}: Token {key}",
        *lines,
    ]
    return "\r\n".join(fields).encode() + b"\r\n\r\n"


def length_line(n_bytes):
    return f"Content-Length: {n_bytes}"


CHUNKED_LINE = "Transfer-Encoding: chunked"
_OPEN_HEAD = request_head()[:-2]
"""A head without its last, empty line."""
_LARGE_BODY = bytes(LARGE_BODY_BYTES)


def long_fields():
    yield _OPEN_HEAD
    for number in range(110):
        yield b"X-Long-%d: " % number + b"a" * 32000 + b"\r\n"


def short_fields():
    yield _OPEN_HEAD
    while True:
        yield b"X-Short: " + b"a" * 189 + b"\r\n"


def drip_fed_head():
    yield _OPEN_HEAD + b"X-Open: "


def line():
    yield b"GET /"
    while True:
        yield b"a" * 65536


def heads():
    filler = [f"X-Filler-{number}: {'a' * 1900}" for number in range(10)]
    while True:
        yield request_head("/look/1", "k-one", "GET", *filler)


def empty_lines():
    while True:
        yield b"\r\n" * 32768


def whole_bodies():
    while True:
        yield request_head("/order/1", "k-one", "POST", length_line(LARGE_BODY_BYTES))
        yield _LARGE_BODY


def short_bodies(key="k-one"):
    yield request_head("/order/1", key, "POST", length_line(LARGE_BODY_BYTES))
    yield _LARGE_BODY[:-_SHORT_BYTES]


def short_bodies_of_nobody():
    return short_bodies("k-nobody")


def begun_bodies():
    yield request_head("/order/1", "k-one", "POST", length_line(LARGE_BODY_BYTES))
    yield _LARGE_BODY[:65536]


def chunked_bodies(chunk_bytes):
    yield request_head("/order/1", "k-one", "POST", CHUNKED_LINE)
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    n_chunks = (LARGE_BODY_BYTES - _SHORT_BYTES) // chunk_bytes
    per_send = max(1, 65536 // len(chunk))
    for start in range(0, n_chunks, per_send):
        yield chunk * min(per_send, n_chunks - start)


def large_chunks():
    return chunked_bodies(1000)


def tiny_chunks():
    return chunked_bodies(1)


def chunk_extension():
    yield request_head("/order/1", "k-one", "POST", CHUNKED_LINE)
    yield b"5;name="
    while True:
        yield b"a" * 65536


def trailers():
    yield request_head("/order/1", "k-one", "POST", CHUNKED_LINE)
    yield b"5\r\nabcde\r\n0\r\n"
    while True:
        yield b"X-Trailer: " + b"a" * 1000 + b"\r\n"


def unread_answers():
    while True:
        yield request_head("/order/1", "k-one", "POST", length_line(60000))
        yield _LARGE_BODY[:60000]


def tiny_requests():
    while True:
        yield b"".join(request_head("/nowhere", "", "GET") for _ in range(200))


def upgrade():
    yield request_head(
        "/look/1", "k-one", "GET", "Upgrade: websocket", "Connection: upgrade"
    )
    while True:
        yield b"a" * 65536


def no_protocol():
    while True:
        yield b"\x16\x03\x01" + b"\x00" * 65533


def nothing():
    return iter(())


@dataclass(frozen=True)
class Kind:
    """What one kind of client sends, and whether it reads what it gets."""

    script: object
    reads: bool = True


KINDS = {
    "a head of 110 fields of 32 KB": Kind(long_fields),
    "fields of 200 B without end": Kind(short_fields),
    "a head that stops": Kind(drip_fed_head),
    "a request line without end": Kind(line),
    "heads of 20 KB one after the other": Kind(heads),
    "empty lines without end": Kind(empty_lines),
    "bodies of 4 MB": Kind(whole_bodies),
    "bodies of 4 MB that stop short": Kind(short_bodies),
    "bodies that stop short, of an unknown key": Kind(short_bodies_of_nobody),
    "64 KB of a body": Kind(begun_bodies),
    "chunks of 1,000 B that stop short": Kind(large_chunks),
    "chunks of one byte": Kind(tiny_chunks),
    "a chunk extension without end": Kind(chunk_extension),
    "trailers without end": Kind(trailers),
    "bodies of 60 KB, answers unread": Kind(unread_answers, reads=False),
    "tiny requests, answers unread": Kind(tiny_requests, reads=False),
    "an upgrade and bytes without end": Kind(upgrade),
    "bytes of another protocol": Kind(no_protocol),
    "nothing": Kind(nothing),
}


class Client:
    """One client, which begins anew when its connection is closed."""

    def __init__(self, crowd, kind, port):
        self._crowd = crowd
        self._kind = kind
        self._port = port
        self._socket = None

    def connect(self):
        self._script = self._kind.script()
        self._left = memoryview(b"")
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.connect_ex((HOST, self._port))
        self._crowd.selector.register(self._socket, self._events(True), self)

    def _events(self, is_sending):
        events = selectors.EVENT_READ if self._kind.reads else 0
        return events | (selectors.EVENT_WRITE if is_sending else 0)

    def close(self):
        if self._socket is not None:
            self._crowd.forget(self._socket)
            self._socket.close()
            self._socket = None

    def serve(self, events):
        try:
            if events & selectors.EVENT_READ and not self._socket.recv(_READ_BYTES):
                raise ConnectionResetError
            if events & selectors.EVENT_WRITE:
                self._send()
        except BlockingIOError:
            pass
        except OSError:
            self._crowd.n_closed += 1
            self.close()
            self.connect()

    def _send(self):
        n_bytes = 0
        while n_bytes < _SEND_BYTES:
            if not self._left:
                part = next(self._script, None)
                if part is None:
                    self._crowd.rest(self._socket, self._events(False), self)
                    return
                self._left = memoryview(part)
            n_sent = self._socket.send(self._left)
            self._left = self._left[n_sent:]
            n_bytes += n_sent


class Crowd:
    """Clients of one kind at one port.

    Attributes:
        n_closed: Connections that were closed or refused.
        n_clients: The clients.
        is_connected: Whether they have connected.
    """

    def __init__(self, kind, port, n_clients):
        self.selector = selectors.DefaultSelector()
        self.n_closed = 0
        self.n_clients = n_clients
        self.is_connected = False
        self._clients = [Client(self, KINDS[kind], port) for _ in range(n_clients)]

    def rest(self, client_socket, events, client):
        """Send nothing more; keep the connection open."""
        if events:
            self.selector.modify(client_socket, events, client)
        else:
            self.selector.unregister(client_socket)

    def forget(self, client_socket):
        if client_socket in self.selector.get_map():
            self.selector.unregister(client_socket)

    def connect(self):
        """Connect the clients that have not connected yet."""
        if not self.is_connected:
            self.is_connected = True
            for client in self._clients:
                client.connect()

    def serve(self, wait_seconds):
        """Send and read what can be sent and read without waiting."""
        for key, events in self.selector.select(wait_seconds):
            key.data.serve(events)

    def leave(self):
        for client in self._clients:
            client.close()
        self.selector.close()


def play(crowds, seconds, system):
    """Let crowds send for some time, or until the daemon has ended; measure it."""
    for crowd in crowds:
        crowd.connect()
    now_seconds = time.monotonic()
    until_seconds, measure_seconds = now_seconds + seconds, now_seconds
    while now_seconds < until_seconds and system.is_alive():
        for crowd in crowds:
            crowd.serve(MEASURE_SECONDS / len(crowds))
        now_seconds = time.monotonic()
        if now_seconds >= measure_seconds:
            system.measure()
            measure_seconds = now_seconds + MEASURE_SECONDS
