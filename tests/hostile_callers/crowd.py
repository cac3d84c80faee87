"""Callers that misbehave, one kind each."""

import asyncio
from collections.abc import Iterator
import contextlib
import itertools
import socket
from typing import NamedTuple

HEAD = b"POST /look/x HTTP/1.1\r\nhost: desk.example\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
_PIECE = 32768


class Misbehaviour(NamedTuple):
    """What one caller sends: a start, then pieces up to a size in bytes."""

    name: str
    start: bytes
    pieces: tuple[bytes, ...] = ()
    """Sent in turn until ``size`` is reached."""
    size: int = 1 << 20
    callers: int = 60


def _fill(line: bytes) -> tuple[bytes, ...]:
    return (line * (_PIECE // len(line)),)


def _number_lines() -> tuple[bytes, ...]:
    lines = [b"x-%07d: %b\r\n" % (n, b"v" * 40) for n in range(32768)]
    return tuple(b"".join(lines[n : n + 512]) for n in range(0, 32768, 512))


ODD_LINES = (
    b": no name\r\n",
    b"no colon\r\n",
    b"a b: c\r\n",
    b"a : b\r\n",
    b"a:\x00\r\n",
    b"\xff\xfe: \x80\r\n",
    b"a: b\r\n folded\r\n",
    b"a: b\n",
    b"a: b\rc: d\r\n",
    b"(a): b\r\n",
)

MISBEHAVIOURS = (
    Misbehaviour(
        "endless-trailer-lines",
        CHUNKED + b"0\r\n",
        _fill(b"x-trailer: %b\r\n" % (b"t" * 50)),
    ),
    Misbehaviour(
        "endless-trailer-line", CHUNKED + b"0\r\nx: ", _fill(b"t" * 1024)
    ),
    Misbehaviour(
        "same-header-line",
        HEAD,
        _fill(b"x-same: %b\r\n" % (b"s" * 50)),
        callers=100,
    ),
    Misbehaviour("different-header-lines", HEAD, _number_lines(), callers=100),
    Misbehaviour("endless-header-line", HEAD + b"x: ", _fill(b"h" * 1024)),
    Misbehaviour("endless-empty-lines", b"", _fill(b"\r\n")),
    Misbehaviour(
        "many-short-header-lines", HEAD + b"a:b\r\n" * 3200, callers=120
    ),
    Misbehaviour(
        "many-short-header-lines-before-a-body",
        HEAD + b"content-length: 9\r\n" + b"a:b\r\n" * 3200 + b"\r\n",
        callers=120,
    ),
    *(
        Misbehaviour(f"odd-header-line-{number}", HEAD + line, (line,), 16000)
        for number, line in enumerate(ODD_LINES)
    ),
    Misbehaviour(
        "endless-chunk-extension",
        CHUNKED + b"1;",
        _fill(b"e" * 1024),
    ),
    Misbehaviour(
        "endless-small-chunks", CHUNKED, _fill(b"1;ext=%b\r\nx\r\n" % b"e")
    ),
    Misbehaviour(
        "one-byte-at-a-time",
        b"",
        tuple(bytes([byte]) for byte in HEAD + b"x: " + b"y" * 400),
        400,
    ),
    Misbehaviour(
        "endless-body-with-a-length",
        HEAD + b"content-length: 1048576\r\n\r\n",
        _fill(b"b" * 1024),
        1 << 20,
    ),
    Misbehaviour(
        "endless-body-in-chunks",
        CHUNKED,
        _fill(b"400\r\n" + b"b" * 1024 + b"\r\n"),
    ),
    Misbehaviour(
        "pipelined-requests",
        b"",
        _fill(HEAD + b"content-length: 1\r\n\r\nx"),
    ),
    Misbehaviour(
        "pipelined-requests-of-many-lines",
        b"",
        (HEAD + b"content-length: 1\r\n" + b"a:b\r\n" * 2000 + b"\r\nx",),
    ),
)

_UPGRADE = (
    b"GET / HTTP/1.1\r\nhost: vm\r\nupgrade: websocket\r\n"
    b"connection: upgrade\r\nsec-websocket-version: 13\r\n"
    b"sec-websocket-key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
)
_UNMASKED_KEY = bytes(4)
PEER_MISBEHAVIOURS = (
    Misbehaviour("endless-header-line", HEAD + b"x: ", _fill(b"h" * 1024)),
    Misbehaviour("different-header-lines", HEAD, _number_lines()),
    Misbehaviour(
        "endless-first-frame",
        _UPGRADE + b"\x82\xff" + (1 << 20).to_bytes(8) + _UNMASKED_KEY,
        _fill(b"f" * 1024),
        size=(1 << 20) - 1024,
    ),
    Misbehaviour(
        "endless-fragments",
        _UPGRADE + b"\x02\x81" + _UNMASKED_KEY + b"f",
        _fill(b"\x00\xfe\x04\x00" + _UNMASKED_KEY + b"f" * 1024),
        size=(1 << 20) - 1024,
    ),
    Misbehaviour(
        "endless-pings", _UPGRADE, _fill(b"\x89\x80" + _UNMASKED_KEY)
    ),
    Misbehaviour("silent-after-the-upgrade", _UPGRADE),
)


def _split(kind: Misbehaviour) -> Iterator[bytes]:
    if kind.start:
        yield kind.start
    sent = 0
    for piece in itertools.cycle(kind.pieces):
        if sent + len(piece) > kind.size:
            return
        yield piece
        sent += len(piece)


class Crowd:
    """Callers of one kind that stay connected until they are closed."""

    def __init__(self, kind: Misbehaviour, address: tuple[str, int]) -> None:
        self._kind = kind
        self._address = address
        self._sockets: list[socket.socket] = []

    async def send(self, limit_s: float) -> None:
        """Send everything that the listener takes within a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await asyncio.gather(
                    *(self._send_one() for _ in range(self._kind.callers))
                )

    async def _send_one(self) -> None:
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        self._sockets.append(caller)
        caller.setblocking(False)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            await loop.sock_connect(caller, self._address)
            for piece in _split(self._kind):
                await loop.sock_sendall(caller, piece)
                await asyncio.sleep(0)

    def close(self) -> None:
        """Close all connections."""
        for caller in self._sockets:
            caller.close()
