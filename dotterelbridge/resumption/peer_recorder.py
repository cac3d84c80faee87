"""Shares the records of an entry VM's streams with the control VMs."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

import anyio

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.resumption.copies import ControlLink
from dotterelbridge.resumption.copies import CopySenders
from dotterelbridge.resumption.copies import choose_holders
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.resumption.instruments import LookupOutcome
from dotterelbridge.resumption.local_recorder import LocalStreamRecorder
from dotterelbridge.resumption.messages import BegunStream
from dotterelbridge.resumption.messages import StreamAnswer
from dotterelbridge.resumption.messages import StreamLookup
from dotterelbridge.resumption.messages import StreamQuery
from dotterelbridge.resumption.messages import StreamsFound
from dotterelbridge.resumption.settings import ResumptionSettings
from dotterelbridge.resumption.table import StreamTable
from dotterelbridge.resumption.verdict import Verdict
from dotterelbridge.resumption.verdict import combine_answers
from dotterelbridge.resumption.verdict import decide_origin

_TICK_S = 0.25
"""Time after which records whose link was down are tried again."""
_RELAY_FRACTION = 2 / 3
"""Part of the time for an answer in which a control VM may wait for the
others; the rest is for its own answer to arrive."""
_MS_PER_S = 1000


class PeerStreamRecorder(LocalStreamRecorder, Dumpable):
    """Sends records to two control VMs, and asks them for those of others.

    The first event of a stream does not wait for the copies: a record that
    is lost with this VM is treated like one that was never made.
    """

    def __init__(
        self,
        network: PeerNetwork,
        table: StreamTable,
        history: VersionHistory,
        settings: ResumptionSettings,
        list_links: Callable[[], Sequence[ControlLink]],
        clock: Clock,
    ) -> None:
        super().__init__(table, history, settings)
        self._network = network
        self._clock = clock
        self._list_links = list_links
        self._copies = CopySenders(network, clock, list_links)
        self._gather_time = timedelta(milliseconds=settings.batch_ms)
        self._added = anyio.Event()

    async def run(self) -> None:
        """Send records and watch versions until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._history.run)
            while True:
                with anyio.move_on_after(_TICK_S):
                    await self._added.wait()
                self._added = anyio.Event()
                await self._clock.sleep(self._gather_time)
                self._copies.flush()
                self.table.remove_expired()

    def dump(self) -> dict[str, Any]:
        return {
            "records": len(self.table),
            "dropped": self.table.dropped_count,
            "is_all_sent": self._copies.is_empty,
        }

    def _add(self, stream: BegunStream) -> bool:
        is_change = super()._add(stream)
        if is_change:
            self._copies.add(stream)
            self._added.set()
        return is_change

    async def _decide(
        self, query: StreamQuery, own: StreamAnswer, timeout: timedelta
    ) -> Verdict:
        """Ask the nearest control VM, and a second one if that is no use."""
        answers = [own]
        verdict = decide_origin(own, query.services)
        for vm in choose_holders(self._list_links()):
            answer = await self._ask(vm, query, timeout / 2)
            if answer is None:
                continue
            answers.append(answer)
            verdict = decide_origin(combine_answers(answers), query.services)
            if (
                verdict.origin is not None
                or verdict.outcome is LookupOutcome.CONFLICT
            ):
                break
        if verdict.outcome is LookupOutcome.PEER_RECORD:
            self._renew(query, verdict.origin)
        return verdict

    async def _ask(
        self, vm: VmId, query: StreamQuery, timeout: timedelta
    ) -> StreamAnswer | None:
        relay_ms = timeout.total_seconds() * _RELAY_FRACTION * _MS_PER_S
        lookup = StreamLookup(queries=(query,), relay_ms=int(relay_ms))
        try:
            found = await self._network.request(vm, lookup, timeout)
        except PeerError:
            return None
        if not isinstance(found, StreamsFound) or len(found.answers) != 1:
            return None
        return found.answers[0]


def create_stream_recorder(
    network: PeerNetwork,
    settings: ResumptionSettings,
    history: VersionHistory,
    list_links: Callable[[], Sequence[ControlLink]],
    clock: Clock,
) -> PeerStreamRecorder:
    """Return the recorder of an entry VM.

    :param list_links: returns the linked control VMs, the nearest first.
    """
    table = StreamTable(
        settings.entry_records_limit,
        timedelta(seconds=settings.keep_limit_s),
        clock,
    )
    metrics.register_gauge(
        "dotterelbridge.resumption.records",
        lambda: len(table),
        "Streams whose software version this VM has recorded",
    )
    return PeerStreamRecorder(
        network, table, history, settings, list_links, clock
    )
