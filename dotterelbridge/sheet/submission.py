"""Submits sheets to the replicated log, from any VM."""

from collections.abc import Sequence
from datetime import timedelta
import hashlib
import zlib

import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import ReplicationError
from dotterelbridge.errors import SheetError
from dotterelbridge.ids import SheetNumber
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.delta import compute_changes
from dotterelbridge.sheet.delta import pack_rows
from dotterelbridge.sheet.events import SheetEvent
from dotterelbridge.sheet.faults import SheetInvalid
from dotterelbridge.sheet.messages import SheetSubmission
from dotterelbridge.sheet.messages import SheetSubmitted
from dotterelbridge.sheet.messages import SubmitFailure
from dotterelbridge.sheet.parser import BYTES_PER_MB
from dotterelbridge.sheet.parser import parse_sheet_async
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.sheet.state_machine import SubmitCommand
from dotterelbridge.sheet.state_machine import SubmitOutcome
from dotterelbridge.sheet.state_machine import SubmitState
from dotterelbridge.sheet.state_machine import decode_outcome
from dotterelbridge.sheet.state_machine import encode_command

MACHINE_NAME = "sheet"
RETRY_PAUSE = timedelta(milliseconds=200)
FORWARD_GRACE = timedelta(milliseconds=500)
"""Time that the answer of a VM that gave up has to arrive."""
FORWARDED_TRIES = 2
"""Tries that a VM with the log gets before the next one is asked."""

_log = structlog.get_logger(__name__)

_submissions = metrics.meter.create_counter(
    "dotterelbridge.sheet.submissions",
    description="Submissions answered by this VM, by outcome",
)


class SheetNotAccepted(SheetError):
    """The sheet was certainly not accepted."""


class SheetOutcomeUnknown(SheetError):
    """The sheet may or may not have been accepted."""


class SheetSubmitter:
    """Checks a sheet and commits it to the log."""

    def __init__(
        self,
        log: ReplicatedLog | None,
        network: PeerNetwork,
        holders: Sequence[VmId],
        source: SheetSource,
        known: KnownNames,
        settings: SheetSettings,
        clock: Clock,
    ) -> None:
        self._replicated = log
        self._network = network
        self._holders = holders
        self._source = source
        self._known = known
        self._settings = settings
        self._try_timeout = timedelta(milliseconds=settings.try_timeout_ms)
        self._clock = clock

    async def submit(
        self,
        number: SheetNumber,
        content: bytes,
        timeout: timedelta | None = None,
    ) -> SubmitOutcome:
        """Submit a CSV under the number that the planners gave it.

        :raises SheetFaulty: the CSV has faults.
        :raises SheetNotAccepted: certainly not accepted; try again.
        :raises SheetOutcomeUnknown: submit the same file again.
        """
        if timeout is None:
            timeout = timedelta(milliseconds=self._settings.submit_timeout_ms)
        deadline = self._clock.monotonic() + timeout.total_seconds()
        if self._replicated is None:
            outcome = await self._forward(number, content, deadline)
        else:
            outcome = await self._commit(number, content, deadline)
        self._note(outcome)
        return outcome

    async def answer_submission(
        self, sender: VmId, submission: SheetSubmission
    ) -> SheetSubmitted:
        """Answer a submission that a VM without the log forwarded."""
        timeout = timedelta(milliseconds=submission.timeout_ms)
        content = self._unpack(submission)
        try:
            outcome = await self.submit(submission.number, content, timeout)
        except SheetInvalid as error:
            return SheetSubmitted(
                failure=SubmitFailure.FAULTY, faults=tuple(error.faults)
            )
        except SheetNotAccepted as error:
            return SheetSubmitted(
                failure=SubmitFailure.NOT_ACCEPTED, problem=error.problem
            )
        except SheetOutcomeUnknown as error:
            return SheetSubmitted(
                failure=SubmitFailure.UNKNOWN, problem=error.problem
            )
        return SheetSubmitted(outcome=outcome)

    def _unpack(self, submission: SheetSubmission) -> bytes:
        """Return the CSV; cut off just past the limit, which is a fault."""
        limit = self._settings.size_limit_mb * BYTES_PER_MB
        return zlib.decompressobj().decompress(
            submission.content_packed, limit + 1
        )

    async def _commit(
        self,
        number: SheetNumber,
        content: bytes,
        deadline: float,
    ) -> SubmitOutcome:
        rows = await parse_sheet_async(content, self._known, self._settings)
        digest = hashlib.sha256(content).hexdigest()
        command = self._create_delta_command(number, digest, rows)
        unknown = False
        while True:
            try:
                outcome = await self._propose(command, deadline)
            except ReplicationError as error:
                unknown = unknown or isinstance(error, CommitUnknown)
                await self._pause(deadline, unknown, error)
                continue
            if outcome.state is not SubmitState.BASE_CHANGED:
                return outcome
            command = SubmitCommand(
                number=number, digest=digest, rows_packed=pack_rows(rows)
            )

    async def _propose(
        self, command: SubmitCommand, deadline: float
    ) -> SubmitOutcome:
        left = timedelta(seconds=deadline - self._clock.monotonic())
        if left <= timedelta(0):
            raise NotCommitted("the time is up", "submit the sheet again")
        result = await self._replicated.propose(
            MACHINE_NAME, encode_command(command), min(left, self._try_timeout)
        )
        return decode_outcome(result)

    def _create_delta_command(
        self, number: SheetNumber, digest: str, rows: tuple[SheetRow, ...]
    ) -> SubmitCommand:
        held = self._source.get_active_sheet()
        return SubmitCommand(
            number=number,
            digest=digest,
            base=held.revision,
            changes=compute_changes(held.rows, rows),
        )

    async def _forward(
        self, number: SheetNumber, content: bytes, deadline: float
    ) -> SubmitOutcome:
        """Let a VM with the log check and commit the sheet."""
        unknown = False
        while True:
            for holder in self._holders:
                if not self._network.is_connected(holder):
                    continue
                try:
                    reply = await self._send(holder, number, content, deadline)
                except PeerError:
                    unknown = True
                    continue
                if reply.failure is SubmitFailure.FAULTY:
                    raise SheetInvalid(list(reply.faults))
                if reply.outcome is not None:
                    return reply.outcome
                unknown = unknown or reply.failure is SubmitFailure.UNKNOWN
            await self._pause(deadline, unknown, None)

    async def _send(
        self,
        holder: VmId,
        number: SheetNumber,
        content: bytes,
        deadline: float,
    ) -> SheetSubmitted:
        """Forward once; a silent VM costs no more than a try."""
        left = timedelta(seconds=max(0, deadline - self._clock.monotonic()))
        timeout = min(left, FORWARDED_TRIES * self._try_timeout)
        submission = SheetSubmission(
            number=number,
            content_packed=zlib.compress(content),
            timeout_ms=int(timeout.total_seconds() * 1000),
        )
        return await self._network.request(
            holder, submission, timeout + FORWARD_GRACE
        )

    async def _pause(
        self,
        deadline: float,
        unknown: bool,
        cause: ReplicationError | None,
    ) -> None:
        """Wait before the next attempt, or give up at the deadline."""
        wake_at = self._clock.monotonic() + RETRY_PAUSE.total_seconds()
        if wake_at < deadline:
            await self._clock.sleep(RETRY_PAUSE)
            return
        reason = cause.problem if cause else "no VM with the log answered"
        events.log(_log, SheetEvent.SHEET_REFUSED, reason=reason)
        if unknown:
            raise SheetOutcomeUnknown(
                f"whether the sheet was accepted is not known ({reason})",
                "submit the same file under the same number again, to any "
                "VM; it is accepted at most once",
            ) from cause
        raise SheetNotAccepted(
            f"the sheet was not accepted ({reason})",
            "submit it again when a majority of the VMs with a data folder "
            "can be reached",
        ) from cause

    def _note(self, outcome: SubmitOutcome) -> None:
        accepted = outcome.state is SubmitState.ACCEPTED
        event = (
            SheetEvent.SHEET_ACCEPTED if accepted else SheetEvent.SHEET_REFUSED
        )
        _submissions.add(1, {"outcome": outcome.state.value})
        events.log(
            _log,
            event,
            reason=outcome.state.value,
            number=outcome.number,
            revision=outcome.revision,
        )
