"""Boundaries of server-sent events; one event carries one token."""

from dotterelbridge.targets.errors import MalformedResponse

_DONE = b"[DONE]"
_FIELD = b"data:"


class EventSplitter:
    """Cuts a body into whole events; holds back an unfinished one.

    A caller never gets part of an event, so that a stream which breaks
    can go on with the next whole one.
    """

    def __init__(self, event_limit: int) -> None:
        self._event_limit = event_limit
        self._rest = b""
        self.done = False
        """Whether the closing event was seen."""

    @property
    def has_rest(self) -> bool:
        """Whether an unfinished event is held back."""
        return bool(self._rest)

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Return the whole events and the number of tokens in them.

        :raises MalformedResponse: an event without end, or bytes after the
            closing event.
        """
        if self._rest:
            data = self._rest + data
            self._rest = b""
        # The common case by far: one event, whole.
        if (
            data.endswith(b"\n\n")
            and data.count(b"\n\n") == 1
            and data.startswith(_FIELD)
            and not self.done
            and _DONE not in data
        ):
            return data, 1
        return self._feed_slowly(data)

    def _feed_slowly(self, data: bytes) -> tuple[bytes, int]:
        # All three line ends that the format allows; a lone CR at the
        # end may be half of a CRLF.
        if b"\r" in data:
            held = b"\r" if data.endswith(b"\r") else b""
            data = data.removesuffix(b"\r")
            data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        else:
            held = b""
        end = data.rfind(b"\n\n") + 2
        if end == 1:
            end = 0
        whole, self._rest = data[:end], data[end:] + held
        if len(self._rest) > self._event_limit:
            raise MalformedResponse(
                f"an event exceeds {self._event_limit} bytes",
                "raise event_limit_kb in [serving], or report the target "
                "to its owner",
            )
        kept = []
        tokens = 0
        for event in whole.split(b"\n\n")[:-1]:
            event = event.lstrip(b"\n")
            if not event:
                continue
            if self.done:
                raise MalformedResponse(
                    "events follow the closing one",
                    "report the target to its owner",
                )
            kept.append(event + b"\n\n")
            if not _carries_data(event):
                continue
            if event.removeprefix(_FIELD).strip() == _DONE:
                self.done = True
            else:
                tokens += 1
        return b"".join(kept), tokens


def _carries_data(event: bytes) -> bool:
    return event.startswith(_FIELD) or b"\ndata:" in event
