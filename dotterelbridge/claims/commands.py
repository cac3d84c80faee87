"""Commands that the claims' state machine takes, and their results.

State machines have no clock: each command carries its proposer's time.
The limits come with it as well, so that VMs whose settings differ for a
while, as in a rolling change, still build the same state.
"""

import enum

import msgspec

from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import VmId

MS_PER_S = 1000


class ClaimLimits(msgspec.Struct, frozen=True, array_like=True):
    """The limits in force for one command."""

    attempt_limit_ms: int
    answer_age_ms: int
    answers_bytes: int
    answers: int
    attempts: int
    dated_key_age_ms: int
    undated_key_age_ms: int
    remembered: int
    clock_quorum: int
    key_skew_ms: int
    """How far ahead of log time a UUIDv7 key may be made."""
    volatile: bool
    """Whether the table may be lost as a whole, with all its members."""


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Where and when a command was proposed."""

    proposer: VmId
    now_ms: int
    """The proposer's wall-clock time, Unix milliseconds."""
    limits: ClaimLimits


class Command(msgspec.Struct, frozen=True, array_like=True):
    """Base of the commands."""

    stamp: Stamp


class Begin(Command, tag="begin"):
    """Claims a key for an attempt."""

    key: bytes
    key_time_ms: int | None
    digest: bytes
    attempt: AttemptId


class Record(Command, tag="record"):
    """Records the answer of an attempt."""

    key: bytes
    attempt: AttemptId
    answer: bytes | None
    """None when it is too large to keep."""


class Release(Command, tag="release"):
    """Frees a key: the attempt certainly did not run."""

    key: bytes
    attempt: AttemptId


class Abandon(Command, tag="abandon"):
    """Marks a key: whether the attempt ran cannot be known."""

    key: bytes
    attempt: AttemptId


class Tick(Command, tag="tick"):
    """Reports the proposer's time."""


AnyCommand = Begin | Record | Release | Abandon | Tick


class Verdict(enum.Enum):
    """Result of a command."""

    GRANTED = "granted"
    RECORDED = "recorded"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    MISMATCH = "mismatch"
    RELEASED = "released"
    """The attempt was released before; it may not run."""
    FULL = "full"
    NOT_READY = "not_ready"
    """Log time is not known: too few VMs reported theirs."""
    UNDATED = "undated"
    """A volatile table takes only keys that tell when they were made."""
    AHEAD = "ahead"
    """A volatile table takes no keys from the future."""
    DONE = "done"
    NOT_OWNER = "not_owner"


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """A verdict, with the recorded answer where there is one."""

    verdict: Verdict
    answer: bytes | None = None


_command_decoder = msgspec.msgpack.Decoder(AnyCommand)
_result_decoder = msgspec.msgpack.Decoder(ClaimResult)


def encode_command(command: AnyCommand) -> bytes:
    """Return the command as the log carries it."""
    return msgspec.msgpack.encode(command)


def decode_command(encoded: bytes) -> AnyCommand:
    """Return the command that the log carried."""
    return _command_decoder.decode(encoded)


def decode_result(encoded: bytes) -> ClaimResult:
    """Return the result of a command."""
    return _result_decoder.decode(encoded)
