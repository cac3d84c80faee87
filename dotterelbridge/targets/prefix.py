"""Hashes of a prompt's leading blocks, as engines name them in events.

A block is 256 characters; its hash covers the model's name and all text
before it, so that equal hashes mean equal prefixes.
"""

from collections.abc import Iterator

import msgspec
import xxhash

BLOCK_CHARACTERS = 256
BLOCKS_LIMIT = 64
"""Blocks that are looked at; what follows hardly changes a choice."""


class _Message(msgspec.Struct):
    role: str
    content: str


class _Prompt(msgspec.Struct):
    messages: list[_Message] | None = None
    prompt: str | None = None


_decode = msgspec.json.Decoder(_Prompt).decode


def list_prompt_blocks(model: str, body: bytes) -> tuple[str, ...]:
    """Return the hashes of an inference body's whole leading blocks.

    Prompts that aren't plain text have none.
    """
    try:
        prompt = _decode(body)
    except msgspec.MsgspecError:
        return ()
    return tuple(_hash_blocks(model, _join_text(prompt)))


def _join_text(prompt: _Prompt) -> str:
    if prompt.messages is None:
        return prompt.prompt or ""
    return "".join(f"{m.role}\n{m.content}\n" for m in prompt.messages)


def _hash_blocks(model: str, text: str) -> Iterator[str]:
    chain = model
    last = min(len(text), BLOCK_CHARACTERS * BLOCKS_LIMIT)
    for end in range(BLOCK_CHARACTERS, last + 1, BLOCK_CHARACTERS):
        block = text[end - BLOCK_CHARACTERS : end]
        chain = xxhash.xxh3_64_hexdigest((chain + block).encode())
        yield chain
