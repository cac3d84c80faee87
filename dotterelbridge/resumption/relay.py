"""Asks the other control VMs about streams that a control VM does not know.

Entry VMs are linked with few control VMs, and each record is held by two, so
that a caller who comes to another VM may ask one that has no record.
"""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.resumption.messages import StreamAnswer
from dotterelbridge.resumption.messages import StreamLookup
from dotterelbridge.resumption.messages import StreamQuery
from dotterelbridge.resumption.messages import StreamsFound

_GATHER_TIME = timedelta(milliseconds=10)
"""Time for which queries are gathered: after the loss of all entry VMs,
thousands of streams are taken up within a second."""
_MAX_QUERIES = 500
"""Queries in one message."""


class _Batch:
    """Queries that are sent together, with the answers so far."""

    def __init__(self) -> None:
        self.queries: list[StreamQuery] = []
        self.answers: list[list[StreamAnswer]] = []
        self.done = anyio.Event()

    def add(self, query: StreamQuery) -> list[StreamAnswer]:
        """Add a query; return the list that receives its answers."""
        self.queries.append(query)
        self.answers.append([])
        return self.answers[-1]

    @property
    def is_answered(self) -> bool:
        """Whether nothing more is needed for any query."""
        return all(
            any(answer.is_decisive for answer in answers)
            for answers in self.answers
        )


class LookupRelay:
    """Sends the queries of some ms to all other control VMs at once."""

    def __init__(
        self,
        network: PeerNetwork,
        list_control_vms: Callable[[], Iterable[VmId]],
        clock: Clock,
    ) -> None:
        self._network = network
        self._list_control_vms = list_control_vms
        self._clock = clock
        self._open_batch: _Batch | None = None

    async def ask(
        self, query: StreamQuery, timeout: timedelta
    ) -> list[StreamAnswer]:
        """Return the answers that arrive within the timeout."""
        batch = self._open_batch
        if batch is not None and len(batch.queries) < _MAX_QUERIES:
            answers = batch.add(query)
            with anyio.move_on_after(timeout.total_seconds()):
                await batch.done.wait()
            return answers
        batch = self._open_batch = _Batch()
        answers = batch.add(query)
        try:
            await self._clock.sleep(_GATHER_TIME)
            if self._open_batch is batch:
                self._open_batch = None
            await self._send(batch, timeout)
        finally:
            if self._open_batch is batch:
                self._open_batch = None
            batch.done.set()
        return answers

    async def _send(self, batch: _Batch, timeout: timedelta) -> None:
        """Return once each query is answered, or all VMs have answered."""
        own_vm = self._network.own_id
        async with anyio.create_task_group() as group:
            for vm in self._list_control_vms():
                if vm != own_vm and self._network.is_connected(vm):
                    group.start_soon(self._ask_vm, vm, batch, timeout, group)

    async def _ask_vm(
        self, vm: VmId, batch: _Batch, timeout: timedelta, group
    ) -> None:
        lookup = StreamLookup(queries=tuple(batch.queries))
        try:
            found = await self._network.request(vm, lookup, timeout)
        except PeerError:
            return
        if not isinstance(found, StreamsFound):
            return
        for answers, answer in zip(batch.answers, found.answers, strict=False):
            answers.append(answer)
        if batch.is_answered:
            group.cancel_scope.cancel()
