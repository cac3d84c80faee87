"""A caller's request as routing sees it."""

from collections.abc import Callable

import msgspec

from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import RequestId
from dotterelbridge.ids import TraitId
from dotterelbridge.sheet.rows import SheetRow


class Call(msgspec.Struct, kw_only=True, eq=False):
    """One request of a caller, with the state of all its attempts."""

    request_id: RequestId
    row: SheetRow
    version: str | None = None
    """Version that the caller pinned, or that began its stream, if any."""
    priority: Priority
    started_at: float = 0.0
    """Arrival time of the request, in monotonic seconds."""
    deadline_at: float
    """Time by which the first token is due, in monotonic seconds."""
    prompt_blocks: tuple[str, ...] = ()
    """Hashes of the prompt's leading blocks, shortest prefix first."""
    list_traits: Callable[[], tuple[TraitId, ...]] = tuple
    """Returns what it has in common with other requests, itself first."""
    body_size: int = 0
    resumable: bool = False
    """Whether a stream can be resumed at another target."""
    attempts: int = 0
    unanswered_attempts: int = 0
    """Attempts that were given up because the target sent no data."""
    preemptions: int = 0
    """How often this background stream was preempted by urgent work."""

    @property
    def item(self) -> ItemName:
        """Name of the model, adapter or service."""
        return self.row.name

    @property
    def is_service(self) -> bool:
        """Whether the call goes to a plain service, not to an engine."""
        return self.row.kind is ItemKind.SERVICE

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may run more than once."""
        return self.row.idempotent
