"""Finds the origins of streams by what one VM knows itself."""

from collections.abc import Collection
from datetime import timedelta

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import RequestId
from dotterelbridge.resumption.events import ResumptionEvent
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.resumption.instruments import LookupOutcome
from dotterelbridge.resumption.instruments import count_lookup
from dotterelbridge.resumption.keys import compute_stream_key
from dotterelbridge.resumption.messages import BegunStream
from dotterelbridge.resumption.messages import ServiceHistory
from dotterelbridge.resumption.messages import StreamAnswer
from dotterelbridge.resumption.messages import StreamQuery
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.resumption.recorder import StreamRecorder
from dotterelbridge.resumption.settings import ResumptionSettings
from dotterelbridge.resumption.table import StreamTable
from dotterelbridge.resumption.verdict import Verdict
from dotterelbridge.resumption.verdict import decide_origin

_log = structlog.get_logger(__name__)

_MS_PER_S = 1000
_LOGGED_CHARACTERS = 80
"""Part of a request id that is logged."""


class LocalStreamRecorder(StreamRecorder):
    """Keeps records in memory; they end with the process."""

    def __init__(
        self,
        table: StreamTable,
        history: VersionHistory | None,
        settings: ResumptionSettings,
    ) -> None:
        """Create a recorder.

        :param history: None if no version is ever vouched for.
        """
        self.table = table
        self._history = history
        self._margin = timedelta(seconds=settings.keep_margin_s)
        self._longest_keep = timedelta(seconds=settings.keep_limit_s)

    def record_begun(
        self,
        request_id: RequestId,
        origin: StreamOrigin,
        route: str,
        team: str,
        keep: timedelta,
    ) -> None:
        if not request_id:
            return
        stream = BegunStream(
            compute_stream_key(request_id, route, team),
            origin.service,
            origin.software,
            self._compute_keep_ms(keep),
        )
        self._add(stream)

    async def find_origin(
        self,
        request_id: RequestId | None,
        service_names: Collection[ItemName],
        route: str,
        team: str,
        horizon: timedelta,
        timeout: timedelta,
    ) -> StreamOrigin | None:
        services = tuple(sorted(set(service_names)))
        query = StreamQuery(
            compute_stream_key(request_id, route, team)
            if request_id
            else None,
            route,
            services,
            _to_ms(horizon),
        )
        answer = self._answer(query)
        if answer.origin is not None and answer.origin.software:
            verdict = Verdict(answer.origin, LookupOutcome.OWN_RECORD)
        elif answer.is_conflicting:
            verdict = Verdict(None, LookupOutcome.CONFLICT)
        else:
            verdict = await self._decide(query, answer, timeout)
        count_lookup(verdict.outcome)
        if verdict.origin is None:
            events.log(
                _log,
                ResumptionEvent.ORIGIN_UNKNOWN,
                resumes=(request_id or "")[:_LOGGED_CHARACTERS],
                route=route,
                outcome=verdict.outcome.value,
            )
        return verdict.origin

    def _compute_keep_ms(self, time_left: timedelta) -> int:
        return _to_ms(min(time_left + self._margin, self._longest_keep))

    def _add(self, stream: BegunStream) -> bool:
        """Add or renew a record; return whether that changes anything."""
        return self.table.add(
            stream.key,
            StreamOrigin(stream.service, stream.software),
            timedelta(milliseconds=stream.keep_ms),
        )

    def _answer(self, query: StreamQuery) -> StreamAnswer:
        """Return what this VM knows; a record in use is kept longer."""
        known = None if query.key is None else self.table.find(query.key)
        if known is None:
            return StreamAnswer(histories=self._describe(query))
        if known.origin is None:
            return StreamAnswer(is_conflicting=True)
        self._renew(query, known.origin)
        return StreamAnswer(
            service=known.origin.service,
            software=known.origin.software,
            histories=self._describe(query),
        )

    def _describe(self, query: StreamQuery) -> tuple[ServiceHistory, ...]:
        if self._history is None:
            return ()
        horizon = timedelta(milliseconds=query.horizon_ms)
        return self._history.describe(query.route, query.services, horizon)

    def _renew(self, query: StreamQuery, origin: StreamOrigin) -> None:
        """Keep a record for as long as the resumed stream may last.

        In a chain of attempts each one names the first.
        """
        horizon = timedelta(milliseconds=query.horizon_ms)
        self._add(
            BegunStream(
                query.key,
                origin.service,
                origin.software,
                self._compute_keep_ms(horizon),
            )
        )

    async def _decide(
        self, query: StreamQuery, own: StreamAnswer, timeout: timedelta
    ) -> Verdict:
        """Decide without a usable record of this VM's own."""
        return decide_origin(own, query.services)


def _to_ms(duration: timedelta) -> int:
    return max(0, int(duration.total_seconds() * _MS_PER_S))


def create_local_recorder(
    clock: Clock,
    history: VersionHistory | None = None,
    settings: ResumptionSettings | None = None,
) -> LocalStreamRecorder:
    """Return a recorder for a VM without control VMs, and for tests."""
    settings = settings or ResumptionSettings()
    table = StreamTable(
        settings.entry_records_limit,
        timedelta(seconds=settings.keep_limit_s),
        clock,
    )
    return LocalStreamRecorder(table, history, settings)
