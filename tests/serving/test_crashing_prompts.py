"""Prompts that end each engine, on the product's own listener."""

import anyio

from tests.serving.fakes import FakeTarget
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import wait_until
from tests.serving.test_callers import create_client

CHAT_PATH = "/v1/chat/completions"
CRASHING_TEXT = "bad text"
ENGINE_NAMES = ("e0", "e1", "e2")
RESTART_S = 0.1
REQUEST_COUNT = 20
CRASHES_ALLOWED = 8
"""Five, and three requests more."""


def create_chat(number: int, text: str) -> dict:
    content = f"{text}, and then question {number}"
    return {
        "model": "quote",
        "messages": [
            {"role": "system", "content": "You draft quotes."},
            {"role": "user", "content": content},
        ],
    }


# Guards against one kind of request ending one engine after the other.
@run_async
async def test_prompts_that_end_engines_are_soon_sent_no_more():
    rows = (model_row(idempotent=False, deadline_ms=2000),)
    crash_count = 0
    async with (
        run_serving(rows) as harness,
        create_client(harness) as client,
        anyio.create_task_group() as tasks,
    ):

        async def restart(target: FakeTarget) -> None:
            await anyio.sleep(RESTART_S)
            await target.start()

        async def serve(received) -> None:
            nonlocal crash_count
            if CRASHING_TEXT.encode() not in received.body:
                await received.answer(b"{}")
                return
            crash_count += 1
            port = received.writer.get_extra_info("sockname")[1]
            target = next(
                t for t in harness.targets.values() if t.port == port
            )
            await target.stop()
            received.reset()
            tasks.start_soon(restart, target)

        for name in ENGINE_NAMES:
            await harness.add_engine(name, serve)
        for number in range(REQUEST_COUNT):
            chat = create_chat(number, CRASHING_TEXT)
            await client.post(CHAT_PATH, json=chat)
        sound = []

        async def send_sound() -> None:
            chat = create_chat(REQUEST_COUNT, "sound text")
            sound.append((await client.post(CHAT_PATH, json=chat)).status_code)

        tasks.start_soon(send_sound)
        await wait_until(lambda: sound)
    assert sound == [200]
    assert crash_count <= CRASHES_ALLOWED
