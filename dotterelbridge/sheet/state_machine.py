"""The sheet as a state machine on the replicated log.

A submission carries the difference to a base revision where it can, so
that a changed row costs the log a row and not a whole sheet.
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

REMEMBERED_SUBMISSIONS = 2000
"""Accepted submissions that are recognised when they are sent again."""
UNPACKED_LIMIT_BYTES = 256 * 1024 * 1024


class SubmitState(enum.Enum):
    """Answer to a submission."""

    ACCEPTED = "accepted"
    """Accepted, now or by an earlier copy of the same submission."""
    CONFLICT = "conflict"
    """The number is held by a sheet with other content."""
    STALE = "stale"
    """A later number was accepted before."""
    BASE_CHANGED = "base_changed"
    """Another sheet was accepted since the difference was computed."""


class SubmitOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a submission."""

    state: SubmitState
    number: SheetNumber
    """Number of the sheet that holds: this one's when accepted."""
    digest: str
    """Digest of the sheet that holds."""
    revision: Revision
    """Revision of the sheet that holds."""
    current: Revision
    """The latest accepted revision when the answer was given."""


class SubmitCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A submission as the log carries it."""

    number: SheetNumber
    digest: str
    base: Revision | None = None
    """Revision that the changes start from; None for a whole sheet."""
    changes: RowChanges = RowChanges()
    rows_packed: bytes = b""


class _Accepted(msgspec.Struct, frozen=True):
    digest: str
    revision: Revision


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    revision: Revision
    number: SheetNumber
    digest: str
    rows_packed: bytes
    accepted: list[tuple[SheetNumber, str, Revision]]


AcceptCallback = Callable[[SheetRevision, SheetDelta | None], None]
"""Called with the new sheet, and the delta to it unless it is a jump."""

_command_decoder = msgspec.msgpack.Decoder(SubmitCommand)
_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)
_outcome_decoder = msgspec.msgpack.Decoder(SubmitOutcome)


def encode_command(command: SubmitCommand) -> bytes:
    """Return the command as the log carries it."""
    return msgspec.msgpack.encode(command)


def decode_outcome(result: bytes) -> SubmitOutcome:
    """Return the outcome in the log's result."""
    return _outcome_decoder.decode(result)


class Sheet(StateMachine):
    """The accepted revisions; the newest one with its rows."""

    def __init__(self) -> None:
        self._current = EMPTY_SHEET
        self._accepted: OrderedDict[SheetNumber, _Accepted] = OrderedDict()
        self._callbacks: list[AcceptCallback] = []

    @property
    def current(self) -> SheetRevision:
        """The newest accepted sheet."""
        return self._current

    def on_accept(self, callback: AcceptCallback) -> None:
        """Call back after each change of the newest accepted sheet."""
        self._callbacks.append(callback)

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one submission; the result is a SubmitOutcome."""
        outcome = self.submit(_command_decoder.decode(command))
        return msgspec.msgpack.encode(outcome)

    def submit(self, command: SubmitCommand) -> SubmitOutcome:
        """Accept or refuse a submission by its number and digest."""
        earlier = self._accepted.get(command.number)
        if earlier is not None:
            return self._answer_again(command, earlier)
        if command.number <= self._current.number:
            return self._describe_current(SubmitState.STALE)
        if command.base not in (None, self._current.revision):
            return self._describe_current(SubmitState.BASE_CHANGED)
        self._accept(command)
        return self._describe_current(SubmitState.ACCEPTED)

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
        """Replace the state; never by an older revision."""
        state = _snapshot_decoder.decode(snapshot)
        rows = unpack_rows(state.rows_packed, UNPACKED_LIMIT_BYTES)
        self._check_not_older(state.revision)
        self._accepted = OrderedDict(
            (number, _Accepted(digest, revision))
            for number, digest, revision in state.accepted
        )
        self._current = SheetRevision(
            revision=state.revision,
            number=state.number,
            digest=state.digest,
            rows=rows,
        )
        self._notify(None)

    def _answer_again(
        self, command: SubmitCommand, earlier: _Accepted
    ) -> SubmitOutcome:
        same = earlier.digest == command.digest
        return SubmitOutcome(
            state=SubmitState.ACCEPTED if same else SubmitState.CONFLICT,
            number=command.number,
            digest=earlier.digest,
            revision=earlier.revision,
            current=self._current.revision,
        )

    def _describe_current(self, state: SubmitState) -> SubmitOutcome:
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
        self._accepted[command.number] = _Accepted(command.digest, revision)
        while len(self._accepted) > REMEMBERED_SUBMISSIONS:
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
