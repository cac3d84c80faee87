"""Boundaries and ids of server-sent events, for streams that may resume."""

_ID_FIELD = b"id:"


class EventTracker:
    """Hands on whole events and remembers the id of the last one."""

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events; holds back an unfinished one."""
        data = self._rest + data
        end = data.rfind(b"\n\n") + 2
        if end == 1:
            self._rest = data
            return b""
        whole, self._rest = data[:end], data[end:]
        self._note_last_id(whole)
        return whole

    def drop_rest(self) -> None:
        """Forget an unfinished event: it comes again when resumed."""
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether an unfinished event is held back."""
        return bool(self._rest)

    def _note_last_id(self, whole: bytes) -> None:
        position = whole.rfind(b"\n" + _ID_FIELD)
        if position >= 0:
            line = whole[position + 1 :]
        elif whole.startswith(_ID_FIELD):
            line = whole
        else:
            return
        value = line.partition(b"\n")[0][len(_ID_FIELD) :]
        self.last_id = value.strip()
