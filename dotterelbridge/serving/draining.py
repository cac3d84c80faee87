"""Request counting, readiness and graceful shutdown of callers' apps."""

from collections.abc import Callable

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.dump import Dumpable
from dotterelbridge.serving.events import ServingEvent
from dotterelbridge.serving.stop_grace import StopGrace

_log = structlog.get_logger(__name__)


class DrainingApp(Dumpable):
    """Base of ASGI applications that drain before the process ends."""

    def __init__(self, stop_grace: StopGrace) -> None:
        self._stop_grace = stop_grace
        self._requests = 0
        self._draining = False
        self._readiness_conditions: list[Callable[[], bool]] = []
        self._idle_event = anyio.Event()

    @property
    def in_flight(self) -> int:
        """Number of requests without a complete response."""
        return self._requests

    def add_readiness_condition(self, condition: Callable[[], bool]) -> None:
        """Add a condition without which the application isn't ready."""
        self._readiness_conditions.append(condition)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new requests here."""
        return not self._draining and all(
            is_met() for is_met in self._readiness_conditions
        )

    def start_draining(self) -> None:
        """Become not ready."""
        if self._draining:
            return
        self._draining = True
        self._stop_grace.start()
        events.log(_log, ServingEvent.DRAIN_STARTED, in_flight=self._requests)

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._requests:
            self._idle_event = anyio.Event()
            await self._idle_event.wait()

    def record_request_start(self) -> None:
        """Count a new request."""
        self._requests += 1

    def record_request_end(self) -> None:
        """Count the end of a request."""
        self._requests -= 1
        if not self._requests:
            self._idle_event.set()
