"""The time between a stream's events is measured for each target and model."""

import anyio
import pytest

from dotterelbridge.fleet.messages import StreamGap
from dotterelbridge.gateway.stream_gaps import StreamGaps
from dotterelbridge.ids import Incarnation
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import create_event
from tests.gateway.support import run_gateway
from tests.routes.support import LLM
from tests.serving.fakes import run_async

ENGINE: Incarnation = ("e1", 7)
EVENT = b"data: x\n\n"


def record(chunks):
    """Return what is reported of a stream of (time in ms, data)."""
    gaps = StreamGaps()
    meter = gaps.measure(ENGINE, "m0")
    for at_ms, data in chunks:
        meter.record(at_ms / 1000, data)
    meter.finish()
    return gaps.read()


def test_the_median_ignores_single_long_gaps():
    times = (0, 50, 100, 150, 900, 950, 1000)
    (gap,) = record((at, EVENT) for at in times)
    assert gap == StreamGap("e1", 7, "m0", 1, 50.0)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_events_of_one_chunk_share_the_time_since_the_one_before(end):
    """A VM that is late reads several events at once."""
    event = b"data: x" + end
    (gap,) = record((at, 2 * event) for at in (0, 100, 200, 300))
    assert gap.gap_ms == 50.0


def test_short_streams_tell_nothing():
    assert record((at, EVENT) for at in (0, 50, 100, 150)) == ()


def test_long_streams_are_reported_before_they_end():
    gaps = StreamGaps()
    meter = gaps.measure(ENGINE, "m0")
    for number in range(40):
        meter.record(0.05 * number, EVENT)
    assert [gap.streams for gap in gaps.read()] == [2]
    assert gaps.read() == ()


def test_reports_are_bounded():
    gaps = StreamGaps()
    for number in range(1000):
        for _ in range(50):
            gaps.add((f"e{number}", 1), "m0", 0.05)
    report = gaps.read()
    assert len(report) <= 64
    assert max(gap.streams for gap in report) <= 32


async def stream_parts(received):
    """Send events in two chunks each, and break off after some of them."""
    first = int(received.headers.get("last-event-id", "-1")) + 1
    await received.start_stream(SIGNED_HEADERS)
    for number in range(first, first + 8):
        event = create_event(number)
        await received.send_chunk(event[:5])
        await anyio.sleep(0.01)
        await received.send_chunk(event[5:])
    if not first:
        received.writer.close()
        return
    await received.send_chunk(b"")


@run_async
async def test_each_attempt_of_a_stream_counts_for_its_own_target():
    async with run_gateway() as gateway:
        for name in ("e1", "e2"):
            await gateway.add_target(
                name, stream_parts, service=LLM, held=["m0"]
            )
        await gateway.call("/drafts/a", headers={"dotterelbridge-model": "m0"})
        gaps = gateway.stream_gaps.read()
        assert {gap.target for gap in gaps} == {"e1", "e2"}
        assert all((gap.model, gap.streams) == ("m0", 1) for gap in gaps)
        assert all(gap.gap_ms >= 5 for gap in gaps)
