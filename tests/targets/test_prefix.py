"""Hashes of prompt blocks and their way through the cache events."""

import json

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import CacheEventKind
from dotterelbridge.targets.prefix import BLOCKS_LIMIT
from dotterelbridge.targets.prefix import list_prompt_blocks
from standins import tokens
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import wait_until
from tests.serving.test_callers import CHAT
from tests.serving.test_callers import create_client


def chat(text: str) -> dict:
    return {
        "model": "quote",
        "messages": [
            {"role": "system", "content": "Draft a quote. " * 40},
            {"role": "user", "content": text},
        ],
    }


def test_blocks_are_those_that_engines_report():
    for body in (chat("walk-in shower " * 50), {"prompt": "è" * 700}):
        expected = list(tokens.prompt_blocks(body | {"model": "quote"}))
        encoded = json.dumps(body).encode()
        assert list(list_prompt_blocks("quote", encoded)) == expected
        assert expected


def test_equal_prefixes_share_blocks_and_models_share_none():
    first = list_prompt_blocks("quote", json.dumps(chat("a" * 600)).encode())
    other = list_prompt_blocks("quote", json.dumps(chat("b" * 600)).encode())
    assert first[:2] == other[:2]
    assert first[-1] != other[-1]
    model = list_prompt_blocks("reply", json.dumps(chat("a" * 600)).encode())
    assert not set(first) & set(model)


def test_prompts_without_plain_text_have_no_blocks():
    image = {"messages": [{"role": "user", "content": [{"type": "image"}]}]}
    assert list_prompt_blocks("quote", json.dumps(image).encode()) == ()
    assert list_prompt_blocks("quote", b"[]") == ()
    assert list_prompt_blocks("quote", b"not json") == ()
    long = json.dumps({"prompt": "x" * 1_000_000}).encode()
    assert len(list_prompt_blocks("quote", long)) == BLOCKS_LIMIT


@run_async
async def test_cache_events_are_read_from_the_engines():
    event = CacheEvent(
        sequence=4,
        kind=CacheEventKind.STORED,
        model=ItemName("quote@1"),
        block="b1",
    )

    def list_events(received):
        fresh = received.path == "/cache-events?after=0"
        return msgspec.json.encode([event] if fresh else [])

    async with run_serving() as world:
        engine = await world.add_engine("e1", None)
        engine.cache_events = list_events
        await wait_until(lambda: len(world.router.cache) == 1)
        polled = len(engine.polls)
        await wait_until(lambda: len(engine.polls) > polled)
        assert engine.polls[-1] == "/cache-events?after=4"
        held = world.router.cache.estimate_cached_share(
            TargetId("e1"), ItemName("quote"), ("b1",), world.clock.monotonic()
        )
        assert held == 1.0


@run_async
async def test_prompt_that_was_sent_counts_as_held():
    async def answer(received):
        await received.answer(b"[]")

    async with run_serving() as world, create_client(world) as client:
        await world.add_engine("e1", answer)
        await client.post(CHAT, json=chat("bath " * 100))
        assert len(world.router.cache) > 0
