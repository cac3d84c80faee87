"""Metrics of callers' requests."""

import pytest

from dotterelbridge.ids import Priority
from dotterelbridge.serving import callers
from dotterelbridge.serving import metrics
from dotterelbridge.serving.metrics import RequestOutcome
from dotterelbridge.serving.metrics import TokenGaps
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import stream_then_break
from tests.serving.fakes import stream_tokens
from tests.serving.fakes import wait_until
from tests.serving.test_callers import CHAT
from tests.serving.test_callers import create_client


@pytest.fixture
def records(monkeypatch):
    """Collect the arguments of each call of record_request."""
    records = []

    def record(*values):
        records.append(values)

    monkeypatch.setattr(callers, "record_request", record)
    return records


def test_each_outcome_is_recorded_with_its_priority(records):
    @run_async
    async def check():
        rows = (
            model_row(idempotent=False, priority=Priority.URGENT),
            model_row("unloaded", deadline_ms=50),
        )
        async with (
            run_serving(rows) as harness,
            create_client(harness) as client,
        ):
            await harness.add_engine("e1", stream_tokens(3))
            body = {"model": "quote", "stream": True}
            await client.post(CHAT, json=body)
            await client.post(CHAT, json={"model": "unloaded"})
            harness.targets["e1"].handler = stream_then_break(0, 3)
            await client.post(CHAT, json=body)
            await wait_until(lambda: len(records) == 3)

    check()
    found = [(priority, outcome) for priority, outcome, _, _ in records]
    assert found == [
        (Priority.URGENT, RequestOutcome.ANSWERED),
        (Priority.NORMAL, RequestOutcome.REFUSED),
        (Priority.URGENT, RequestOutcome.BROKEN),
    ]
    first_tokens = [first_token_s for _, _, first_token_s, _ in records]
    assert first_tokens[0] > 0
    assert first_tokens[1:] == [None, None]
    assert [deadline for *_, deadline in records] == pytest.approx(
        [5.0, 0.05, 5.0]
    )


def test_token_gaps_record_mean_and_longest(monkeypatch):
    seen = {}

    class Histogram:
        def __init__(self, name):
            self.name = name

        def record(self, value, labels):
            seen[self.name] = value

    for name in ("_token_gap_mean", "_token_gap_max"):
        monkeypatch.setattr(metrics, name, Histogram(name))
    gaps = TokenGaps()
    for at in (1.0, 1.1, 1.6, 1.7):
        gaps.add(1, at)
    gaps.record(Priority.NORMAL)
    assert seen["_token_gap_max"] == pytest.approx(0.5)
    assert seen["_token_gap_mean"] == pytest.approx(0.7 / 3)
