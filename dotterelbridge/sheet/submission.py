"""Submits sheets to the replicated log from any VM."""

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

STATE_MACHINE_NAME = "sheet"
RETRY_DELAY = timedelta(milliseconds=200)
FORWARD_REPLY_MARGIN = timedelta(milliseconds=500)
"""Time for the reply of a control VM to arrive after its own timeout."""
FORWARDED_TRY_COUNT = 2
"""Try timeouts that one control VM gets before the next one is used."""

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
    """Validates a sheet and commits it to the log."""

    def __init__(
        self,
        log: ReplicatedLog | None,
        network: PeerNetwork,
        control_vms: Sequence[VmId],
        source: SheetSource,
        known_names: KnownNames,
        settings: SheetSettings,
        clock: Clock,
    ) -> None:
        self._replicated_log = log
        self._network = network
        self._control_vms = control_vms
        self._source = source
        self._known_names = known_names
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

        :raises SheetInvalid: the CSV has faults.
        :raises SheetNotAccepted: certainly not accepted; submit it again.
        :raises SheetOutcomeUnknown: may be accepted; submit the same file
            under the same number again.
        """
        if timeout is None:
            timeout = timedelta(milliseconds=self._settings.submit_timeout_ms)
        deadline = self._clock.monotonic() + timeout.total_seconds()
        if self._replicated_log is None:
            outcome = await self._forward(number, content, deadline)
        else:
            outcome = await self._submit_to_log(number, content, deadline)
        self._record_outcome(outcome)
        return outcome

    async def handle_submission(
        self, sender: VmId, submission: SheetSubmission
    ) -> SheetSubmitted:
        """Handle a submission that a VM without the log forwarded."""
        timeout = timedelta(milliseconds=submission.timeout_ms)
        content = self._decompress_content(submission)
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

    def _decompress_content(self, submission: SheetSubmission) -> bytes:
        """Return the CSV; cut off just past the limit, which is a fault."""
        limit = self._settings.size_limit_mb * BYTES_PER_MB
        return zlib.decompressobj().decompress(
            submission.content_packed, limit + 1
        )

    async def _submit_to_log(
        self,
        number: SheetNumber,
        content: bytes,
        deadline: float,
    ) -> SubmitOutcome:
        rows = await parse_sheet_async(
            content, self._known_names, self._settings
        )
        digest = hashlib.sha256(content).hexdigest()
        command = self._create_delta_command(number, digest, rows)
        may_be_accepted = False
        while True:
            try:
                outcome = await self._propose(command, deadline)
            except ReplicationError as error:
                may_be_accepted = may_be_accepted or isinstance(
                    error, CommitUnknown
                )
                await self._wait_before_retry(deadline, may_be_accepted, error)
                continue
            if outcome.state is not SubmitState.BASE_CHANGED:
                return outcome
            command = SubmitCommand(
                number=number, digest=digest, rows_packed=pack_rows(rows)
            )

    async def _propose(
        self, command: SubmitCommand, deadline: float
    ) -> SubmitOutcome:
        remaining = timedelta(seconds=deadline - self._clock.monotonic())
        if remaining <= timedelta(0):
            raise NotCommitted(
                "the submission timed out", "submit the sheet again"
            )
        result = await self._replicated_log.propose(
            STATE_MACHINE_NAME,
            encode_command(command),
            min(remaining, self._try_timeout),
        )
        return decode_outcome(result)

    def _create_delta_command(
        self, number: SheetNumber, digest: str, rows: tuple[SheetRow, ...]
    ) -> SubmitCommand:
        base = self._source.get_active_sheet()
        return SubmitCommand(
            number=number,
            digest=digest,
            base=base.revision,
            changes=compute_changes(base.rows, rows),
        )

    async def _forward(
        self, number: SheetNumber, content: bytes, deadline: float
    ) -> SubmitOutcome:
        """Let a control VM validate and commit the sheet."""
        may_be_accepted = False
        while True:
            for control_vm in self._control_vms:
                if not self._network.is_connected(control_vm):
                    continue
                try:
                    reply = await self._forward_once(
                        control_vm, number, content, deadline
                    )
                except PeerError:
                    may_be_accepted = True
                    continue
                if reply.failure is SubmitFailure.FAULTY:
                    raise SheetInvalid(list(reply.faults))
                if reply.outcome is not None:
                    return reply.outcome
                may_be_accepted = (
                    may_be_accepted or reply.failure is SubmitFailure.UNKNOWN
                )
            await self._wait_before_retry(deadline, may_be_accepted, None)

    async def _forward_once(
        self,
        control_vm: VmId,
        number: SheetNumber,
        content: bytes,
        deadline: float,
    ) -> SheetSubmitted:
        """Forward once, with a timeout that leaves time for another VM."""
        remaining = timedelta(
            seconds=max(0, deadline - self._clock.monotonic())
        )
        timeout = min(remaining, FORWARDED_TRY_COUNT * self._try_timeout)
        submission = SheetSubmission(
            number=number,
            content_packed=zlib.compress(content),
            timeout_ms=int(timeout.total_seconds() * 1000),
        )
        return await self._network.request(
            control_vm, submission, timeout + FORWARD_REPLY_MARGIN
        )

    async def _wait_before_retry(
        self,
        deadline: float,
        may_be_accepted: bool,
        cause: ReplicationError | None,
    ) -> None:
        """Wait before the next try, or raise an error at the deadline."""
        wake_at = self._clock.monotonic() + RETRY_DELAY.total_seconds()
        if wake_at < deadline:
            await self._clock.sleep(RETRY_DELAY)
            return
        reason = cause.problem if cause else "no VM that holds the log replied"
        events.log(_log, SheetEvent.SHEET_REFUSED, reason=reason)
        if may_be_accepted:
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

    def _record_outcome(self, outcome: SubmitOutcome) -> None:
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
