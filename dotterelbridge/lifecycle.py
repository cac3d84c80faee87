"""Runs the components of a daemon, handles signals and drains it."""

import signal
from typing import Protocol

import anyio
import structlog

from dotterelbridge import early_signals
from dotterelbridge import events
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.events import CoreEvent

_log = structlog.get_logger(__name__)


class Drainable(Protocol):
    """Interface of the assemblies that the lifecycle runs."""

    async def run_components(self) -> None:
        """Run all components until cancelled."""

    async def drain(self) -> None:
        """Stop accepting work and return when no work is in flight."""

    def describe_open_work(self) -> dict[str, int]:
        """Return the number of units of work in flight, by kind."""

    def reload(self) -> None:
        """Apply changed settings without interrupting work in flight."""

    def write_dump(self) -> str | None:
        """Write a state dump; return its path, or None without a dump file."""


async def run_until_drained(assembly: Drainable) -> None:
    """Run the daemon until SIGTERM or SIGINT, then drain and return."""
    async with anyio.create_task_group() as component_tasks:
        component_tasks.start_soon(_run_components, assembly)
        await _handle_signals(assembly)
        early_signals.hold_reload_signal()
        component_tasks.cancel_scope.cancel()
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
    """Handle signals; return once the daemon was told to stop and drained."""
    handled_signals = (
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGUSR1,
        signal.SIGHUP,
    )
    async with anyio.create_task_group() as drain_tasks:
        with anyio.open_signal_receiver(*handled_signals) as signals:
            stopping = False
            if early_signals.take_reload_signal():
                _reload(assembly)
            async for signum in signals:
                if signum == signal.SIGUSR1:
                    _write_dump(assembly)
                elif signum == signal.SIGHUP:
                    _reload(assembly)
                elif stopping:
                    work_in_flight = assembly.describe_open_work()
                    events.log(
                        _log, CoreEvent.SHUTDOWN_WAITING, **work_in_flight
                    )
                else:
                    stopping = True
                    events.log(_log, CoreEvent.DAEMON_STOPPING)
                    drain_tasks.start_soon(
                        _drain, assembly, drain_tasks.cancel_scope
                    )


async def _drain(assembly: Drainable, scope: anyio.CancelScope) -> None:
    try:
        await assembly.drain()
    except Exception:
        events.log(_log, CoreEvent.DRAIN_FAILED, exc_info=True)
    scope.cancel()


def _reload(assembly: Drainable) -> None:
    try:
        assembly.reload()
    except (DotterelbridgeError, OSError, ValueError) as error:
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
