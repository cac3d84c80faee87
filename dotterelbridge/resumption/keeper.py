"""Keeps the records of many entry VMs' streams on a control VM."""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.resumption.file import StoredStream
from dotterelbridge.resumption.file import create_stream_file
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.resumption.keys import StreamKey
from dotterelbridge.resumption.messages import StreamAnswer
from dotterelbridge.resumption.messages import StreamLookup
from dotterelbridge.resumption.messages import StreamQuery
from dotterelbridge.resumption.messages import StreamsBegun
from dotterelbridge.resumption.messages import StreamsFound
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.resumption.relay import LookupRelay
from dotterelbridge.resumption.settings import ResumptionSettings
from dotterelbridge.resumption.table import StreamTable
from dotterelbridge.resumption.verdict import combine_answers
from dotterelbridge.resumption.writer import RecordWriter
from dotterelbridge.resumption.writer import RunBlocking

_SWEEP_INTERVAL = timedelta(seconds=1)
_MAX_RELAY_MS = 1000
_MS_PER_S = 1000


class StreamKeeper(Dumpable):
    """Takes records from entry VMs, and answers lookups."""

    def __init__(
        self,
        network: PeerNetwork,
        table: StreamTable,
        writer: RecordWriter | None,
        history: VersionHistory,
        relay: LookupRelay,
        clock: Clock,
    ) -> None:
        self._table = table
        self._writer = writer
        self._history = history
        self._relay = relay
        self._clock = clock
        network.register_handler(StreamsBegun, self._handle_begun)
        network.register_handler(StreamLookup, self._handle_lookup)

    async def run(self) -> None:
        """Watch versions, write records and drop expired ones."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._history.run)
            if self._writer is not None:
                group.start_soon(self._writer.run)
            while True:
                await self._clock.sleep(_SWEEP_INTERVAL)
                self._table.remove_expired()

    def restore(self, streams: Iterable[StoredStream]) -> None:
        """Add the records that an earlier process has written."""
        now_ms = self._read_time_ms()
        for stream in streams:
            origin = StreamOrigin(stream.service, stream.software)
            keep = timedelta(milliseconds=stream.expires_ms - now_ms)
            self._table.add(stream.key, origin, keep)

    def dump(self) -> dict[str, Any]:
        return {
            "records": len(self._table),
            "dropped": self._table.dropped_count,
            "is_disk_failing": bool(self._writer and self._writer.is_failing),
        }

    def _add(
        self, key: StreamKey, origin: StreamOrigin, keep: timedelta
    ) -> None:
        """Add or renew a record, in memory and on disk."""
        if not self._table.add(key, origin, keep) or self._writer is None:
            return
        expires_ms = self._read_time_ms() + int(
            keep.total_seconds() * _MS_PER_S
        )
        self._writer.add(
            StoredStream(key, origin.service, origin.software, expires_ms)
        )

    async def _handle_begun(self, sender: VmId, message: StreamsBegun) -> None:
        for stream in message.streams:
            self._add(
                StreamKey(stream.key),
                StreamOrigin(stream.service, stream.software),
                timedelta(milliseconds=stream.keep_ms),
            )

    async def _handle_lookup(
        self, sender: VmId, message: StreamLookup
    ) -> StreamsFound:
        answers = [self._answer(query) for query in message.queries]
        relay_ms = min(message.relay_ms, _MAX_RELAY_MS)
        if relay_ms > 0:
            timeout = timedelta(milliseconds=relay_ms)
            async with anyio.create_task_group() as group:
                for number, query in enumerate(message.queries):
                    if not answers[number].is_decisive:
                        group.start_soon(
                            self._relay_query, query, timeout, answers, number
                        )
        return StreamsFound(answers=tuple(answers))

    def _answer(self, query: StreamQuery) -> StreamAnswer:
        """Return what this VM knows."""
        horizon = timedelta(milliseconds=query.horizon_ms)
        histories = self._history.describe(
            query.route, query.services, horizon
        )
        known = None if query.key is None else self._table.find(query.key)
        if known is None:
            return StreamAnswer(histories=histories)
        if known.origin is None:
            return StreamAnswer(is_conflicting=True)
        return StreamAnswer(
            service=known.origin.service,
            software=known.origin.software,
            histories=histories,
        )

    async def _relay_query(
        self,
        query: StreamQuery,
        timeout: timedelta,
        answers: list[StreamAnswer],
        number: int,
    ) -> None:
        """Add what the other control VMs know."""
        found = await self._relay.ask(query, timeout)
        answers[number] = combine_answers([answers[number], *found])

    def _read_time_ms(self) -> int:
        return int(self._clock.now().timestamp() * _MS_PER_S)


def create_stream_keeper(
    network: PeerNetwork,
    settings: ResumptionSettings,
    history: VersionHistory,
    list_control_vms: Callable[[], Iterable[VmId]],
    clock: Clock,
    data_folder: Path | None,
    run_blocking: RunBlocking = anyio.to_thread.run_sync,
) -> StreamKeeper:
    """Return the keeper of a control VM, with the records on its disk.

    :param data_folder: None keeps the records in memory only.
    :param run_blocking: runs the writes.
    """
    table = StreamTable(
        settings.records_limit,
        timedelta(seconds=settings.keep_limit_s),
        clock,
    )
    metrics.register_gauge(
        "dotterelbridge.resumption.records",
        lambda: len(table),
        "Streams whose software version this VM has recorded",
    )
    relay = LookupRelay(network, list_control_vms, clock)
    if data_folder is None:
        return StreamKeeper(network, table, None, history, relay, clock)
    file = create_stream_file(
        data_folder,
        settings.file_limit_mb,
        timedelta(seconds=settings.file_age_s),
        clock,
    )
    stored = file.read()
    writer = RecordWriter(
        file,
        timedelta(milliseconds=settings.batch_ms),
        timedelta(milliseconds=settings.sync_interval_ms),
        clock,
        run_blocking,
    )
    keeper = StreamKeeper(network, table, writer, history, relay, clock)
    keeper.restore(stored)
    return keeper
