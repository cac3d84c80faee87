"""Reads a caller's request from ASGI."""

from datetime import timedelta

import anyio
import msgspec
import xxhash

from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.ids import PartId
from dotterelbridge.ids import RequestId
from dotterelbridge.serving.errors import RequestMalformed
from dotterelbridge.serving.request import read_body

_MAX_NUMBER_DIGITS = 12
"""Longest number that is accepted in a header."""
_MAX_RESUMED_ID_LENGTH = 255
"""Longest ID of an earlier request that is looked up."""


class PromptPart(msgspec.Struct, frozen=True):
    """Part of a prompt that several requests may share."""

    part_id: PartId
    tokens: int


class GatewayRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A complete request, with the values of its headers."""

    request_id: RequestId
    method: str
    target: str
    """Request target: path and query string as received."""
    path: str
    host: str
    headers: list[tuple[bytes, bytes]]
    """Headers that are forwarded to a target."""
    body: bytes
    deadline_ms: int | None
    model: str = ""
    adapter: str = ""
    tokens_in: int = 0
    tokens_out: int = 0
    """Maximum; 0 if unknown."""
    length_hint: int = 0
    """Tokens of the response as the caller guesses them; 0 if unknown."""
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: bytes | None = None
    resumed_request: RequestId | None = None
    """The caller's request that got the first event of the stream which it
    wants to go on; None if it names none."""

    @property
    def shared_parts(self) -> tuple[PartId, ...]:
        """IDs of the parts that other requests may have in common with it.

        The last part is the request's own, or its session's.
        """
        return tuple(part.part_id for part in self.prompt_parts[:-1])

    def compute_digest(self) -> str:
        """Return a hash of method, host, target and body.

        Equal for requests that a caller has sent again, under a new ID.
        """
        digest = xxhash.xxh3_64()
        for field in (self.method, self.host, self.target):
            digest.update(field.encode("latin-1", "replace") + b"\0")
        digest.update(self.body)
        return digest.hexdigest()


async def read_gateway_request(
    scope,
    receive,
    header_names: HeaderNames,
    body_limit_bytes: int,
    timeout: timedelta,
) -> GatewayRequest:
    """Read a request with its body.

    :raises RequestRefused: it is malformed or too large.
    :raises CallerDisconnected: the body did not arrive completely.
    """
    try:
        with anyio.fail_after(timeout.total_seconds()):
            body = await read_body(receive, body_limit_bytes)
    except TimeoutError:
        raise RequestMalformed(
            "the body did not arrive in time",
            "send it faster, or split it into several requests",
        ) from None
    return create_gateway_request(scope, header_names, body)


def create_gateway_request(
    scope, header_names: HeaderNames, body: bytes
) -> GatewayRequest:
    """Return the request that an ASGI scope and a body describe."""
    headers = scope["headers"]
    values = dict(headers)
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    model, _, adapter = _read_text(values, header_names.model).partition("/")
    tokens_in, tokens_out = _read_tokens(
        _read_text(values, header_names.tokens)
    )
    not_forwarded = header_names.not_forwarded | _list_connection_options(
        values
    )
    return GatewayRequest(
        request_id=RequestId(_read_text(values, header_names.request_id)),
        method=scope["method"],
        target=f"{path}?{query}" if query else path,
        path=path,
        host=_read_text(values, b"host"),
        headers=[(n, v) for n, v in headers if n not in not_forwarded],
        body=body,
        deadline_ms=_read_number(_read_text(values, header_names.deadline_ms)),
        model=model,
        adapter=adapter,
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        length_hint=_read_number(_read_text(values, header_names.length_hint))
        or 0,
        prompt_parts=_read_prompt_parts(
            _read_text(values, header_names.prompt_parts)
        ),
        last_event_id=values.get(header_names.last_event_id),
        resumed_request=_read_resumed_request(headers, header_names.resumes),
    )


def _list_connection_options(values: dict[bytes, bytes]) -> set[bytes]:
    options = values.get(b"connection", b"").split(b",")
    return {option.strip().lower() for option in options}


def _read_text(values: dict[bytes, bytes], name: bytes) -> str:
    return values.get(name, b"").decode("latin-1").strip()


def _read_resumed_request(
    headers: list[tuple[bytes, bytes]], name: bytes
) -> RequestId | None:
    """Return the only ID that is named, or None if it cannot be one."""
    ids = [value.strip() for key, value in headers if key == name]
    if len(ids) != 1 or not 0 < len(ids[0]) <= _MAX_RESUMED_ID_LENGTH:
        return None
    text = ids[0].decode("latin-1")
    is_token = text.isascii() and text.isprintable() and " " not in text
    return RequestId(text) if is_token else None


def _read_number(text: str) -> int | None:
    """Return the integer part of a number, or None if it is not one."""
    whole = text.partition(".")[0]
    if not whole.isdecimal() or len(whole) > _MAX_NUMBER_DIGITS:
        return None
    return int(whole)


def _read_tokens(text: str) -> tuple[int, int]:
    tokens_in, _, tokens_out = text.partition(",")
    return _read_number(tokens_in) or 0, _read_number(tokens_out.strip()) or 0


def _read_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(",") if text else ():
        part_id, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(PartId(part_id), _read_number(tokens) or 0))
    return tuple(parts)
