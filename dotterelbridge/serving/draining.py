"""What every application for callers does at the end of its process."""

from collections.abc import Callable

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.dump import Dumpable
from dotterelbridge.serving.events import ServingEvent

_log = structlog.get_logger(__name__)


class DrainingApp(Dumpable):
    """Counts requests, tells whether it is ready, and drains."""

    def __init__(self) -> None:
        self._requests = 0
        self._draining = False
        self._conditions: list[Callable[[], bool]] = []
        self._all_answered = anyio.Event()

    @property
    def in_flight(self) -> int:
        """Requests that have no whole answer yet."""
        return self._requests

    def add_readiness_condition(self, condition: Callable[[], bool]) -> None:
        """Keep readiness false while the condition does not hold."""
        self._conditions.append(condition)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new requests here."""
        return not self._draining and all(met() for met in self._conditions)

    def start_draining(self) -> None:
        """Turn readiness false."""
        if self._draining:
            return
        self._draining = True
        events.log(_log, ServingEvent.DRAIN_STARTED, in_flight=self._requests)

    async def wait_until_idle(self) -> None:
        """Return once no request is in flight."""
        while self._requests:
            self._all_answered = anyio.Event()
            await self._all_answered.wait()

    def record_request_start(self) -> None:
        """Note a request that begins."""
        self._requests += 1

    def record_request_end(self) -> None:
        """Note the end of a request."""
        self._requests -= 1
        if not self._requests:
            self._all_answered.set()
