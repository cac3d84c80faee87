"""What a target says of itself in its answers."""

from datetime import timedelta
import random

import pytest

from dotterelbridge.targets.client import ProbeOutcome
from dotterelbridge.targets.errors import TargetHeldBack
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.targets.statements import MAX_WAIT
from dotterelbridge.targets.statements import MIN_RATE_LIMIT_PER_S
from dotterelbridge.targets.statements import TargetStatement
from dotterelbridge.targets.statements import read_statement
from tests.serving.fakes import run_async
from tests.targets.test_faulty_responses import fetch
from tests.targets.test_faulty_responses import run_client

LEAVING_HEADER = b"dotterelbridge-leaving"
RATE_LIMIT_HEADER = b"dotterelbridge-rate-limit"
SETTINGS = TargetsSettings()


def read(status=200, *headers) -> TargetStatement:
    return read_statement(status, headers, LEAVING_HEADER, RATE_LIMIT_HEADER)


def read_rate_limit(*values) -> float | None:
    return read(
        200, *((RATE_LIMIT_HEADER, value) for value in values)
    ).rate_limit_per_s


def read_wait(*values) -> timedelta | None:
    return read(503, *((b"retry-after", value) for value in values)).wait


@pytest.mark.parametrize("status", [200, 204, 421, 500, 503])
def test_any_answer_may_say_that_the_target_leaves(status):
    assert read(status, (LEAVING_HEADER, b"1")).is_leaving
    assert not read(status).is_leaving


@pytest.mark.parametrize("value", [b"0", b"", b"2", b"yes", b"\xff"])
def test_only_one_means_that_the_target_leaves(value):
    statement = read(200, (LEAVING_HEADER, value))
    assert not statement.is_leaving
    assert statement.unreadable == (value != b"0")


@pytest.mark.parametrize(
    ("value", "seconds"), [(b"5", 5), (b" 0.25 ", 0.25), (b"0", 0)]
)
def test_time_to_wait_is_in_seconds(value, seconds):
    assert read_wait(value) == timedelta(seconds=seconds)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"soon",
        b"-1",
        b"inf",
        b"nan",
        b"1e400",
        b"1_0",
        b"Wed, 21 Oct 2026 07:28:00 GMT",
        b"\xff",
        "٣".encode(),
    ],
)
def test_unreadable_time_to_wait_is_passed_over(value):
    statement = read(503, (b"retry-after", value))
    assert statement == TargetStatement(unreadable=True)


def test_longest_of_several_times_counts():
    assert read_wait(b"2", b"soon", b"7", b"3") == timedelta(seconds=7)


def test_time_to_wait_is_capped():
    assert read_wait(b"31536000") == MAX_WAIT


def test_only_a_503_asks_to_wait():
    assert read(200, (b"retry-after", b"5")).wait is None


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_any_answer_may_name_a_rate_limit(status):
    statement = read(status, (RATE_LIMIT_HEADER, b"2.9"))
    assert statement == TargetStatement(rate_limit_per_s=2.9)
    assert read(status).rate_limit_per_s is None


def test_lowest_of_several_rate_limits_counts():
    assert read_rate_limit(b"7", b" 3.5 ", b"4", b"many") == 3.5
    assert read_rate_limit(b"3", b"0") == MIN_RATE_LIMIT_PER_S


@pytest.mark.parametrize("value", [b"", b"few", b"-1", b"nan", b"1e3", b"3/s"])
def test_unreadable_rate_limit_is_passed_over(value):
    statement = read(200, (RATE_LIMIT_HEADER, value))
    assert statement == TargetStatement(unreadable=True)


def test_rate_limit_has_bounds():
    assert read_rate_limit(b"0") == MIN_RATE_LIMIT_PER_S
    assert read_rate_limit(b"0.3") == 0.3
    assert read_rate_limit(b"1000000") is None


def answer(status, headers):
    async def handle(received):
        await received.answer(b"-", status, headers)

    return handle


@run_async
async def test_client_sends_nothing_before_the_time_is_over():
    handler = answer(503, {"retry-after": "30"})
    async with run_client(handler) as (target, client):
        await fetch(client)
        for _ in range(3):
            with pytest.raises(TargetHeldBack):
                await fetch(client)
        outcome = await client.probe(timedelta(seconds=1), "/health")
        assert outcome is ProbeOutcome.UP
        assert len(target.received) == 1
        real_monotonic = client._clock.monotonic
        client._clock.monotonic = lambda: real_monotonic() + 60
        await fetch(client)
        assert len(target.received) == 2


# Guards against a wave of all VMs at the target that has asked to wait.
def test_vms_return_spread_over_time():
    rng = random.Random(1)
    statement = TargetStatement(wait=timedelta(seconds=5))
    returns_s = [statement.choose_return_s(rng) for _ in range(194)]
    assert min(returns_s) >= 5
    counts = [0] * 11
    for return_s in returns_s:
        counts[int((return_s - 5) * 10)] += 1
    assert max(counts) <= 194 / 5


@run_async
async def test_leaving_target_keeps_no_idle_connections():
    handler = answer(200, {"dotterelbridge-leaving": "1"})
    async with run_client(handler) as (_, client):
        await fetch(client)
        assert client.is_leaving
        assert client.count_connections() == {"busy": 0, "idle": 0}


# Guards against a rate limit that no log or metric shows.
@run_async
async def test_client_keeps_the_rate_limit_of_the_latest_answer():
    handler = answer(200, {"dotterelbridge-rate-limit": "2.9"})
    async with run_client(handler) as (target, client):
        await fetch(client)
        assert client.rate_limit_per_s == 2.9
        target.handler = answer(200, {"dotterelbridge-rate-limit": "many"})
        await fetch(client)
        assert client.rate_limit_per_s == 2.9
        target.handler = answer(200, {})
        await fetch(client)
        assert client.rate_limit_per_s is None
