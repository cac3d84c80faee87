"""Steps of features/path.feature, with real processes on loopback."""

import concurrent.futures
import json
import pathlib
import signal
import tempfile
import threading
import time

import httpx
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from dotterelbridge.cli.exit_status import ExitStatus
from standins.demo import Demo
from standins.tokens import generate_expected_tokens

scenarios("features/path.feature")

WAIT_TIMEOUT_S = 30
STREAM_TOKENS = 40


@pytest.fixture(scope="module")
def shared_demo():
    """A daemon shared by the scenarios that do not stop it."""
    with tempfile.TemporaryDirectory(prefix="dotterelbridge-") as folder:
        demo = Demo(pathlib.Path(folder))
        try:
            demo.start()
            demo.submit_sheet()
            yield demo
        finally:
            demo.stop()


@pytest.fixture
def results():
    return {}


@given("a running daemon with the sheet in force", target_fixture="demo")
def start_daemon(shared_demo, request):
    if "shutdown" not in request.node.name:
        return shared_demo
    folder = tempfile.mkdtemp(prefix="dotterelbridge-")
    demo = Demo(pathlib.Path(folder))
    request.addfinalizer(demo.stop)
    demo.start()
    demo.submit_sheet()
    return demo


def wait_for(condition):
    """Return the condition's first truthy result; fail after a timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not (result := condition()):
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.05)
    return result


def create_body(tokens, text="A walk-in shower for Mrs Byrne"):
    return {
        "model": "quotes",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    }


def stream_chat(demo, body, on_token=lambda: None):
    """Return the response and the tokens of a streamed completion."""
    tokens = []
    with httpx.stream(
        "POST",
        f"{demo.caller_url}/v1/chat/completions",
        json=body,
        timeout=WAIT_TIMEOUT_S,
    ) as response:
        for line in response.iter_lines():
            if line.startswith("data: {"):
                choice = json.loads(line[6:])["choices"][0]
                tokens.append(choice["delta"]["content"])
                on_token()
    return response, tokens


def send_booking(demo, key, day="2026-12-07"):
    return httpx.post(
        f"{demo.caller_url}/services/booking/bookings",
        json={"day": day},
        headers={"Idempotency-Key": key},
        timeout=WAIT_TIMEOUT_S,
    )


def count_runs(demo):
    port = demo.ports["service"]
    state = httpx.get(f"http://127.0.0.1:{port}/standin/truth").json()
    return sum(state["keys"].values())


@when(parsers.parse("a caller streams a chat completion of {tokens:d} tokens"))
def stream_completion(demo, results, tokens):
    results["body"] = create_body(tokens)
    results["response"], results["tokens"] = stream_chat(demo, results["body"])


@then("the caller has every token once and in order")
def check_all_tokens(results):
    assert results["tokens"] == generate_expected_tokens(results["body"])


@then("the response says that the request ran")
def check_response_says_run(results):
    assert results["response"].headers["dotterelbridge-run"] == "yes"


@when(parsers.parse("a caller sends the same keyed booking {times:d} times"))
def repeat_booking(demo, results, times):
    results["runs_before"] = count_runs(demo)
    results["answers"] = [send_booking(demo, "again") for _ in range(times)]


@then("every response is the same")
def check_same_responses(results):
    assert len({a.text for a in results["answers"]}) == 1
    assert {a.status_code for a in results["answers"]} == {200}


@then(parsers.parse("the booking service ran {runs:d} call"))
def check_runs(demo, results, runs):
    assert count_runs(demo) - results["runs_before"] == runs


@when("a caller reuses a key for another booking")
def reuse_key(demo, results):
    results["runs_before"] = count_runs(demo)
    send_booking(demo, "reused")
    results["response"] = send_booking(demo, "reused", day="2026-12-09")


@then("the second booking is refused as not run")
@then("the request is refused as not run with a remedy")
def check_refused(results):
    response = results["response"]
    assert response.is_client_error
    assert response.headers["dotterelbridge-run"] == "no"
    assert response.json()["error"]["remedy"]


@when(parsers.parse('a caller asks for the model "{model}"'))
def request_unknown_model(demo, results, model):
    body = {**create_body(5), "model": model, "stream": False}
    results["response"] = httpx.post(
        f"{demo.caller_url}/v1/chat/completions",
        json=body,
        timeout=WAIT_TIMEOUT_S,
    )


@given(parsers.parse("{count:d} callers with half of their streams received"))
def start_streams(demo, results, count, request):
    pool = concurrent.futures.ThreadPoolExecutor(count)
    request.addfinalizer(pool.shutdown)
    half_received = threading.Semaphore(0)

    def stream(index):
        body = create_body(STREAM_TOKENS, f"caller {index}")
        received = []

        def count_token():
            received.append(1)
            if len(received) == STREAM_TOKENS // 2:
                half_received.release()

        return body, stream_chat(demo, body, count_token)[1]

    results["streams"] = [pool.submit(stream, i) for i in range(count)]
    for _ in range(count):
        assert half_received.acquire(timeout=WAIT_TIMEOUT_S)


@when(parsers.parse("the daemon gets {name}"))
def send_signal(demo, name):
    demo.daemon.send_signal(getattr(signal, name))


@then("every stream arrives completely")
def check_streams(results):
    for future in results["streams"]:
        body, tokens = future.result(WAIT_TIMEOUT_S)
        assert tokens == generate_expected_tokens(body)


@then("the daemon ends with status 0")
def check_status(demo):
    assert demo.daemon.wait(WAIT_TIMEOUT_S) == 0


@then("the dump file names all parts")
def check_dump(demo):
    path = demo.folder / "dump.json"

    def read_parts():
        try:
            return set(json.loads(path.read_text()))
        except (FileNotFoundError, json.JSONDecodeError):
            return set()

    assert wait_for(read_parts) >= {
        "claims",
        "membership",
        "peers",
        "placement",
        "replication",
        "routing",
        "serving",
        "sheet",
    }


@when("operators drain the VM")
def drain_vm(demo):
    assert demo.run_tool("drain", "dublin-vm-1") == ExitStatus.OK


@when("operators end the drain")
def undrain_vm(demo):
    assert demo.run_tool("undrain", "dublin-vm-1") == ExitStatus.OK


@then("the balancer sees that the VM is not ready")
def check_not_ready(demo):
    wait_for(lambda: not is_ready(demo))


@then("a request that still arrives is served")
def check_served(demo):
    body = create_body(3)
    assert stream_chat(demo, body)[1] == generate_expected_tokens(body)


@then("the balancer sees that the VM is ready")
def check_ready(demo):
    wait_for(lambda: is_ready(demo))


def is_ready(demo):
    return httpx.get(
        f"{demo.caller_url}/readyz", timeout=WAIT_TIMEOUT_S
    ).is_success


def read_metrics(demo):
    port = demo.ports["operator"]
    token = (demo.folder / "token").read_text()
    response = httpx.get(
        f"http://127.0.0.1:{port}/metrics",
        headers={"Authorization": f"Bearer {token}"},
        timeout=WAIT_TIMEOUT_S,
    )
    return response.text


def find_samples(text, name, *labels):
    """Return the values of a metric's samples that have all the labels."""
    return [
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith(name) and all(label in line for label in labels)
    ]


@then("the metrics count the request and its deadline as met")
def check_request_metrics(demo):
    text = read_metrics(demo)
    assert sum(find_samples(text, "dotterelbridge_requests_total")) >= 1
    met = find_samples(text, "dotterelbridge_deadlines_total", "met=")
    assert sum(met) >= 1


@then("the metrics give the committed memory of both engines")
def check_memory_metrics(demo):
    def find_committed():
        name = "dotterelbridge_placement_memory"
        return find_samples(read_metrics(demo), name, 'kind="committed"')

    wait_for(lambda: len(find_committed()) == 2)
    assert all(value >= 4000 for value in find_committed())


@then("the metrics count the invariant checks and no failure")
def check_invariant_metrics(demo):
    text = read_metrics(demo)
    checks = find_samples(text, "dotterelbridge_invariant_checks_total")
    assert sum(checks) > 0
    name = "dotterelbridge_invariant_failures_total"
    assert sum(find_samples(text, name)) == 0
