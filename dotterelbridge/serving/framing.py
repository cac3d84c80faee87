"""Finds the parts of HTTP/1.1 requests in the bytes that arrive.

The parser, httptools, gives no callback within a line, a chunk extension or
the trailers, and it accepts some ambiguous messages. So this module counts
and checks each part before the parser gets it, and keeps a part that is
incomplete as bytes, which cost far less than parsed header lines.
"""

import enum
import re

from dotterelbridge.serving.refusals import RefusalKind

EMPTY_LINES_LIMIT = 8
"""Empty lines before a request. RFC 9112 asks to ignore at least one."""
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
_VALUE = rb"[\t\x20-\x7e\x80-\xff]"
_FIELD_LINES = rb"(?:" + _TOKEN + rb"++:" + _VALUE + rb"*+\r\n)*+"
_match_request_line = re.compile(
    _TOKEN + rb"++ [\x21-\x7e\x80-\xff]++ HTTP/1\.[01]\r\n"
).match
_match_trailers = re.compile(_FIELD_LINES + rb"\r\n").fullmatch
_match_chunk_line = re.compile(
    rb"([0-9A-Fa-f]{1,15})([ \t]*+(?:;" + _VALUE + rb"*+)?)\r\n"
).fullmatch
_find_bare_line_end = re.compile(rb"(?<!\r)\n|\r[^\n]").search
_LINE_END = b"\r\n"
_FIELDS_END = b"\r\n\r\n"


class FramingError(Exception):
    """A part of a message is malformed or exceeds its limit."""

    def __init__(self, status: int, kind: RefusalKind, problem: str) -> None:
        super().__init__(problem)
        self.status = status
        self.kind = kind
        self.problem = problem


class _Part(enum.Enum):
    HEAD = enum.auto()
    BODY = enum.auto()
    CHUNK_LINE = enum.auto()
    CHUNK = enum.auto()
    CHUNK_END = enum.auto()
    TRAILERS = enum.auto()


# Globals are found faster than members of an enum.
_HEAD = _Part.HEAD
_BODY = _Part.BODY
_CHUNK_LINE = _Part.CHUNK_LINE
_CHUNK = _Part.CHUNK
_CHUNK_END = _Part.CHUNK_END
_TRAILERS = _Part.TRAILERS


class MessageFramer:
    """Splits the bytes of one connection into the parts of its messages."""

    def __init__(self) -> None:
        self._part = _HEAD
        self._data = b""
        self._searched = 0
        """Where the search for the end of the part continues."""
        self._remaining = 0
        """Bytes that are missing in the body or chunk."""
        self._empty_lines = 0
        self.head_bytes = 0
        """Size of the last head."""
        self._extension_bytes = 0
        """Size of the chunk extensions of the present message."""

    @property
    def held_bytes(self) -> int:
        """Size of the incomplete part that is kept."""
        return len(self._data)

    @property
    def is_between_messages(self) -> bool:
        """Whether the next part is a head."""
        return self._part is _HEAD

    def clear(self) -> None:
        """Release what is kept; the connection is about to close."""
        self._data = b""
        self._searched = 0

    def start_body(self, length: int | None) -> None:
        """Set the framing of the body behind the head just taken.

        :param length: its size; None for a body in chunks.
        """
        self._extension_bytes = 0
        if length is None:
            self._part = _CHUNK_LINE
        elif length:
            self._part = _BODY
            self._remaining = length

    def split(self, data: bytes, limit: int):
        """Yield each complete part; keep an incomplete one.

        ``start_body`` is called between the head and the next part.

        :param limit: maximum size of the head, of the trailers, and of the
            chunk extensions of one message.
        :raises FramingError: a part is malformed or too large.
        """
        if self._data:
            data = self._data + data
            self._data = b""
        offset = 0
        while offset < len(data):
            part = self._part
            if part is _BODY or part is _CHUNK:
                piece = data[offset : offset + self._remaining]
                self._remaining -= len(piece)
                if not self._remaining:
                    is_body = part is _BODY
                    self._part = _HEAD if is_body else _CHUNK_END
            else:
                if part is _HEAD:
                    offset = self._skip_empty_lines(data, offset)
                piece = self._find_part(data, offset, limit)
                if not piece:
                    self._data = data[offset:]
                    return
                self._read_part(piece, limit)
            offset += len(piece)
            yield piece

    def _skip_empty_lines(self, data: bytes, offset: int) -> int:
        while data.startswith(_LINE_END, offset):
            offset += 2
            self._searched = 0
            self._empty_lines += 1
            if self._empty_lines > EMPTY_LINES_LIMIT:
                raise FramingError(
                    400,
                    RefusalKind.EMPTY_LINES,
                    f"more than {EMPTY_LINES_LIMIT} empty lines precede the "
                    "request",
                )
        return offset

    def _find_part(self, data: bytes, offset: int, limit: int) -> bytes:
        """Return the part that begins at the offset; empty if incomplete."""
        part = self._part
        if part is _TRAILERS and data.startswith(_LINE_END, offset):
            return _LINE_END
        end = _LINE_END
        if part is _HEAD or part is _TRAILERS:
            end = _FIELDS_END
        elif part is _CHUNK_END:
            limit = len(_LINE_END)
        position = data.find(
            end, offset + self._searched, offset + limit + len(end)
        )
        if position >= 0 and position + len(end) - offset <= limit:
            self._searched = 0
            return data[offset : position + len(end)]
        size = len(data) - offset
        kept = min(size, limit)
        if _find_bare_line_end(
            data, offset + max(0, self._searched - 1), offset + kept
        ):
            raise _create_malformed("a line ends without CR LF")
        if size >= limit:
            raise self._create_too_large(limit)
        self._searched = max(0, size - len(end) + 1)
        return b""

    def _create_too_large(self, limit: int) -> FramingError:
        if self._part is _CHUNK_END:
            return _create_malformed("a chunk is longer than its size")
        name, kind = {
            _HEAD: ("head", RefusalKind.HEAD_TOO_LARGE),
            _TRAILERS: ("trailers", RefusalKind.TRAILERS_TOO_LARGE),
            _CHUNK_LINE: ("chunk extensions", RefusalKind.CHUNK_LINES),
        }[self._part]
        return FramingError(
            431, kind, f"the {name} of the request exceed {limit} bytes"
        )

    def _read_part(self, piece: bytes, limit: int) -> None:
        """Check a complete part, and set which one follows."""
        part = self._part
        if part is _HEAD:
            self._empty_lines = 0
            self.head_bytes = len(piece)
            # The parser accepts some odd request lines, but no odd fields.
            if not _match_request_line(piece):
                raise _create_malformed("the request line is not valid")
        elif part is _TRAILERS:
            if not _match_trailers(piece):
                raise _create_malformed("a trailer line is not valid")
            self._part = _HEAD
        elif part is _CHUNK_END:
            if piece != _LINE_END:
                raise _create_malformed("a chunk is longer than its size")
            self._part = _CHUNK_LINE
        else:
            self._read_chunk_line(piece, limit)

    def _read_chunk_line(self, line: bytes, limit: int) -> None:
        match = _match_chunk_line(line)
        if match is None:
            raise _create_malformed("a chunk size is not valid")
        self._extension_bytes += len(match[2])
        if self._extension_bytes > limit:
            raise self._create_too_large(limit)
        self._remaining = int(match[1], 16)
        self._part = _CHUNK if self._remaining else _TRAILERS


def _create_malformed(problem: str) -> FramingError:
    return FramingError(400, RefusalKind.MALFORMED, problem)
