"""Bounds what a process that is told to stop still takes on.

The process is killed some time after the signal to stop. A request that is
passed on late could then end without an answer, though it may have run.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.serving.settings import ServingSettings

_SEND_MARGIN_S = 0.5
"""Time between the latest deadline of a request that is passed on and the
end of the grace, for the delivery of its answer."""
_ANSWER_MARGIN_S = 0.3
"""Time before the end of the grace at which requests get a final answer."""


class StopGrace:
    """Time from the signal to stop until the process is killed."""

    def __init__(self, settings: ServingSettings, clock: Clock) -> None:
        self._grace_s = settings.stop_grace_s or math.inf
        self._lead_s = settings.balancer_lead_s
        self._clock = clock
        self._started_at = math.inf
        self._limited: dict[anyio.CancelScope, Callable[[], bool]] = {}

    def start(self) -> None:
        """Begin the grace, when the process is told to stop."""
        self._started_at = self._clock.monotonic()
        if math.isinf(self._grace_s):
            return
        asyncio.get_running_loop().call_later(
            max(0.0, self._grace_s - _ANSWER_MARGIN_S), self._end_requests
        )

    def allows_start(self, deadline_at: float) -> bool:
        """Return whether a request may still be passed on to a target.

        While the balancer still sends new connections every request may; then
        only one that is certainly answered before the end of the grace.

        :param deadline_at: monotonic time at which it is answered at the
            latest.
        """
        now = self._clock.monotonic()
        if now < self._started_at + self._lead_s:
            return True
        ends_at = self._started_at + self._grace_s
        return deadline_at <= ends_at - _SEND_MARGIN_S

    @contextlib.contextmanager
    def limit(
        self, timeout_s: float, has_answer_begun: Callable[[], bool]
    ) -> Iterator[None]:
        """End the work in the context shortly before the process is killed.

        The caller then still gets an answer, which says that the outcome is
        unknown. An answer that has begun goes on as long as it can.

        :param timeout_s: timeout of the work in seconds, in any case.
        :raises TimeoutError: either time is over.
        """
        with anyio.fail_after(timeout_s) as scope:
            self._limited[scope] = has_answer_begun
            try:
                yield
            finally:
                del self._limited[scope]

    def _end_requests(self) -> None:
        now = anyio.current_time()
        for scope, has_answer_begun in self._limited.items():
            if not has_answer_begun():
                scope.deadline = min(scope.deadline, now)
