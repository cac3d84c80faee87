"""What a stand-in engine answers, as a function of the request body."""

from collections.abc import Iterator
from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 64
CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK
DEFAULT_OUTPUT_TOKENS = 16


def hash_text(text: str) -> str:
    """Return a short hash of a text in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(text.encode())


def get_prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a chat or completions body as one text."""
    if "messages" in body:
        return "".join(
            f"{message['role']}\n{message['content']}\n"
            for message in body["messages"]
        )
    return str(body.get("prompt", ""))


def count_prompt_tokens(body: dict[str, Any]) -> int:
    """Return the length of the prompt in tokens."""
    return -(-len(get_prompt_text(body)) // CHARACTERS_PER_TOKEN)


def hash_prompt_blocks(body: dict[str, Any]) -> Iterator[str]:
    """Yield the chained hashes of the prompt's whole blocks."""
    model = str(body.get("model", "")).partition("@")[0]
    text = get_prompt_text(body)
    chain = model
    for end in range(
        CHARACTERS_PER_BLOCK, len(text) + 1, CHARACTERS_PER_BLOCK
    ):
        block = text[end - CHARACTERS_PER_BLOCK : end]
        chain = hash_text(chain + block)
        yield chain


def generate_expected_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens that every engine generates for a body.

    They depend on the model without its version and on the prompt, so
    that another request's tokens, a gap or a repetition show.
    """
    model = str(body.get("model", "")).partition("@")[0]
    digest = hash_text(f"{model}\0{get_prompt_text(body)}")[:8]
    length = body.get("max_tokens") or DEFAULT_OUTPUT_TOKENS
    return [f" {digest}-{index}" for index in range(length)]
