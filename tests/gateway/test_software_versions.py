"""Streams that break off while a service has targets of two versions."""

import contextlib
from datetime import timedelta
import json

import anyio
import httpx
import msgspec
import pytest
from structlog.testing import capture_logs

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.resumption.local_recorder import create_local_recorder
from dotterelbridge.resumption.recorder import StreamOrigin
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import create_target
from tests.gateway.support import HOST
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import SoleVersionRecorder
from tests.gateway.support import run_gateway
from tests.gateway.support import wait_until
from tests.gateway.test_router import RouterHarness
from tests.gateway.test_router import in_virtual_time
from tests.routes.support import JOBS
from tests.routes.support import LLM
from tests.routes.support import create_route
from tests.serving.fakes import run_async

EVENT_COUNT = 8
BREAK_AFTER = 3
ROUTES = [create_route("drafts", is_resumable=True, attempts=2)]
ROUTES_WITHOUT_RETRY = [create_route("drafts", is_resumable=True)]


def write_text(version: str, first: int, end: int) -> bytes:
    """Return the events that targets of a version generate."""
    return b"".join(
        b"id: %d\ndata: %s says %d\n\n" % (number, version.encode(), number)
        for number in range(first, end)
    )


def create_handler(version: str, stop_before: int | None = None):
    """Return a handler that writes a version's text, up to a break."""

    async def handle(received):
        first = int(received.headers.get("last-event-id", "-1")) + 1
        await received.start_stream(SIGNED_HEADERS)
        if stop_before is not None:
            if first < stop_before:
                text = write_text(version, first, stop_before)
                await received.send_chunk(text)
            received.writer.close()
            return
        await received.send_chunk(write_text(version, first, EVENT_COUNT))
        await received.send_chunk(b"")

    return handle


class CallerAnswer(msgspec.Struct):
    """What a caller received of one answer."""

    status: int = 0
    text: bytes = b""
    is_whole: bool = False


async def read_answer(gateway, request="r1", **headers) -> CallerAnswer:
    """Send a request; return what came until the answer's end or break."""
    answer = CallerAnswer()
    fields = {
        "host": HOST,
        "x-request-id": request,
        "dotterelbridge-deadline": "5000",
        "dotterelbridge-model": "m0",
    }
    fields |= {
        name.replace("_", "-"): value.encode("latin-1")
        for name, value in headers.items()
    }
    async with httpx.AsyncClient(timeout=20) as client:
        try:
            async with client.stream(
                "POST", gateway.url + "/drafts/a", headers=fields
            ) as response:
                answer.status = response.status_code
                async for data in response.aiter_raw():
                    answer.text += data
            answer.is_whole = True
        except httpx.RemoteProtocolError:
            pass
    return answer


async def add_target(gateway, name, version, **fields):
    """Add a target whose list entry and text state a version."""
    stop_before = fields.pop("stop_before", None)
    return await gateway.add_target(
        name,
        create_handler(version, stop_before),
        **({"service": LLM, "held": ["m0"], "software": version} | fields),
    )


async def read_answer_while_target_is_replaced(gateway, name, version):
    """Begin a stream at a target that breaks off and is then replaced."""
    broken = await add_target(gateway, "e1", "v1", stop_before=BREAK_AFTER)

    async def replace_target():
        await wait_until(lambda: broken.received)
        await add_target(gateway, name, version)
        gateway.remove_target("e1")

    async with anyio.create_task_group() as group:
        group.start_soon(replace_target)
        return await read_answer(gateway)


# Guards against one answer with the texts of two software versions.
@run_async
async def test_broken_stream_does_not_go_on_at_another_version():
    async with run_gateway(ROUTES) as gateway:
        answer = await read_answer_while_target_is_replaced(
            gateway, "e2", "v1.1"
        )
        assert answer.text == write_text("v1", 0, BREAK_AFTER)
        assert not answer.is_whole
        assert not gateway.targets["e2"].received


# Guards against streams that are cut though their version is still served.
@run_async
async def test_broken_stream_goes_on_at_its_own_version():
    async with run_gateway(ROUTES) as gateway:
        answer = await read_answer_while_target_is_replaced(
            gateway, "e2", "v1"
        )
        assert answer.text == write_text("v1", 0, EVENT_COUNT)
        assert answer.is_whole


def show_targets(harness, targets) -> None:
    """Show targets, each given as "VERSION", or as "VERSION" and fields."""
    for number, entry in enumerate(targets):
        version, fields = entry if isinstance(entry, tuple) else (entry, {})
        fields = {"software": version, "held": ["m0"]} | fields
        harness.fleet_state.update([create_target(f"e{number}", **fields)])


def create_begun_call(harness, version, **fields):
    """Return a call whose caller has events of a version already."""
    call = harness.create_call(**fields)
    call.origin = StreamOrigin(LLM, version)
    return call


LEAVING = {"phase": TargetPhase.LEAVING}
ABSENT = {"held": ["m1"]}


@pytest.mark.parametrize(
    ("version", "targets", "expected"),
    [
        ("v1", ["v1.1", "v1"], "e1"),
        ("v1", ["v1.1", ("v1", LEAVING)], None),
        ("v1", ["v1.1", ("v1", ABSENT)], None),
        ("v1", ["v1.1", ""], None),
        ("", [""], "e0"),
        ("", ["", ("v1", LEAVING)], None),
        ("", [], None),
    ],
    ids=[
        "served",
        "leaving",
        "without the model",
        "unknown",
        "none states one",
        "unknown beside others",
        "no target",
    ],
)
def test_stream_goes_on_at_its_version_or_is_refused_at_once(
    version, targets, expected
):
    """Guards against joined texts, and waits for what does not come back."""

    async def main():
        harness = RouterHarness()
        show_targets(harness, targets)
        call = create_begun_call(harness, version)
        if expected is not None:
            slot = await harness.router.acquire(call)
            assert slot.view.target == expected
            return
        with pytest.raises(NoTargetAvailable) as refusal:
            await harness.router.acquire(call)
        assert refusal.value.reason is UnavailableReason.VERSION_GONE
        assert harness.clock.monotonic() == call.started_at

    run_in_virtual_time(main)


# Guards against streams that break off although their version is busy, or
# loads the model, for a moment.
@pytest.mark.parametrize("is_loading", [False, True])
def test_stream_waits_for_its_own_version(is_loading):
    @in_virtual_time
    async def check(harness):
        free = ("v1.1", {"held": ["m0"]})
        show_targets(harness, [free, ("v1", {"slots": 1})])
        if is_loading:
            show_targets(harness, [free, ("v1", ABSENT)])
            harness.announce_load("m0", 0.5)
        else:
            taken = await harness.router.acquire(
                create_begun_call(harness, "v1")
            )

        async def make_ready():
            await anyio.sleep(0.4)
            show_targets(harness, [free, ("v1", {"slots": 1})])
            if not is_loading:
                harness.router.release(taken, AttemptOutcome.ANSWERED)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_ready)
            slot = await harness.router.acquire(
                create_begun_call(harness, "v1")
            )
        assert slot.view.target == "e1"

    check()


@contextlib.asynccontextmanager
async def run_two_gateways(routes=ROUTES_WITHOUT_RETRY, recorder=None):
    """Run two entry VMs whose records are shared.

    A target of v1 that breaks off is known to the first only.
    """
    recorder = recorder or create_local_recorder(SystemClock())
    async with (
        run_gateway(routes, stream_recorder=recorder) as first,
        run_gateway(routes, stream_recorder=recorder) as second,
    ):
        await add_target(first, "e1", "v1", stop_before=BREAK_AFTER)
        yield first, second


async def resume(gateway, request="r2", last_event=BREAK_AFTER - 1, **headers):
    """Send a request of a caller that has some events already."""
    headers.setdefault("resumes", "r1")
    names = {
        "last_event_id": str(last_event),
        "dotterelbridge_resumes": headers.pop("resumes"),
    }
    fields = {k: v for k, v in names.items() if v is not None}
    return await read_answer(gateway, request, **fields, **headers)


# Guards against two joined texts over a caller's tries at two entry VMs.
@run_async
async def test_caller_does_not_resume_at_another_version():
    async with run_two_gateways() as (first, second):
        other = await add_target(second, "e2", "v1.1")
        answer = await read_answer(first)
        assert answer.text == write_text("v1", 0, BREAK_AFTER)
        resumed = await resume(second)
        assert (resumed.status, other.received) == (503, [])
        assert json.loads(resumed.text)["error"]["type"] == "not_run"


# Guards against streams that are lost though their version is still served.
@run_async
async def test_caller_resumes_at_the_version_that_began_the_stream():
    async with run_two_gateways() as (first, second):
        other = await add_target(second, "e2", "v1.1")
        own = await add_target(second, "e3", "v1")
        await read_answer(first)
        with capture_logs() as lines:
            resumed = await resume(second)
            await wait_until(lambda: not second.app.in_flight)
        text = write_text("v1", BREAK_AFTER, EVENT_COUNT)
        assert (resumed.status, resumed.text) == (200, text)
        names = ["stream_resumed", "request_answered"]
        named = [line for line in lines if line["event"] in names]
        assert [line["event"] for line in named] == names
        for line in named:
            assert (line["origin"], line["software"]) == ("v1", "v1")
            assert (line["resumes"], line["last_event_id"]) == ("r1", "2")
        assert not other.received
        assert own.received[0].headers["dotterelbridge-resumes"] == "r1"


# Guards against a record that is sought under the id of the latest try.
@run_async
async def test_stream_keeps_its_origin_over_many_tries():
    async with run_two_gateways() as (first, second):
        await add_target(second, "e2", "v1", stop_before=BREAK_AFTER + 2)
        await read_answer(first)
        text = write_text("v1", BREAK_AFTER, BREAK_AFTER + 2)
        assert (await resume(second)).text == text
        await add_target(second, "e3", "v1.1")
        await add_target(second, "e4", "v1")
        second.remove_target("e2")
        last = await resume(second, "r3", BREAK_AFTER + 1)
        assert last.text == write_text("v1", BREAK_AFTER + 2, EVENT_COUNT)
        wrong = await resume(second, "r4", BREAK_AFTER + 1, resumes="r2")
        assert wrong.status == 503


# Guards against a version that is guessed where no record says which it was.
@pytest.mark.parametrize(
    "resumes", [None, "", "other", "r1 r1", "r1,r1", "\u00e9", "r" * 4000]
)
def test_stream_without_a_record_is_refused(resumes):
    @run_async
    async def check():
        async with run_two_gateways() as (first, second):
            targets = [
                await add_target(second, "e2", "v1"),
                await add_target(second, "e3", "v1.1"),
            ]
            await read_answer(first)
            resumed = await resume(second, resumes=resumes)
            assert resumed.status == 503
            assert not any(target.received for target in targets)

    check()


# Guards against refusals of all streams where records are lost but only one
# version served, and against runs at a service that the route has left.
@pytest.mark.parametrize(
    ("service", "software", "status"),
    [(LLM, "v1", 200), (LLM, "v1.1", 503), (LLM, "", 503), (JOBS, "v1", 503)],
)
def test_origin_that_other_vms_vouch_for_is_kept(service, software, status):
    @run_async
    async def check():
        recorder = SoleVersionRecorder(StreamOrigin(service, software))
        async with run_gateway(ROUTES, stream_recorder=recorder) as gateway:
            await add_target(gateway, "e1", "v1")
            answer = await resume(gateway, resumes=None)
            assert answer.status == status
            (query,) = recorder.queries
            request_id, services, route, team, horizon, timeout = query
            assert (request_id, set(services)) == (None, {LLM})
            assert (route, team) == ("drafts", "")
            assert horizon == timedelta(seconds=65)
            assert timedelta(0) < timeout <= timedelta(seconds=1)

    check()


# Guards against refusals on routes whose streams are never resumed.
@run_async
async def test_last_event_of_another_route_is_only_passed_on():
    async with run_gateway([create_route("drafts")]) as gateway:
        target = await add_target(gateway, "e1", "v1")
        assert (await resume(gateway, resumes=None)).status == 200
        assert target.received[0].headers["last-event-id"] == "2"
