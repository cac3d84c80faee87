"""Submits routes to the replicated log and reads them back.

Runs on the control VMs, which hold the log.
"""

from datetime import timedelta

import structlog

from dotterelbridge import events
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.routes.document import NO_ROUTES
from dotterelbridge.routes.document import PackedRoutes
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.routes.document import pack_routes
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.routes.errors import RoutesUnknown
from dotterelbridge.routes.events import RoutesEvent
from dotterelbridge.routes.table import STATE_MACHINE_NAME
from dotterelbridge.routes.table import RouteTable
from dotterelbridge.routes.table import decode_result
from dotterelbridge.routes.table import encode_command

_log = structlog.get_logger(__name__)


class RoutesSubmitter:
    """Validates and commits documents, and reads the newest one."""

    def __init__(
        self,
        log: ReplicatedLog,
        table: RouteTable,
        routes_format: RoutesFormat,
    ) -> None:
        self._log = log
        self._table = table
        self._format = routes_format

    async def submit(self, document: bytes, timeout: timedelta) -> int:
        """Commit a document; return the newest committed version.

        Submissions are idempotent: a version that is not higher than the
        newest one is acknowledged too and changes nothing.

        :raises RoutesInvalid: no part of the document will become active.
        :raises RoutesUnknown: it may become active; submit it again.
        """
        try:
            routes = self._format.decode(document)
        except RoutesInvalid as error:
            events.log(
                _log,
                RoutesEvent.ROUTES_REFUSED,
                error=str(error),
                document_bytes=len(document),
            )
            raise
        packed = pack_routes(routes.version, document)
        try:
            result = await self._log.propose(
                STATE_MACHINE_NAME, encode_command(packed), timeout
            )
        except (NotCommitted, CommitUnknown) as error:
            events.log(
                _log,
                RoutesEvent.ROUTES_UNANSWERED,
                version=routes.version,
                error=str(error),
            )
            raise RoutesUnknown(error.problem, error.remedy) from error
        newest_version = decode_result(result)
        events.log(
            _log,
            RoutesEvent.ROUTES_ACKNOWLEDGED,
            version=routes.version,
            held=newest_version,
        )
        return newest_version

    async def read(self, timeout: timedelta) -> PackedRoutes:
        """Return the newest version, with a linearizable read.

        :raises RoutesUnknown: no majority confirmed it in time, or nothing
            has been submitted yet.
        """
        try:
            await self._log.read_barrier(timeout)
        except NotCommitted as error:
            events.log(_log, RoutesEvent.ROUTES_UNANSWERED, error=str(error))
            raise RoutesUnknown(error.problem, error.remedy) from error
        if self._table.newest == NO_ROUTES:
            raise RoutesUnknown(
                "no routes have been submitted yet", "submit a document"
            )
        return self._table.newest


def create_routes_submitter(
    log: ReplicatedLog, table: RouteTable, routes_format: RoutesFormat
) -> RoutesSubmitter:
    """Return a submitter that proposes to the given log."""
    return RoutesSubmitter(log, table, routes_format)
