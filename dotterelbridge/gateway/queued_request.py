"""A request that waits for a slot, and its place in the queue."""

import anyio

from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.target import Slot
from dotterelbridge.permits.pool import Permit


class QueuedRequest:
    """A request that waits for a slot."""

    def __init__(self, call: GatewayCall, queued_at: float) -> None:
        self.call = call
        self.queued_at = queued_at
        self.slot: Slot | None = None
        self.permit: Permit | None = None
        """Ordered for this request, if only targets with a rate limit can
        take it; a more urgent request may use it."""
        self.wake_up = anyio.Event()
        self.is_reported = False
        """Whether a demand report was triggered; regular ones follow."""

    def create_sort_key(self, now: float) -> tuple[bool, int, float]:
        """Return the key by which requests get free slots, lowest first.

        Requests that can still meet their latency objective come first,
        then the more urgent, then those with the earlier deadline.
        """
        return (
            self.call.is_late(now),
            self.call.urgency,
            self.call.first_byte_deadline_at,
        )

    def assign_slot(self, slot: Slot) -> None:
        self.slot = slot
        self.wake_up.set()
