"""The claims of all keys: at most one run for each."""

from collections import OrderedDict
import enum
import heapq

import msgspec

from dotterelbridge import invariants
from dotterelbridge.claims.commands import Abandon
from dotterelbridge.claims.commands import AnyCommand
from dotterelbridge.claims.commands import Begin
from dotterelbridge.claims.commands import ClaimLimits
from dotterelbridge.claims.commands import ClaimResult
from dotterelbridge.claims.commands import Record
from dotterelbridge.claims.commands import Release
from dotterelbridge.claims.commands import Stamp
from dotterelbridge.claims.commands import Verdict
from dotterelbridge.claims.log_time import LogTime
from dotterelbridge.claims.tombstones import PackedTombstones
from dotterelbridge.claims.tombstones import TombstoneKind
from dotterelbridge.claims.tombstones import Tombstones
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import VmId

RETIRED_PER_COMMAND = 8
"""Due claims that one command turns into tombstones, at most."""
RELEASED_ATTEMPTS_LIMIT = 8
"""Released attempts remembered for one key."""
BIRTH_SKEWS = 2
"""Clock errors after a volatile table's birth whose keys are refused."""
OUTDATED_FACTOR = 4
"""Entries of the due order for each claim before it is rebuilt."""


class Phase(enum.IntEnum):
    """Phase of a claim."""

    OPEN = 0
    RECORDED = 1
    ABANDONED = 2
    FREE = 3


class Claim(msgspec.Struct, array_like=True):
    """A key that is in use or was used lately."""

    phase: Phase
    attempt: AttemptId
    digest: bytes
    due_ms: int
    """When the claim leaves the table."""
    unknown_ms: int
    """When an open claim becomes unknown."""
    dated_ms: int | None = None
    """When the key was made; None for an undated key."""
    answer: bytes | None = None
    released: tuple[AttemptId, ...] = ()


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    now_ms: int
    reports: dict[VmId, int]
    birth_ms: int
    floor_ms: int
    open_count: int
    claims: list[tuple[bytes, Claim]]
    recorded: list[bytes]
    tombstones: PackedTombstones


_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


class ClaimTable:
    """Decides each command by the state that earlier ones left."""

    def __init__(self) -> None:
        self._time = LogTime()
        self._claims: dict[bytes, Claim] = {}
        self._recorded: OrderedDict[bytes, None] = OrderedDict()
        self._due: list[tuple[int, bytes]] = []
        self._tombstones = Tombstones()
        self._birth_ms = 0
        """The first log time that was known."""
        self._floor_ms = 0
        """UUIDv7 keys made up to this time are refused."""
        self._open_count = 0
        self._answer_bytes = 0

    def apply(self, command: AnyCommand) -> ClaimResult:
        """Apply one command."""
        limits = command.stamp.limits
        self._move_time(command.stamp)
        if isinstance(command, Begin):
            result = self._begin(command, limits)
        elif isinstance(command, Record):
            result = ClaimResult(self._record(command, limits))
        elif isinstance(command, Release):
            result = ClaimResult(self._release(command, limits))
        elif isinstance(command, Abandon):
            result = ClaimResult(self._abandon(command, limits))
        else:
            result = ClaimResult(Verdict.DONE)
        self._retire_due(limits)
        self._bound_answers(limits)
        self._tombstones.sweep(self._time.now_ms, self._floor_ms)
        return result

    def describe(self) -> dict[str, int]:
        """Return sizes for the dump."""
        return {
            "log_time_ms": self._time.now_ms,
            "claims": len(self._claims),
            "open": self._open_count,
            "recorded": len(self._recorded),
            "answer_bytes": self._answer_bytes,
            "remembered": len(self._tombstones),
            "refused_up_to_ms": self._floor_ms,
        }

    def take_snapshot(self) -> bytes:
        """Return the whole table."""
        snapshot = _Snapshot(
            now_ms=self._time.now_ms,
            reports=self._time.reports,
            birth_ms=self._birth_ms,
            floor_ms=self._floor_ms,
            open_count=self._open_count,
            claims=list(self._claims.items()),
            recorded=list(self._recorded),
            tombstones=self._tombstones.pack(),
        )
        return msgspec.msgpack.encode(snapshot)

    def restore_snapshot(self, encoded: bytes) -> None:
        """Replace the table by a snapshot."""
        snapshot = _snapshot_decoder.decode(encoded)
        self._time = LogTime(snapshot.now_ms, snapshot.reports)
        self._claims = dict(snapshot.claims)
        self._recorded = OrderedDict.fromkeys(snapshot.recorded)
        self._rebuild_due()
        self._tombstones = Tombstones.unpack(snapshot.tombstones)
        self._birth_ms = snapshot.birth_ms
        self._floor_ms = snapshot.floor_ms
        self._open_count = snapshot.open_count
        self._answer_bytes = sum(
            len(claim.answer or b"") for claim in self._claims.values()
        )

    def _move_time(self, stamp: Stamp) -> None:
        limits = stamp.limits
        self._time.report(stamp.proposer, stamp.now_ms, limits.clock_quorum)
        self._birth_ms = self._birth_ms or self._time.now_ms
        # The floor stays when the age is raised: keys below it may
        # already be forgotten.
        self._floor_ms = max(
            self._floor_ms, self._time.now_ms - limits.dated_key_age_ms
        )

    def _begin(self, command: Begin, limits: ClaimLimits) -> ClaimResult:
        if self._time.now_ms == 0:
            return ClaimResult(Verdict.NOT_READY)
        claim = self._claims.get(command.key)
        if claim is None:
            return ClaimResult(self._begin_unclaimed(command, limits))
        if command.attempt in claim.released:
            return ClaimResult(Verdict.RELEASED)
        if claim.phase is Phase.FREE:
            return ClaimResult(self._begin_unclaimed(command, limits))
        if claim.digest != command.digest:
            return ClaimResult(Verdict.MISMATCH)
        if claim.phase is Phase.RECORDED:
            return ClaimResult(Verdict.RECORDED, claim.answer)
        if self._is_unknown(claim):
            return ClaimResult(Verdict.UNKNOWN)
        if claim.attempt == command.attempt:
            return ClaimResult(Verdict.GRANTED)
        return ClaimResult(Verdict.IN_PROGRESS)

    def _begin_unclaimed(self, command: Begin, limits: ClaimLimits) -> Verdict:
        kind = self._tombstones.find(command.key)
        if kind is TombstoneKind.RAN:
            return Verdict.EXPIRED
        if kind is TombstoneKind.UNKNOWN:
            return Verdict.UNKNOWN
        refusal = self._refuse_by_date(command.key_time_ms, limits)
        return refusal or self._grant(command, limits)

    def _refuse_by_date(
        self, made_ms: int | None, limits: ClaimLimits
    ) -> Verdict | None:
        """Refuse a key that may have run and been forgotten."""
        if made_ms is not None and made_ms <= self._floor_ms:
            return Verdict.EXPIRED
        if not limits.volatile:
            return None
        if made_ms is None:
            return Verdict.UNDATED
        if made_ms > self._time.now_ms + limits.key_skew_ms:
            return Verdict.AHEAD
        # An earlier table, lost with its group, may have granted it. Its
        # log time may have been ahead of this one by the clocks' error.
        birth_margin_ms = BIRTH_SKEWS * limits.key_skew_ms
        if made_ms <= self._birth_ms + birth_margin_ms:
            return Verdict.UNKNOWN
        return None

    def _grant(self, command: Begin, limits: ClaimLimits) -> Verdict:
        if (
            self._open_count >= limits.attempts
            or len(self._tombstones) + len(self._claims) >= limits.remembered
        ):
            return Verdict.FULL
        earlier = self._claims.get(command.key)
        invariants.check(
            (earlier is None or earlier.phase is Phase.FREE)
            and self._tombstones.find(command.key) is None,
            "claim_granted_once",
            key=command.key.hex(),
            attempt=command.attempt,
        )
        unknown_ms = self._time.now_ms + limits.attempt_limit_ms
        self._put(
            command.key,
            Claim(
                phase=Phase.OPEN,
                attempt=command.attempt,
                digest=command.digest,
                due_ms=unknown_ms + limits.answer_age_ms,
                unknown_ms=unknown_ms,
                dated_ms=self._read_date(command, limits),
                released=earlier.released if earlier else (),
            ),
        )
        return Verdict.GRANTED

    def _read_date(self, command: Begin, limits: ClaimLimits) -> int | None:
        """Return a key's time if it is not ahead of log time.

        A key from the future would still be accepted when the tombstone
        of its first use is gone; it counts as undated.
        """
        made_ms = command.key_time_ms
        if made_ms is None:
            return None
        ahead_ms = made_ms - self._time.now_ms
        return None if ahead_ms > limits.key_skew_ms else made_ms

    def _record(self, command: Record, limits: ClaimLimits) -> Verdict:
        claim = self._claims.get(command.key)
        if claim is None:
            ran = self._tombstones.find(command.key) is TombstoneKind.RAN
            return Verdict.DONE if ran else Verdict.NOT_OWNER
        if claim.attempt != command.attempt or claim.phase is Phase.FREE:
            return Verdict.NOT_OWNER
        if claim.phase is Phase.RECORDED:
            return Verdict.DONE
        due_ms = self._time.now_ms + limits.answer_age_ms
        self._put(
            command.key,
            msgspec.structs.replace(
                claim,
                phase=Phase.RECORDED,
                answer=command.answer,
                due_ms=due_ms,
            ),
        )
        if command.answer is None:
            self._retire(command.key, limits)
        return Verdict.DONE

    def _release(self, command: Release, limits: ClaimLimits) -> Verdict:
        claim = self._claims.get(command.key)
        if claim is None:
            if self._tombstones.find(command.key) is not None:
                return Verdict.NOT_OWNER
            # The attempt's own claim may still be on its way.
            return self._free(command, (), limits)
        if claim.phase is Phase.FREE:
            return self._free(command, claim.released, limits)
        if claim.phase is Phase.OPEN and claim.attempt == command.attempt:
            return self._free(command, claim.released, limits)
        return Verdict.NOT_OWNER

    def _free(
        self,
        command: Release,
        released: tuple[AttemptId, ...],
        limits: ClaimLimits,
    ) -> Verdict:
        if command.attempt not in released:
            released = (*released, command.attempt)
        due_ms = self._time.now_ms + limits.attempt_limit_ms
        self._put(
            command.key,
            Claim(
                phase=Phase.FREE,
                attempt=command.attempt,
                digest=b"",
                due_ms=due_ms,
                unknown_ms=due_ms,
                released=released[-RELEASED_ATTEMPTS_LIMIT:],
            ),
        )
        return Verdict.DONE

    def _abandon(self, command: Abandon, limits: ClaimLimits) -> Verdict:
        claim = self._claims.get(command.key)
        if claim is None or claim.attempt != command.attempt:
            return Verdict.NOT_OWNER
        if claim.phase is Phase.ABANDONED:
            return Verdict.DONE
        if claim.phase is not Phase.OPEN:
            return Verdict.NOT_OWNER
        due_ms = self._time.now_ms + limits.answer_age_ms
        self._put(
            command.key,
            msgspec.structs.replace(
                claim, phase=Phase.ABANDONED, due_ms=due_ms
            ),
        )
        return Verdict.DONE

    def _is_unknown(self, claim: Claim) -> bool:
        if claim.phase is Phase.ABANDONED:
            return True
        return self._time.now_ms >= claim.unknown_ms

    def _put(self, key: bytes, claim: Claim) -> None:
        """Replace a key's claim and keep the counts and orders."""
        self._drop(key)
        self._claims[key] = claim
        self._open_count += claim.phase is Phase.OPEN
        self._answer_bytes += len(claim.answer or b"")
        if claim.phase is Phase.RECORDED:
            self._recorded[key] = None
        heapq.heappush(self._due, (claim.due_ms, key))

    def _drop(self, key: bytes) -> Claim | None:
        claim = self._claims.pop(key, None)
        if claim is None:
            return None
        self._open_count -= claim.phase is Phase.OPEN
        self._answer_bytes -= len(claim.answer or b"")
        self._recorded.pop(key, None)
        return claim

    def _retire(self, key: bytes, limits: ClaimLimits) -> None:
        """Turn a claim into a tombstone; a free key needs none."""
        claim = self._drop(key)
        if claim.phase is Phase.FREE:
            return
        ran = claim.phase is Phase.RECORDED
        kind = TombstoneKind.RAN if ran else TombstoneKind.UNKNOWN
        if claim.dated_ms is not None:
            self._tombstones.add_dated(key, kind, claim.dated_ms)
            return
        expires_ms = self._time.now_ms + limits.undated_key_age_ms
        self._tombstones.add_undated(key, kind, expires_ms)

    def _retire_due(self, limits: ClaimLimits) -> None:
        retired = 0
        while self._due and retired < RETIRED_PER_COMMAND:
            due_ms, key = self._due[0]
            if due_ms > self._time.now_ms:
                break
            heapq.heappop(self._due)
            claim = self._claims.get(key)
            if claim is not None and claim.due_ms == due_ms:
                self._retire(key, limits)
                retired += 1
        if len(self._due) > OUTDATED_FACTOR * (len(self._claims) + 1):
            self._rebuild_due()

    def _rebuild_due(self) -> None:
        """Order the claims by due time, without outdated entries."""
        self._due = [
            (claim.due_ms, key) for key, claim in self._claims.items()
        ]
        heapq.heapify(self._due)

    def _bound_answers(self, limits: ClaimLimits) -> None:
        while self._recorded and (
            len(self._recorded) > limits.answers
            or self._answer_bytes > limits.answers_bytes
        ):
            self._retire(next(iter(self._recorded)), limits)
