"""Incremental parsing of server-sent events, for resumable streams."""

_ID_FIELD = b"id:"


class EventStreamParser:
    """Splits a stream into complete events and tracks the last event ID."""

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self._incomplete_event = b""

    def feed(self, data: bytes) -> bytes:
        """Return the complete events; buffer an incomplete one."""
        data = self._incomplete_event + data
        end = data.rfind(b"\n\n") + 2
        if end == 1:
            self._incomplete_event = data
            return b""
        complete, self._incomplete_event = data[:end], data[end:]
        self._update_last_id(complete)
        return complete

    def discard_incomplete_event(self) -> None:
        """Discard an incomplete event; a resumed stream sends it again."""
        self._incomplete_event = b""

    @property
    def has_incomplete_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._incomplete_event)

    def _update_last_id(self, events: bytes) -> None:
        position = events.rfind(b"\n" + _ID_FIELD)
        if position >= 0:
            line = events[position + 1 :]
        elif events.startswith(_ID_FIELD):
            line = events
        else:
            return
        value = line.partition(b"\n")[0][len(_ID_FIELD) :]
        self.last_id = value.strip()
