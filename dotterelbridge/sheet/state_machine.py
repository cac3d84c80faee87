"""The sheet as a state machine on the replicated log.

Where possible, a submission contains only the changes to a base revision,
so that a changed row adds one row to the log instead of a whole sheet.
"""

from collections import OrderedDict
from collections.abc import Callable
import enum

import msgspec

from dotterelbridge import invariants
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.sheet.delta import RowChanges
from dotterelbridge.sheet.delta import SheetDelta
from dotterelbridge.sheet.delta import compute_changes
from dotterelbridge.sheet.delta import compute_checksum
from dotterelbridge.sheet.delta import pack_rows
from dotterelbridge.sheet.delta import unpack_rows
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision

REMEMBERED_SUBMISSION_COUNT = 2000
"""Accepted submissions that are recognised when they are resent."""
UNPACKED_LIMIT_BYTES = 256 * 1024 * 1024


class SubmitState(enum.Enum):
    """Result of a submission."""

    ACCEPTED = "accepted"
    """Accepted now, or earlier as a copy of the same submission."""
    CONFLICT = "conflict"
    """The number was accepted for a sheet with other content."""
    STALE = "stale"
    """A higher number was accepted earlier."""
    BASE_CHANGED = "base_changed"
    """Another sheet was accepted after the changes were computed."""


class SubmitOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a submission, with the accepted sheet."""

    state: SubmitState
    number: SheetNumber
    """Number of the accepted sheet: the submitted one if it was accepted."""
    digest: str
    """Digest of that sheet."""
    revision: Revision
    """Revision of that sheet."""
    current: Revision
    """The newest accepted revision at the time of the result."""


class SubmitCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A submission, as encoded in the log."""

    number: SheetNumber
    digest: str
    base: Revision | None = None
    """Revision that the changes apply to; None for a full sheet."""
    changes: RowChanges = RowChanges()
    rows_packed: bytes = b""


class _AcceptedSubmission(msgspec.Struct, frozen=True):
    digest: str
    revision: Revision


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    revision: Revision
    number: SheetNumber
    digest: str
    rows_packed: bytes
    accepted: list[tuple[SheetNumber, str, Revision]]


AcceptCallback = Callable[[SheetRevision, SheetDelta | None], None]
"""Called with the new sheet and the delta to it; the delta is None after a
snapshot was restored."""

_command_decoder = msgspec.msgpack.Decoder(SubmitCommand)
_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)
_outcome_decoder = msgspec.msgpack.Decoder(SubmitOutcome)


def encode_command(command: SubmitCommand) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


def decode_outcome(result: bytes) -> SubmitOutcome:
    """Decode the result that the log returned."""
    return _outcome_decoder.decode(result)


class SheetStateMachine(StateMachine):
    """The newest accepted sheet and the recently accepted submissions."""

    def __init__(self) -> None:
        self._current = EMPTY_SHEET
        self._accepted: OrderedDict[SheetNumber, _AcceptedSubmission] = (
            OrderedDict()
        )
        self._callbacks: list[AcceptCallback] = []

    @property
    def current(self) -> SheetRevision:
        """The newest accepted sheet."""
        return self._current

    def subscribe(self, callback: AcceptCallback) -> None:
        """Register a callback for each change of the newest accepted sheet."""
        self._callbacks.append(callback)

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one submission and return an encoded SubmitOutcome."""
        outcome = self.submit(_command_decoder.decode(command))
        return msgspec.msgpack.encode(outcome)

    def submit(self, command: SubmitCommand) -> SubmitOutcome:
        """Accept or reject a submission by its number and digest."""
        earlier = self._accepted.get(command.number)
        if earlier is not None:
            return self._repeat_outcome(command, earlier)
        if command.number <= self._current.number:
            return self._create_outcome(SubmitState.STALE)
        if command.base not in (None, self._current.revision):
            return self._create_outcome(SubmitState.BASE_CHANGED)
        self._accept(command)
        return self._create_outcome(SubmitState.ACCEPTED)

    def take_snapshot(self) -> bytes:
        """Return the newest sheet and the remembered submissions."""
        snapshot = _Snapshot(
            revision=self._current.revision,
            number=self._current.number,
            digest=self._current.digest,
            rows_packed=pack_rows(self._current.rows),
            accepted=[
                (number, entry.digest, entry.revision)
                for number, entry in self._accepted.items()
            ],
        )
        return msgspec.msgpack.encode(snapshot)

    def restore_snapshot(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot that is not older."""
        state = _snapshot_decoder.decode(snapshot)
        rows = unpack_rows(state.rows_packed, UNPACKED_LIMIT_BYTES)
        self._check_not_older(state.revision)
        self._accepted = OrderedDict(
            (number, _AcceptedSubmission(digest, revision))
            for number, digest, revision in state.accepted
        )
        self._current = SheetRevision(
            revision=state.revision,
            number=state.number,
            digest=state.digest,
            rows=rows,
        )
        self._notify(None)

    def _repeat_outcome(
        self, command: SubmitCommand, earlier: _AcceptedSubmission
    ) -> SubmitOutcome:
        same = earlier.digest == command.digest
        return SubmitOutcome(
            state=SubmitState.ACCEPTED if same else SubmitState.CONFLICT,
            number=command.number,
            digest=earlier.digest,
            revision=earlier.revision,
            current=self._current.revision,
        )

    def _create_outcome(self, state: SubmitState) -> SubmitOutcome:
        return SubmitOutcome(
            state=state,
            number=self._current.number,
            digest=self._current.digest,
            revision=self._current.revision,
            current=self._current.revision,
        )

    def _accept(self, command: SubmitCommand) -> None:
        old = self._current
        rows, changes = self._compute_rows(command)
        revision = Revision(old.revision + 1)
        self._check_not_older(revision)
        invariants.check(
            command.number > old.number,
            "sheet_number_rises",
            held=old.number,
            accepted=command.number,
        )
        self._current = SheetRevision(
            revision=revision,
            number=command.number,
            digest=command.digest,
            rows=rows,
        )
        self._accepted[command.number] = _AcceptedSubmission(
            command.digest, revision
        )
        while len(self._accepted) > REMEMBERED_SUBMISSION_COUNT:
            self._accepted.popitem(last=False)
        self._notify(
            SheetDelta(
                revision=revision,
                number=command.number,
                digest=command.digest,
                checksum=compute_checksum(rows),
                changes=changes,
            )
        )

    def _compute_rows(self, command: SubmitCommand):
        if command.base is not None:
            return command.changes.apply(self._current.rows), command.changes
        rows = unpack_rows(command.rows_packed, UNPACKED_LIMIT_BYTES)
        return rows, compute_changes(self._current.rows, rows)

    def _check_not_older(self, revision: Revision) -> None:
        invariants.check(
            revision >= self._current.revision,
            "sheet_revision_never_falls",
            held=self._current.revision,
            offered=revision,
        )

    def _notify(self, delta: SheetDelta | None) -> None:
        for callback in self._callbacks:
            callback(self._current, delta)
