"""Hashes of prompt blocks and the polling of cache events."""

import json

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import CacheEventKind
from dotterelbridge.targets.prefix import MAX_BLOCK_COUNT
from dotterelbridge.targets.prefix import list_prompt_blocks
from standins import tokens
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import wait_until
from tests.serving.test_callers import CHAT
from tests.serving.test_callers import create_client


def create_chat(text: str) -> dict:
    return {
        "model": "quote",
        "messages": [
            {"role": "system", "content": "Draft a quote. " * 40},
            {"role": "user", "content": text},
        ],
    }


def test_blocks_match_those_that_engines_report():
    for body in (create_chat("walk-in shower " * 50), {"prompt": "è" * 700}):
        expected = list(tokens.hash_prompt_blocks(body | {"model": "quote"}))
        encoded = json.dumps(body).encode()
        assert list(list_prompt_blocks("quote", encoded)) == expected
        assert expected


def test_equal_prefixes_share_blocks_but_models_do_not():
    first = list_prompt_blocks(
        "quote", json.dumps(create_chat("a" * 600)).encode()
    )
    other = list_prompt_blocks(
        "quote", json.dumps(create_chat("b" * 600)).encode()
    )
    assert first[:2] == other[:2]
    assert first[-1] != other[-1]
    model = list_prompt_blocks(
        "reply", json.dumps(create_chat("a" * 600)).encode()
    )
    assert not set(first) & set(model)


def test_prompts_without_plain_text_have_no_blocks():
    image = {"messages": [{"role": "user", "content": [{"type": "image"}]}]}
    assert list_prompt_blocks("quote", json.dumps(image).encode()) == ()
    assert list_prompt_blocks("quote", b"[]") == ()
    assert list_prompt_blocks("quote", b"not json") == ()
    long = json.dumps({"prompt": "x" * 1_000_000}).encode()
    assert len(list_prompt_blocks("quote", long)) == MAX_BLOCK_COUNT


@run_async
async def test_cache_events_are_polled_from_engines():
    event = CacheEvent(
        sequence=4,
        kind=CacheEventKind.STORED,
        model=ItemName("quote@1"),
        block="b1",
    )

    def list_events(received):
        is_first_poll = received.path == "/cache-events?after=0"
        return msgspec.json.encode([event] if is_first_poll else [])

    async with run_serving() as harness:
        engine = await harness.add_engine("e1", None)
        engine.cache_events = list_events
        await wait_until(lambda: len(harness.router.cache) == 1)
        poll_count = len(engine.polls)
        await wait_until(lambda: len(engine.polls) > poll_count)
        assert engine.polls[-1] == "/cache-events?after=4"
        cached_share = harness.router.cache.estimate_cached_share(
            TargetId("e1"),
            ItemName("quote"),
            ("b1",),
            harness.clock.monotonic(),
        )
        assert cached_share == 1.0


@run_async
async def test_sent_prompt_counts_as_cached():
    async def respond(received):
        await received.answer(b"[]")

    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", respond)
        await client.post(CHAT, json=create_chat("bath " * 100))
        assert len(harness.router.cache) > 0
