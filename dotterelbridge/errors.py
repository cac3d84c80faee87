"""The root of the exception tree.

Each subpackage derives its own errors from these. Every error carries a
remedy: what the reader can do about it.
"""


class DotterelbridgeError(Exception):
    """Base of all errors raised by dotterelbridge."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class InvariantViolation(DotterelbridgeError):
    """A rule that must always hold would have been broken."""


class SettingsError(DotterelbridgeError):
    """The settings file cannot be used."""


class SheetError(DotterelbridgeError):
    """A sheet was refused."""


class PeerError(DotterelbridgeError):
    """Another daemon could not be reached or broke the protocol."""


class PeerUnreachable(PeerError):
    """No link to the peer is up, or the request timed out."""


class ReplicationError(DotterelbridgeError):
    """A command could not be replicated."""


class NotCommitted(ReplicationError):
    """The command is certainly not in the log and never will be."""


class CommitUnknown(ReplicationError):
    """The command may or may not be committed."""


class StorageError(ReplicationError):
    """Durable storage is damaged, full or failing."""


class ClaimError(DotterelbridgeError):
    """A keyed call cannot proceed."""


class PlacementError(DotterelbridgeError):
    """A placement decision or engine order failed."""


class LeaseLost(PlacementError):
    """The lease ended or could not be renewed."""


class TargetError(DotterelbridgeError):
    """A target failed or refused."""


class TargetConnectFailed(TargetError):
    """No byte of the request can have reached the target."""


class TargetRefused(TargetError):
    """The target answered that it did not run the request."""


class TargetExchangeFailed(TargetError):
    """The exchange broke after a byte may have left."""


class RequestRefused(DotterelbridgeError):
    """A caller's request was refused and not run."""
