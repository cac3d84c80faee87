"""Reads a caller's request from ASGI and validates it."""

from datetime import timedelta
import hashlib
import uuid

import anyio
import msgspec

from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import Priority
from dotterelbridge.ids import RequestId
from dotterelbridge.json_documents import decode_document
from dotterelbridge.serving.errors import CallerDisconnected
from dotterelbridge.serving.errors import RequestMalformed
from dotterelbridge.serving.errors import RequestTooLarge
from dotterelbridge.teams.model import Team

PRIORITY_HEADER = b"dotterelbridge-priority"
DEADLINE_HEADER = b"dotterelbridge-deadline"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
_KEY_LENGTH_LIMIT = 255
_MERGED_PIECE_BYTES = 32768
_DEADLINE_LIMIT_MS = 24 * 60 * 60 * 1000
_DEADLINE_DIGITS_LIMIT = 20


class CallerRequest(msgspec.Struct, kw_only=True):
    """A complete request with its validated headers."""

    request_id: RequestId
    method: str
    path: str
    query: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    priority: Priority | None = None
    deadline: timedelta | None = None
    key: IdempotencyKey | None = None
    team: Team | None = None
    """The team whose key the caller sent; None without teams."""

    @property
    def credentials(self) -> bytes:
        """Value of the Authorization header; empty without one."""
        return dict(self.headers).get(b"authorization", b"")

    def digest(self) -> str:
        """Return the hash by which an idempotency key is bound to it."""
        digest = hashlib.sha256()
        for part in (
            self.method.encode(),
            self.path.encode(),
            self.query,
            self.body,
        ):
            digest.update(b"%d:" % len(part))
            digest.update(part)
        return digest.hexdigest()


class _InferenceFields(msgspec.Struct):
    """The fields of an inference body that are used for routing."""

    model: str
    stream: bool = False


class InferenceBody(msgspec.Struct, frozen=True, kw_only=True):
    """Parsed body of an inference request."""

    model: str
    version: str | None
    stream: bool
    fields: dict[str, msgspec.Raw]

    def encode_for(self, model: str) -> bytes:
        """Return the body with ``model`` in place of the requested one."""
        fields = self.fields | {"model": msgspec.Raw(_encode(model))}
        return _encode(fields)


_encode = msgspec.json.Encoder().encode


async def read_request(
    scope, receive, body_limit: int, timeout: timedelta
) -> CallerRequest:
    """Read and validate a request.

    :param body_limit: maximum size of the body in bytes.
    :raises RequestRefused: it is malformed or too large.
    :raises CallerDisconnected: the caller disconnected.
    """
    headers = scope["headers"]
    values = dict(headers)
    request = CallerRequest(
        request_id=RequestId(uuid.uuid4().hex),
        method=scope["method"],
        path=scope["raw_path"].partition(b"?")[0].decode("ascii", "replace"),
        query=scope["query_string"],
        headers=headers,
        body=b"",
        priority=_parse_priority(values.get(PRIORITY_HEADER)),
        deadline=_parse_deadline(values.get(DEADLINE_HEADER)),
        key=_parse_key(values.get(IDEMPOTENCY_KEY_HEADER)),
    )
    try:
        with anyio.fail_after(timeout.total_seconds()):
            request.body = await read_body(receive, body_limit)
    except TimeoutError:
        raise RequestMalformed(
            "the body did not arrive in time",
            "send it faster, or in several requests",
        ) from None
    return request


def parse_inference(body: bytes) -> InferenceBody:
    """Parse the body of an inference request.

    :raises RequestMalformed: it is not a JSON object with a model.
    """
    try:
        requested = decode_document(body, _InferenceFields)
        fields = decode_document(body, dict[str, msgspec.Raw])
    except DocumentMalformed as error:
        raise RequestMalformed(
            f"the body is not a valid inference request ({error.problem})",
            'send a JSON object with a "model"',
        ) from None
    model, _, version = requested.model.partition("@")
    return InferenceBody(
        model=model,
        version=version or None,
        stream=requested.stream,
        fields=fields,
    )


async def read_body(receive, limit: int) -> bytes:
    """Return a complete request body.

    :param limit: maximum size in bytes.
    :raises RequestTooLarge: it exceeds the limit.
    :raises CallerDisconnected: the caller disconnected.
    """
    # Small pieces are merged, as each piece costs more than its bytes; one
    # buffer for all would be copied again and again as it grows.
    pieces = [bytearray()]
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        piece = message.get("body", b"")
        size += len(piece)
        if size > limit:
            raise RequestTooLarge(
                f"the body exceeds {limit} bytes",
                "send less, or have body_limit_kb in [serving] raised",
            )
        if len(pieces[-1]) >= _MERGED_PIECE_BYTES:
            pieces.append(bytearray())
        pieces[-1] += piece
        if not message.get("more_body", False):
            return b"".join(pieces)


def _parse_priority(value: bytes | None) -> Priority | None:
    if value is None:
        return None
    try:
        return Priority(value.decode("ascii", "replace").strip().lower())
    except ValueError:
        raise RequestMalformed(
            "Dotterelbridge-Priority is not a known priority",
            "send urgent, normal or background",
        ) from None


def _parse_deadline(value: bytes | None) -> timedelta | None:
    if value is None:
        return None
    text = value.decode("ascii", "replace").strip()
    # int() raises an error for thousands of digits.
    is_short = len(text) <= _DEADLINE_DIGITS_LIMIT
    milliseconds = int(text) if is_short and text.isdecimal() else 0
    if not 0 < milliseconds <= _DEADLINE_LIMIT_MS:
        raise RequestMalformed(
            "Dotterelbridge-Deadline is not a valid number of milliseconds",
            f"send a whole number from 1 to {_DEADLINE_LIMIT_MS}",
        )
    return timedelta(milliseconds=milliseconds)


def _parse_key(value: bytes | None) -> IdempotencyKey | None:
    if value is None:
        return None
    text = value.decode("ascii", "replace").strip()
    if not 0 < len(text) <= _KEY_LENGTH_LIMIT:
        raise RequestMalformed(
            "Idempotency-Key is empty or too long",
            f"send 1 to {_KEY_LENGTH_LIMIT} characters",
        )
    return IdempotencyKey(text)
