"""Starts the parts of a daemon, handles signals, and drains it."""

import signal
from typing import Protocol

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.events import CoreEvent

_log = structlog.get_logger(__name__)


class Drainable(Protocol):
    """What the lifecycle needs of an assembly of parts."""

    async def run_components(self) -> None:
        """Run all parts until cancelled."""

    async def drain(self) -> None:
        """Take no new work and return when no work is in flight."""

    def describe_open_work(self) -> dict[str, int]:
        """Return what is still in flight, by kind."""

    def reload(self) -> None:
        """Take changed settings without ending any work."""

    def write_dump(self) -> str | None:
        """Write the state to the dump file; return its path."""


async def run_until_drained(assembly: Drainable) -> None:
    """Run the daemon until SIGTERM or SIGINT, then drain and return."""
    async with anyio.create_task_group() as parts:
        parts.start_soon(_run_components, assembly)
        await _handle_signals(assembly)
        parts.cancel_scope.cancel()
    events.log(_log, CoreEvent.DAEMON_STOPPED)


async def _run_components(assembly: Drainable) -> None:
    try:
        await assembly.run_components()
    except DotterelbridgeError as error:
        events.log(_log, CoreEvent.PART_FAILED, error=str(error))
        raise
    except Exception:
        events.log(_log, CoreEvent.PART_FAILED, exc_info=True)
        raise


async def _handle_signals(assembly: Drainable) -> None:
    """Return when the daemon was asked to stop and has drained."""
    watched = (
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGUSR1,
        signal.SIGHUP,
    )
    async with anyio.create_task_group() as draining:
        with anyio.open_signal_receiver(*watched) as signals:
            stopping = False
            async for number in signals:
                if number == signal.SIGUSR1:
                    _write_dump(assembly)
                elif number == signal.SIGHUP:
                    _reload(assembly)
                elif stopping:
                    open_work = assembly.describe_open_work()
                    events.log(_log, CoreEvent.SHUTDOWN_WAITING, **open_work)
                else:
                    stopping = True
                    events.log(_log, CoreEvent.DAEMON_STOPPING)
                    draining.start_soon(
                        _drain, assembly, draining.cancel_scope
                    )


async def _drain(assembly: Drainable, scope: anyio.CancelScope) -> None:
    await assembly.drain()
    scope.cancel()


def _reload(assembly: Drainable) -> None:
    try:
        assembly.reload()
    except DotterelbridgeError as error:
        events.log(_log, CoreEvent.RELOAD_FAILED, error=str(error))
        return
    events.log(_log, CoreEvent.SETTINGS_RELOADED)


def _write_dump(assembly: Drainable) -> None:
    try:
        path = assembly.write_dump()
    except OSError as error:
        events.log(_log, CoreEvent.DUMP_FAILED, error=str(error))
        return
    if path:
        events.log(_log, CoreEvent.STATE_DUMPED, path=path)
