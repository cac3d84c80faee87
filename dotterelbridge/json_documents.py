"""Decodes JSON documents that come from outside the deployment."""

from collections.abc import Iterator
import re
from typing import Any
from typing import TypeVar

import msgspec

from dotterelbridge.errors import DocumentMalformed

_T = TypeVar("_T")

_TOKEN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]|[,:]|[^"\[\]{},:]+', re.S
)
_OPENING = ("[", "{")
_CLOSING = ("]", "}")


def decode_document(data: bytes, document_type: type[_T] | Any = Any) -> _T:
    """Decode and validate a document.

    msgspec raises different errors for invalid JSON, text that is not UTF-8,
    and nesting deeper than the interpreter's stack; each is reported alike.

    :raises DocumentMalformed: the document is not valid.
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
        OverflowError,
    ) as error:
        raise DocumentMalformed(
            str(error), "send a valid JSON document"
        ) from None


def split_array(document: str, member: str) -> tuple[str, list[str]]:
    """Cut an array out of a JSON object without decoding its elements.

    One element that cannot be decoded then does not affect the others.

    :param member: name of the member of the object that holds the array.
    :returns: the document with the array empty, and its elements as text.
    :raises ValueError: the document has no such array, or its brackets do
        not match.
    """
    tokens = _iterate_tokens(document)
    array_start = element_start = _find_array(tokens, member)
    elements = []
    for depth, token in tokens:
        is_array_end = depth == 1
        if is_array_end or (depth == 2 and token[0] == ","):
            elements.append(document[element_start : token.start()].strip())
            element_start = token.end()
        if is_array_end:
            rest = document[token.start() :]
            return document[:array_start] + rest, list(filter(None, elements))
    raise ValueError(f"the array {member!r} does not end")


def _iterate_tokens(document: str) -> Iterator[tuple[int, re.Match[str]]]:
    """Yield each token with the number of brackets around it."""
    depth = 0
    for token in _TOKEN.finditer(document):
        if token[0] in _CLOSING:
            depth -= 1
        if depth < 0:
            break
        yield depth, token
        if token[0] in _OPENING:
            depth += 1
    if depth:
        raise ValueError("the brackets do not match")


def _find_array(
    tokens: Iterator[tuple[int, re.Match[str]]], member: str
) -> int:
    """Consume tokens up to the array's bracket; return the offset after it."""
    name = latest = ""
    for depth, token in tokens:
        if depth != 1:
            continue
        if token[0] == ":":
            name = latest
        elif token[0] == "[" and name == f'"{member}"':
            return token.end()
        elif token[0].strip():
            latest = token[0]
    raise ValueError(f"the document has no array {member!r}")
