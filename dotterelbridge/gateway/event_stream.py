"""Incremental parsing of server-sent events."""

from dotterelbridge.targets.errors import MalformedResponse

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID_FIELD = b"id:"
_COMMENT_START = b":"


class EventStreamParser:
    """Splits a stream into complete events and tracks the last event ID."""

    def __init__(self, event_limit_bytes: int) -> None:
        self._event_limit_bytes = event_limit_bytes
        self.last_id: bytes | None = None
        self.has_events = False
        """Whether this response had an event, as opposed to comments only."""
        self._held_comments = b""
        self._incomplete_event = b""
        self._previous_id: bytes | None = None
        """ID that the first event has to follow; None if it is free."""

    def feed(self, data: bytes) -> bytes:
        """Return the complete events; buffer an incomplete one.

        Comments before the first event are held back until it arrives.

        :raises MalformedResponse: an event exceeds the size limit, or the
            first one does not follow the last one before.
        """
        data = self._incomplete_event + data
        end = max(_find_last_end(data, mark) for mark in _EVENT_ENDS)
        complete, self._incomplete_event = data[:end], data[end:]
        if complete and not self.has_events:
            complete = self._hold_comments(complete)
        if self.held_bytes > self._event_limit_bytes:
            raise MalformedResponse(
                f"an event exceeds {self._event_limit_bytes} bytes",
                "raise event_limit_kb in [gateway], or report the target "
                "to its owner",
            )
        if complete:
            self._update_last_id(complete)
        return complete

    def start_response(self, continues: bool = False) -> None:
        """Discard an incomplete event; a resumed stream sends it again.

        :param continues: whether the response has to go on after the last
            event that has an ID.
        """
        self._previous_id = (self.last_id or None) if continues else None
        self._incomplete_event = b""
        self._held_comments = b""
        self.has_events = False

    @property
    def held_bytes(self) -> int:
        """Size of what is buffered."""
        return len(self._held_comments) + len(self._incomplete_event)

    @property
    def has_incomplete_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._incomplete_event)

    def _hold_comments(self, events: bytes) -> bytes:
        """Return all that was received once there is an event, or nothing."""
        self._held_comments += events
        if not _has_field(events):
            return b""
        self.has_events = True
        self._check_continuation(events)
        received, self._held_comments = self._held_comments, b""
        return received

    def _check_continuation(self, events: bytes) -> None:
        """Check the first events of a response."""
        previous_id = self._previous_id
        if previous_id is None:
            return
        first_id = _find_first_id(events)
        if first_id is None or not _follows(previous_id, first_id):
            raise MalformedResponse(
                f"the stream was to go on after event {previous_id!r} and "
                f"began with {first_id!r}",
                "check that the target resumes streams",
            )

    def _update_last_id(self, events: bytes) -> None:
        position = max(
            events.rfind(b"\n" + _ID_FIELD), events.rfind(b"\r" + _ID_FIELD)
        )
        if position >= 0:
            line = events[position + 1 :]
        elif events.startswith(_ID_FIELD):
            line = events
        else:
            return
        value = line.partition(b"\n")[0].partition(b"\r")[0]
        self.last_id = value[len(_ID_FIELD) :].strip()


def count_events(events: bytes) -> int:
    """Return the number of complete events."""
    return sum(events.count(mark) for mark in _EVENT_ENDS)


def _has_field(events: bytes) -> bool:
    return any(
        line and not line.startswith(_COMMENT_START)
        for line in events.splitlines()
    )


def _find_first_id(events: bytes) -> bytes | None:
    """Return the ID of the first event; None if it has none."""
    has_begun = False
    for line in events.splitlines():
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip()
        if not line and has_begun:
            return None
        if line and not line.startswith(_COMMENT_START):
            has_begun = True
    return None


def _follows(previous_id: bytes, event_id: bytes) -> bool:
    """Return whether an event can be a later one; numbers increase."""
    if not (previous_id.isdigit() and event_id.isdigit()):
        return event_id != previous_id
    # Conversion of very long numbers is slow, or fails.
    previous_id, event_id = previous_id.lstrip(b"0"), event_id.lstrip(b"0")
    return (len(event_id), event_id) > (len(previous_id), previous_id)


def _find_last_end(data: bytes, mark: bytes) -> int:
    """Return the position after the last mark, or 0."""
    position = data.rfind(mark)
    return position + len(mark) if position >= 0 else 0
