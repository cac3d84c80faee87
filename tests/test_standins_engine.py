"""The stand-in engine speaks the protocol and judges truthfully."""

import contextlib
import json
import select
import subprocess
import sys
import threading
import time

import httpx
import pytest

from standins.tokens import generate_expected_tokens
from standins.tokens import hash_prompt_blocks

START_TIMEOUT_S = 30
POLL_TIMEOUT_S = 30
ITEM = {"kind": "model", "name": "m", "version": "2", "memory_mb": 600}


@contextlib.contextmanager
def start_standin(module, *options):
    process = subprocess.Popen(
        [sys.executable, "-m", module, "--port=0", *options],
        stdout=subprocess.PIPE,
    )
    try:
        readable, _, _ = select.select(
            [process.stdout], [], [], START_TIMEOUT_S
        )
        assert readable, "the stand-in did not start"
        port = int(process.stdout.readline().split()[1])
        with httpx.Client(
            base_url=f"http://127.0.0.1:{port}", timeout=POLL_TIMEOUT_S
        ) as client:
            yield client
        process.terminate()
        assert process.wait(START_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def start_engine(*options):
    return start_standin(
        "standins.engine",
        "--memory-mb=1000",
        "--kv-reserved-mb=100",
        "--items=m@1:model:500",
        "--token-ms=2",
        "--load-ms=20",
        *options,
    )


@pytest.fixture
def engine():
    with start_engine() as client:
        yield client


def chat(**fields):
    body = {"model": "m", "messages": [{"role": "user", "content": "hello"}]}
    return {**body, "stream": True, "max_tokens": 6, "user": "u1", **fields}


def read_tokens(answer):
    lines = [line.removeprefix("data: ") for line in answer.text.split("\n\n")]
    assert lines[-2:] == ["[DONE]", ""]
    return [
        json.loads(line)["choices"][0]["delta"]["content"]
        for line in lines[:-2]
    ]


def send_order(engine, order_id, fencing, action="load", item=ITEM):
    order = {
        "order_id": order_id,
        "fencing_number": fencing,
        "action": action,
        "item": item,
    }
    return engine.post("/orders", json=order)


def read_truth(engine):
    return engine.get("/standin/truth").json()


def wait_settled(engine, order_id):
    until = time.monotonic() + POLL_TIMEOUT_S
    while order_id not in engine.get("/inventory").json()["settled_orders"]:
        assert time.monotonic() < until, f"{order_id} did not settle"
        time.sleep(0.01)


def test_stream_has_the_expected_tokens_and_echoes_the_id(engine):
    answer = engine.post(
        "/v1/chat/completions", json=chat(), headers={"X-Request-Id": "a"}
    )
    assert answer.headers["x-request-id"] == "a"
    assert read_tokens(answer) == generate_expected_tokens(chat())
    assert read_truth(engine)["runs"] == {"u1": 1}


def test_resume_leaves_out_the_delivered_tokens(engine):
    answer = engine.post(
        "/v1/chat/completions", json=chat(), headers={"X-Resume-Offset": "4"}
    )
    assert read_tokens(answer) == generate_expected_tokens(chat())[4:]


def test_tokens_depend_on_prompt_and_model_but_not_on_version():
    assert generate_expected_tokens(
        chat(model="m@1")
    ) == generate_expected_tokens(chat())
    assert generate_expected_tokens(
        chat(model="n")
    ) != generate_expected_tokens(chat())
    other = chat(messages=[{"role": "user", "content": "x"}])
    assert generate_expected_tokens(other) != generate_expected_tokens(chat())


def test_prompts_with_one_prefix_share_its_blocks():
    first, second = (
        list(
            hash_prompt_blocks({"model": "m", "prompt": "p" * 600 + end * 300})
        )
        for end in "ab"
    )
    assert first[:2] == second[:2]
    assert first[2] != second[2]


def test_model_that_is_not_ready_does_not_run(engine):
    answer = engine.post("/v1/chat/completions", json=chat(model="absent"))
    assert answer.status_code == 404
    assert answer.json()["error"]["type"] == "model_not_ready"
    assert read_truth(engine)["runs"] == {}


def test_load_beyond_memory_is_accepted_and_counted(engine):
    assert send_order(engine, "o1", 1).json()["status"] == "accepted"
    truth = read_truth(engine)
    assert truth["over_commits"] == 1
    assert truth["peak_mb"] == 1200


def test_swap_in_order_does_not_over_commit(engine):
    old = {"kind": "model", "name": "m", "version": "1", "memory_mb": 500}
    send_order(engine, "o1", 1, "unload", old)
    wait_settled(engine, "o1")
    send_order(engine, "o2", 1)
    wait_settled(engine, "o2")
    assert engine.get("/v1/models").json()["data"][0]["id"] == "m@2"
    assert read_truth(engine)["over_commits"] == 0


def test_repeated_order_is_a_duplicate(engine):
    send_order(engine, "o1", 1)
    assert send_order(engine, "o1", 1).json()["status"] == "duplicate"
    assert read_truth(engine)["counts"]["load"] == 1


def test_enforcing_engine_refuses_an_old_fencing_number(engine):
    send_order(engine, "o1", 5)
    answer = send_order(engine, "o2", 4, "unload")
    assert answer.status_code == 409
    assert answer.json()["fencing_number"] == 5


def test_ignoring_engine_accepts_an_old_fencing_number():
    with start_engine("--fencing=ignored") as engine:
        send_order(engine, "o1", 5)
        answer = send_order(engine, "o2", 4, "unload")
        assert answer.json()["status"] == "accepted"


def test_lost_order_has_no_effect_and_a_late_one_has(engine):
    engine.post("/standin/faults", json={"lose_orders": 1})
    with pytest.raises(httpx.TransportError):
        send_order(engine, "o1", 1)
    engine.post("/standin/faults", json={"delay_order_ms": 30})
    with pytest.raises(httpx.TransportError):
        send_order(engine, "o2", 1)
    wait_settled(engine, "o2")
    assert read_truth(engine)["counts"] == {"load": 1}


def test_unload_cuts_running_streams_and_says_so(engine):
    old = {"kind": "model", "name": "m", "version": "1", "memory_mb": 500}
    started = threading.Event()

    def unload():
        started.wait(POLL_TIMEOUT_S)
        send_order(engine, "o1", 1, "unload", old)

    helper = threading.Thread(target=unload)
    helper.start()
    with (
        pytest.raises(httpx.RemoteProtocolError),
        httpx.stream(
            "POST",
            f"{engine.base_url}/v1/chat/completions",
            json=chat(max_tokens=100_000),
        ) as answer,
    ):
        for _ in answer.iter_lines():
            started.set()
    helper.join()
    assert read_truth(engine)["counts"]["streams_cut_by_unload"] == 1


def test_crossed_answer_shows_another_id_and_content(engine):
    engine.post("/standin/faults", json={"crossed": True})
    answer = engine.post(
        "/v1/chat/completions", json=chat(), headers={"X-Request-Id": "a"}
    )
    assert answer.headers["x-request-id"] != "a"


@pytest.mark.parametrize(
    "place", ["before_headers", "during_headers", "mid_stream"]
)
def test_reset_breaks_one_exchange(engine, place):
    engine.post("/standin/faults", json={"reset": place, "resets": 1})
    with pytest.raises(httpx.TransportError):
        engine.post("/v1/chat/completions", json=chat())
    answer = engine.post("/v1/chat/completions", json=chat())
    assert read_tokens(answer) == generate_expected_tokens(chat())


def test_leaving_engine_takes_no_work_and_times_the_offer(engine):
    engine.post("/standin/faults", json={"leaving": True})
    answer = engine.post("/v1/chat/completions", json=chat())
    assert answer.json()["error"]["type"] == "leaving"
    assert engine.get("/inventory").json()["leaving"]
    assert read_truth(engine)["latest_offer_after_leaving_s"] > 0


def test_closing_the_connection_cancels_the_run(engine):
    with httpx.stream(
        "POST",
        f"{engine.base_url}/v1/chat/completions",
        json=chat(max_tokens=100_000),
    ) as answer:
        next(answer.iter_lines())
    until = time.monotonic() + POLL_TIMEOUT_S
    while "cut_or_cancelled" not in read_truth(engine)["counts"]:
        assert time.monotonic() < until, "the run went on"
        time.sleep(0.01)


def test_service_counts_runs_by_key(tmp_path):
    truth = tmp_path / "truth"
    options = ["--delay-ms=1", f"--truth-file={truth}"]
    with start_standin("standins.service", *options) as service:
        for _ in range(2):
            service.post(
                "/book",
                json={"marker": "b1"},
                headers={"Idempotency-Key": "k"},
            )
        assert read_truth(service)["keys"] == {"k": 2}
    assert len(truth.read_text().splitlines()) == 2
