"""Which VM may give orders: one at a time, by claims on the log."""

from datetime import timedelta
import math

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.fleet.authority_table import MACHINE_NAME
from dotterelbridge.fleet.authority_table import decode_other
from dotterelbridge.fleet.authority_table import encode_claim
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.recovering_log import RecoveringLog

_log = structlog.get_logger(__name__)

_CLAIM_TIMEOUT = timedelta(seconds=1)
_CLAIM_AGAIN = timedelta(milliseconds=50)
"""Pause before a claim that was not committed is made again."""


class OrderAuthority:
    """Held by the leader of the log, once no other VM can give orders."""

    def __init__(
        self,
        own: VmId,
        log: RecoveringLog,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self.own = own
        self.term: Term | None = None
        """The term in which this VM may give orders."""
        self.elected_at = math.inf
        """Monotonic time from which no other VM gives any in that term."""
        self._log = log
        self._settings = settings
        self._clock = clock

    @property
    def is_held(self) -> bool:
        """Whether this VM is the one that gives orders, at this moment."""
        return (
            self.term is not None
            and self._log.has_leader_lease()
            and self._log.term == self.term
        )

    async def acquire(self) -> None:
        """Return once this VM may give orders."""
        while not self.is_held:
            if not self._log.has_leader_lease() or not await self._try_term():
                await self._clock.sleep(_CLAIM_AGAIN)

    def give_up(self) -> None:
        """Give no more orders."""
        term, self.term = self.term, None
        events.log(_log, FleetEvent.ORDERING_ENDED, term=term)

    async def _try_term(self) -> bool:
        """Claim on the log, and wait out the holder before.

        Its lease was over when this VM was elected; from then on the time
        counts in which it may have given its last order.
        """
        term = self._log.term
        elected_at = self._clock.monotonic()
        try:
            other = await self._claim(term)
            if other is not None:
                await self._wait_for_other(term, other, elected_at)
                await self._claim(term, is_settled=True)
        except (NotCommitted, CommitUnknown):
            return False
        if not self._log.has_leader_lease() or self._log.term != term:
            return False
        self.term = term
        self.elected_at = elected_at
        events.log(_log, FleetEvent.ORDERING_STARTED, term=term)
        return True

    async def _claim(
        self, term: Term, is_settled: bool = False
    ) -> VmId | None:
        """Claim on the log; return who may still give orders beside."""
        claim = encode_claim(self.own, term, is_settled)
        result = await self._log.propose(MACHINE_NAME, claim, _CLAIM_TIMEOUT)
        return decode_other(result)

    async def _wait_for_other(
        self, term: Term, other: VmId, elected_at: float
    ) -> None:
        wait_s = self._settings.holder_wait_ms / 1000
        wait_s -= self._clock.monotonic() - elected_at
        events.log(
            _log,
            FleetEvent.ORDERING_WAITS,
            term=term,
            holder_before=other,
            wait_ms=self._settings.holder_wait_ms,
        )
        await self._clock.sleep(timedelta(seconds=max(0.0, wait_s)))
