"""What routing knows of a caller's request."""

import msgspec

from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import RequestId
from dotterelbridge.sheet.rows import SheetRow


class Call(msgspec.Struct, kw_only=True, eq=False):
    """One request of a caller, over all of its attempts."""

    request: RequestId
    row: SheetRow
    version: str | None = None
    """The one version that the caller asked for, if any."""
    priority: Priority
    started_at: float = 0.0
    """Monotonic seconds at which the request arrived."""
    deadline_at: float
    """Monotonic seconds by which the first token is due."""
    prompt_blocks: tuple[str, ...] = ()
    """Hashes of the prompt's leading blocks, shortest prefix first."""
    body_size: int = 0
    resumable: bool = False
    """Whether a stream can go on at another target."""
    attempts: int = 0
    silences: int = 0
    """Attempts that ended by silence."""
    cancellations: int = 0
    """Times that this background stream made room for urgent work."""

    @property
    def item(self) -> ItemName:
        """Name of the model, adapter or service."""
        return self.row.name

    @property
    def is_service(self) -> bool:
        """Whether a plain service takes the call."""
        return self.row.kind is ItemKind.SERVICE

    @property
    def idempotent(self) -> bool:
        """Whether the call may run more than once."""
        return self.row.idempotent
