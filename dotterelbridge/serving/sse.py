"""Splits a body into server-sent events; each event carries one token."""

import re

from dotterelbridge.targets.errors import MalformedResponse

_CLOSING_DATA = b"[DONE]"
_DATA_FIELD = b"data:"
_find_field = re.compile(
    rb"^(?::|(?:data|event|id|retry)(?::|$))", re.MULTILINE
).search


class EventSplitter:
    """Splits a body into complete events and buffers a partial one.

    A caller never receives part of an event, so that a broken stream can be
    resumed with the next complete one.
    """

    def __init__(self, event_limit: int) -> None:
        self._event_limit = event_limit
        self._partial_event = b""
        self.done = False
        """Whether the closing event was received."""

    @property
    def held_bytes(self) -> int:
        """Size of what is buffered."""
        return len(self._partial_event)

    @property
    def has_partial_event(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._partial_event)

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Return the complete events and the number of tokens in them.

        :raises MalformedResponse: an event exceeds the size limit, has no
            field, or follows the closing one.
        """
        if self._partial_event:
            data = self._partial_event + data
            self._partial_event = b""
        # Fast path for the usual case: a single complete event.
        if (
            data.endswith(b"\n\n")
            and data.count(b"\n\n") == 1
            and data.startswith(_DATA_FIELD)
            and not self.done
            and _CLOSING_DATA not in data
        ):
            return data, 1
        return self._split_events(data)

    def _split_events(self, data: bytes) -> tuple[bytes, int]:
        # The format allows LF, CRLF and CR as line ends. A CR at the end of
        # the data may be the first half of a CRLF.
        if b"\r" in data:
            trailing_cr = b"\r" if data.endswith(b"\r") else b""
            data = data.removesuffix(b"\r")
            data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        else:
            trailing_cr = b""
        end = data.rfind(b"\n\n") + 2
        if end == 1:
            end = 0
        complete, self._partial_event = data[:end], data[end:] + trailing_cr
        if len(self._partial_event) > self._event_limit:
            raise MalformedResponse(
                f"an event exceeds {self._event_limit} bytes",
                "raise event_limit_kb in [serving], or report the target "
                "to its owner",
            )
        kept = []
        tokens = 0
        for event in complete.split(b"\n\n")[:-1]:
            event = event.lstrip(b"\n")
            if not event:
                continue
            if self.done:
                raise MalformedResponse(
                    "events follow the closing event",
                    "report the target to its owner",
                )
            if not _find_field(event):
                raise MalformedResponse(
                    "the body of an event stream contains other text",
                    "report the target to its owner",
                )
            kept.append(event + b"\n\n")
            if not _has_data(event):
                continue
            if event.removeprefix(_DATA_FIELD).strip() == _CLOSING_DATA:
                self.done = True
            else:
                tokens += 1
        return b"".join(kept), tokens


def _has_data(event: bytes) -> bool:
    return event.startswith(_DATA_FIELD) or b"\ndata:" in event
