"""Submitting routes and reading them back, on a VM that holds the log."""

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
from dotterelbridge.routes.table import MACHINE_NAME
from dotterelbridge.routes.table import RouteTable
from dotterelbridge.routes.table import decode_result
from dotterelbridge.routes.table import encode_command

_log = structlog.get_logger(__name__)


class RoutesSubmitter:
    """Checks a document, commits it, and reads the newest one."""

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
        """Return the version held once the document is on a majority.

        A version that is known or overtaken is acknowledged all the same
        and changes nothing.

        :raises RoutesInvalid: nothing of the document will be in force.
        :raises RoutesUnknown: it may be in force; send it again.
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
                MACHINE_NAME, encode_command(packed), timeout
            )
        except (NotCommitted, CommitUnknown) as error:
            events.log(
                _log,
                RoutesEvent.ROUTES_UNANSWERED,
                version=routes.version,
                error=str(error),
            )
            raise RoutesUnknown(error.problem, error.remedy) from error
        held = decode_result(result)
        events.log(
            _log,
            RoutesEvent.ROUTES_ACKNOWLEDGED,
            version=routes.version,
            held=held,
        )
        return held

    async def read(self, timeout: timedelta) -> PackedRoutes:
        """Return the newest version, certainly.

        :raises RoutesUnknown: no majority confirmed it in time, or there
            is none yet.
        """
        try:
            await self._log.read_barrier(timeout)
        except NotCommitted as error:
            events.log(_log, RoutesEvent.ROUTES_UNANSWERED, error=str(error))
            raise RoutesUnknown(error.problem, error.remedy) from error
        if self._table.held == NO_ROUTES:
            raise RoutesUnknown("no routes were submitted yet", "submit some")
        return self._table.held


def create_routes_submitter(
    log: ReplicatedLog, table: RouteTable, routes_format: RoutesFormat
) -> RoutesSubmitter:
    """Return the operators' side of the routes."""
    return RoutesSubmitter(log, table, routes_format)
