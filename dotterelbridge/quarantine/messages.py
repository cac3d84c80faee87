"""Messages about crashes of targets."""

from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.ids import TraitId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.quarantine.quarantine import QuarantineSnapshot


@register_message("fleet.crash")
class CrashReport(Message, frozen=True, kw_only=True, array_like=True):
    """Reports that a target crashed while it began to answer requests."""

    target: TargetId
    born: int
    """Unix time of the target's start in ms."""
    traits: tuple[TraitId, ...]
    """Traits of these requests, as far as the sender knows."""
    closed_ms_ago: int = 0
    """Time since the target closed the first of their connections."""
    attempts: tuple[tuple[TraitId, ...], ...] = ()
    """The traits of each of these requests."""


@register_message("fleet.crash_recorded")
class CrashRecorded(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a CrashReport."""

    is_recorded: bool
    """Whether the leader of the log has the report."""


@register_message("fleet.crash_evidence")
class CrashEvidence(Message, frozen=True, kw_only=True, array_like=True):
    """Copy of what the leader has recorded, for those that may follow it."""

    reports: tuple[CrashReport, ...] = ()
    answered: tuple[TraitId, ...] = ()
    """Traits of complete answers, which clear them."""


@register_message("quarantine.answered")
class AnsweredTraits(Message, frozen=True, kw_only=True, array_like=True):
    """Reports complete answers to requests with watched traits."""

    traits: tuple[TraitId, ...]


@register_message("quarantine.update")
class QuarantineUpdate(Message, frozen=True, kw_only=True, array_like=True):
    """Tells a VM what is quarantined, from the leader of the log."""

    term: Term
    """Term in which the sender leads."""
    snapshot: QuarantineSnapshot
    watched: tuple[TraitId, ...]
    """Traits of which VMs report complete answers."""
