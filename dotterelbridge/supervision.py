"""Runs the parts of a daemon, and starts a part again that has failed.

An error of one part, such as the reading of the target list, must not end the
work of the others: a daemon that ends cuts off every request it serves.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.events import CoreEvent

_log = structlog.get_logger(__name__)

RESTART_DELAY = timedelta(milliseconds=500)
"""Pause before a part that failed runs again."""

Part = Callable[[], Awaitable[None]]


async def run_supervised(run: Part, clock: Clock) -> None:
    """Run a part until it returns or is cancelled; run it again if it fails.

    :param run: may be called again after it has raised an error.
    """
    while True:
        try:
            await run()
        except Exception:
            events.log(
                _log,
                CoreEvent.PART_RESTARTED,
                part=getattr(run, "__qualname__", repr(run)),
                exc_info=True,
            )
        else:
            return
        await clock.sleep(RESTART_DELAY)
