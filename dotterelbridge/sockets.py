"""Listening sockets, which wait for an address that is in use."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
import errno
import socket

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.events import CoreEvent

_log = structlog.get_logger(__name__)

DEFAULT_BACKLOG = 100
BIND_RETRY_INTERVAL = timedelta(milliseconds=100)
BIND_RETRY_LIMIT = timedelta(seconds=20)
"""Time for which an address that is in use is tried again, e.g. by a process
that is stopping, or as the local end of an outgoing connection."""


def create_listening_socket(
    host: str, port: int, backlog: int = DEFAULT_BACKLOG
) -> socket.socket:
    """Return a socket that listens at an IP address and a port.

    :param backlog: connections that may wait to be accepted.
    :raises OSError: the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    listening.setblocking(False)
    return listening


async def open_socket(host: str, port: int) -> socket.socket:
    """Return a socket that is connected to an IP address and a port.

    :raises OSError: the connection cannot be opened.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connecting = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    connecting.setblocking(False)
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connecting, (host, port))
    except BaseException:
        connecting.close()
        raise
    return connecting


async def bind_when_free(
    address: str, bind: Callable[[], socket.socket], clock: Clock
) -> socket.socket:
    """Return a bound socket, waiting while its address is in use.

    :param address: named in the log.
    :raises OSError: it is in use for longer than BIND_RETRY_LIMIT, or cannot
        be bound for another reason.
    """
    ends_at = clock.monotonic() + BIND_RETRY_LIMIT.total_seconds()
    is_logged = False
    while True:
        try:
            return bind()
        except OSError as error:
            is_in_use = error.errno == errno.EADDRINUSE
            if not is_in_use or clock.monotonic() >= ends_at:
                raise
        if not is_logged:
            events.log(_log, CoreEvent.ADDRESS_IN_USE, address=address)
            is_logged = True
        await clock.sleep(BIND_RETRY_INTERVAL)
