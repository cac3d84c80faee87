"""Deterministic tokens and cache blocks derived from a request body."""

from collections.abc import Iterator
from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 64
CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK
DEFAULT_OUTPUT_TOKEN_COUNT = 16


def hash_text(text: str) -> str:
    """Return the 64-bit XXH3 hash of a text in hexadecimal."""
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
    """Return the number of tokens in the prompt, rounded up."""
    return -(-len(get_prompt_text(body)) // CHARACTERS_PER_TOKEN)


def hash_prompt_blocks(body: dict[str, Any]) -> Iterator[str]:
    """Yield the chained hash of each complete block of the prompt."""
    model = str(body.get("model", "")).partition("@")[0]
    text = get_prompt_text(body)
    chained_hash = model
    for end in range(
        CHARACTERS_PER_BLOCK, len(text) + 1, CHARACTERS_PER_BLOCK
    ):
        block = text[end - CHARACTERS_PER_BLOCK : end]
        chained_hash = hash_text(chained_hash + block)
        yield chained_hash


def generate_expected_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens that every engine generates for a body.

    They depend on the prompt and the model without its version. Tokens
    of another request, gaps and repetitions are therefore detectable.
    """
    model = str(body.get("model", "")).partition("@")[0]
    digest = hash_text(f"{model}\0{get_prompt_text(body)}")[:8]
    token_count = body.get("max_tokens") or DEFAULT_OUTPUT_TOKEN_COUNT
    return [f" {digest}-{index}" for index in range(token_count)]
