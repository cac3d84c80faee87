"""Grants one control VM at a time the authority to send orders to engines."""

from datetime import timedelta
import math

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.fleet.authority_table import STATE_MACHINE_NAME
from dotterelbridge.fleet.authority_table import decode_previous_holder
from dotterelbridge.fleet.authority_table import encode_claim
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.recovering_log import RecoveringLog

_log = structlog.get_logger(__name__)

_CLAIM_TIMEOUT = timedelta(seconds=1)
_CLAIM_RETRY_DELAY = timedelta(milliseconds=50)
"""Delay before a claim that was not committed is proposed again."""


class OrderAuthority:
    """The right to send orders, which the leader of the log can acquire.

    It is held once no other VM can send orders any more.
    """

    def __init__(
        self,
        own_vm: VmId,
        log: RecoveringLog,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self.own_vm = own_vm
        self.term: Term | None = None
        """The term in which this VM may send orders."""
        self.elected_at = math.inf
        """Monotonic time of the election, after which no other VM sends
        orders in that term."""
        self._log = log
        self._settings = settings
        self._clock = clock

    @property
    def is_held(self) -> bool:
        """Whether this VM may send orders at this moment."""
        return (
            self.term is not None
            and self._log.has_leader_lease()
            and self._log.term == self.term
        )

    async def acquire(self) -> None:
        """Return once this VM may send orders."""
        while not self.is_held:
            if (
                not self._log.has_leader_lease()
                or not await self._try_acquire()
            ):
                await self._clock.sleep(_CLAIM_RETRY_DELAY)

    def release(self) -> None:
        """Stop sending orders."""
        term, self.term = self.term, None
        events.log(_log, FleetEvent.ORDERING_ENDED, term=term)

    async def _try_acquire(self) -> bool:
        """Claim the authority on the log and wait for its previous holder.

        The lease of the previous holder had expired when this VM was
        elected. The time in which its last order may still take effect
        therefore runs from the election.
        """
        term = self._log.term
        elected_at = self._clock.monotonic()
        try:
            previous_vm = await self._claim(term)
            if previous_vm is not None:
                await self._wait_for_previous_holder(
                    term, previous_vm, elected_at
                )
                await self._claim(term, is_exclusive=True)
        except (NotCommitted, CommitUnknown):
            return False
        if not self._log.has_leader_lease() or self._log.term != term:
            return False
        self.term = term
        self.elected_at = elected_at
        events.log(_log, FleetEvent.ORDERING_STARTED, term=term)
        return True

    async def _claim(
        self, term: Term, is_exclusive: bool = False
    ) -> VmId | None:
        """Commit a claim; return the VM that may still send orders, if any."""
        claim = encode_claim(self.own_vm, term, is_exclusive)
        result = await self._log.propose(
            STATE_MACHINE_NAME, claim, _CLAIM_TIMEOUT
        )
        return decode_previous_holder(result)

    async def _wait_for_previous_holder(
        self, term: Term, previous_vm: VmId, elected_at: float
    ) -> None:
        wait_s = self._settings.holder_wait_ms / 1000
        wait_s -= self._clock.monotonic() - elected_at
        events.log(
            _log,
            FleetEvent.ORDERING_WAITS,
            term=term,
            holder_before=previous_vm,
            wait_ms=self._settings.holder_wait_ms,
        )
        await self._clock.sleep(timedelta(seconds=max(0.0, wait_s)))
