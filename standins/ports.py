"""Finds free loopback ports for processes that start later."""

import contextlib
import random
import socket

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 12_000
FIRST_EPHEMERAL_PORT = 32_768


def find_free_ports(count: int) -> list[int]:
    """Return ports that are currently free.

    They lie below the ephemeral port range, so outgoing connections cannot
    take one before it is used; only another listener can.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = random.randrange(LOWEST_PORT, FIRST_EPHEMERAL_PORT)
            with contextlib.suppress(OSError):
                listener = socket.create_server((LOOPBACK, port))
                stack.enter_context(listener)
                ports.append(port)
    return ports
