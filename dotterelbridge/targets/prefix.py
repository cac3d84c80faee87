"""Hashes of the leading blocks of a prompt, as in engines' cache events.

A block has 256 characters. Its hash covers the model's name and all text up
to the block's end, so equal hashes mean equal prefixes.
"""

from collections.abc import Iterator
import itertools

import msgspec
import xxhash

from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.json_documents import decode_document

BLOCK_SIZE_CHARACTERS = 256
_SHORTEST_PREFIX = 32
"""Length in characters of the shortest prefix that is hashed."""
_PREFIX_COUNT = 10
MAX_BLOCK_COUNT = 64
"""Blocks that are hashed; more hardly affect the choice of a target."""


class _Message(msgspec.Struct):
    role: str
    content: str


class _Prompt(msgspec.Struct):
    messages: list[_Message] | None = None
    prompt: str | None = None


def list_prompt_blocks(model: str, body: bytes) -> tuple[str, ...]:
    """Return the hashes of the complete blocks of an inference request.

    Prompts that are not plain text have none.
    """
    try:
        prompt = decode_document(body, _Prompt)
    except DocumentMalformed:
        return ()
    return tuple(_hash_blocks(model, _join_text(prompt)))


def list_prompt_prefixes(model: str, body: bytes) -> tuple[str, ...]:
    """Return hashes of the prompt's prefixes of doubling lengths.

    Prompts that begin with the same template have the short ones in common.
    """
    try:
        prompt = decode_document(body, _Prompt)
    except DocumentMalformed:
        return ()
    text = _join_text(prompt)
    lengths = itertools.takewhile(
        lambda length: length <= len(text),
        (_SHORTEST_PREFIX * 2**n for n in range(_PREFIX_COUNT)),
    )
    return tuple(
        xxhash.xxh3_64_hexdigest(f"{model}\n{text[:length]}".encode())
        for length in lengths
    )


def _join_text(prompt: _Prompt) -> str:
    if prompt.messages is None:
        return prompt.prompt or ""
    return "".join(f"{m.role}\n{m.content}\n" for m in prompt.messages)


def _hash_blocks(model: str, text: str) -> Iterator[str]:
    chain_hash = model
    text_end = min(len(text), BLOCK_SIZE_CHARACTERS * MAX_BLOCK_COUNT)
    for end in range(
        BLOCK_SIZE_CHARACTERS, text_end + 1, BLOCK_SIZE_CHARACTERS
    ):
        block = text[end - BLOCK_SIZE_CHARACTERS : end]
        chain_hash = xxhash.xxh3_64_hexdigest((chain_hash + block).encode())
        yield chain_hash
