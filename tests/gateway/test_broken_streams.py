"""Streams that break off and whose next target answers something else."""

import anyio
import pytest

from dotterelbridge.gateway.event_stream import EventStreamParser
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.targets.errors import MalformedResponse
from tests.gateway.support import NOT_RUN_HEADERS
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import SoleVersionRecorder
from tests.gateway.support import create_event
from tests.gateway.support import run_gateway
from tests.gateway.test_unframed_answers import create_request_lines
from tests.routes.support import LLM
from tests.serving.fakes import run_async

EVENTS = create_event(0) + create_event(1)
JSON = {"content-type": "application/json"}
STREAM = {"content-type": "text/event-stream"}
ERROR = b'{"error": "out of memory"}\n\n'
HEAD = b"HTTP/1.1 500 Status\r\ncontent-length: 5\r\n\r\nerror\n\n"
FRAMINGS = ["length", "chunks", "connection"]

ERRORS = {
    "500": (500, JSON, ERROR),
    "503": (503, JSON, ERROR),
    "503-not-run": (503, JSON | NOT_RUN_HEADERS, ERROR),
    "404": (404, JSON, ERROR),
    "302": (302, {"location": "/"}, ERROR),
    "204": (204, {}, b""),
    "206": (206, STREAM, create_event(2)),
    "html": (200, {"content-type": "text/html"}, b"<html>\n\n<p>\n\n"),
    "json": (200, JSON, ERROR),
    "json-with-id": (200, JSON, b"id: 2\n" + ERROR),
    "untyped": (200, {}, ERROR),
    "unsigned": (200, STREAM | {"x-signature": ""}, create_event(2)),
    "encoded": (200, STREAM | {"content-encoding": "gzip"}, create_event(2)),
    "empty": (200, STREAM, b""),
    "empty-untyped": (200, {}, b""),
    "comments": (200, STREAM, b": sorry\n\n"),
    "text": (200, STREAM, b"Internal error\n\n"),
    "head": (200, STREAM, HEAD),
    "no-id": (200, STREAM, b"event: error\n" + b"data: " + ERROR),
    "repeat": (200, STREAM, create_event(1) + create_event(2)),
    "restart": (200, STREAM, b": hi\n\n" + EVENTS + create_event(2)),
}
"""Status, headers and body of what is no continuation of a stream."""
RAW_ERRORS = {
    "malformed-head": b"HTTP/1.1 2x0 Status\r\n\r\n" + create_event(2),
    "no-head": ERROR,
    "cut-head": b"HTTP/1.1 200 Status\r\ncontent-type: text/event-stream\r\n",
    "interim": b"HTTP/1.1 103 Hints\r\n\r\n" + HEAD,
    "another-id": b"HTTP/1.1 200 Status\r\nx-request-id: r9\r\nx-signature: s"
    b"\r\ncontent-type: text/event-stream\r\n\r\n" + create_event(2),
}


async def send_framed(received, status, headers, framing, body) -> None:
    """Send a response; the connection ends after it if nothing else does."""
    headers = {k: v for k, v in (SIGNED_HEADERS | headers).items() if v}
    if status == 204:
        framing = "none"
    if framing == "length":
        headers["content-length"] = str(len(body))
    if framing == "chunks":
        headers["transfer-encoding"] = "chunked"
        body = (
            b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            if body
            else (b"0\r\n\r\n")
        )
    await received.send_head(status, headers)
    await received.send(body)
    if framing == "connection":
        received.writer.close()


async def break_off(received, framing) -> None:
    """Send two events and a part of the third."""
    part = EVENTS + b"id: 2\nda"
    headers = SIGNED_HEADERS | STREAM
    if framing == "length":
        headers |= {"content-length": "999"}
    if framing == "chunks":
        headers |= {"transfer-encoding": "chunked"}
        part = b"%x\r\n%b\r\n" % (len(part), part)
    await received.send_head(200, headers)
    await received.send(part)
    received.writer.close()


def create_handler(case: str, framing: str, first_framing: str = ""):
    """Return a handler that answers a resumed stream with an error."""

    async def handle(received):
        if first_framing and "last-event-id" not in received.headers:
            await break_off(received, first_framing)
        elif case in RAW_ERRORS:
            await received.send(RAW_ERRORS[case])
            received.writer.close()
        else:
            status, headers, body = ERRORS[case]
            await send_framed(received, status, headers, framing, body)

    return handle


async def read_raw(
    gateway, version: str, *headers: str
) -> tuple[bytes, bytes, bool]:
    """Send a request for a stream and return what arrives."""
    lines = create_request_lines("/drafts/", version=version)
    lines += ["connection: close", *headers, "", ""]
    return await receive_response(
        gateway.listener.port, "\r\n".join(lines).encode()
    )


async def receive_response(
    port: int, request: bytes
) -> tuple[bytes, bytes, bool]:
    """Return the head and body of a response, and whether it was reset."""
    received = b""
    is_reset = False
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(request)
        try:
            while True:
                received += await stream.receive()
        except anyio.EndOfStream:
            pass
        except anyio.BrokenResourceError:
            is_reset = True
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body, is_reset


def decode_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return the content of chunks, and whether they are complete."""
    content = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return content, True
        content += rest[: int(size, 16)]
        body = rest[int(size, 16) + 2 :]
    return content, False


# Guards against an error, or another response, that is joined to a stream
# that has begun, and against a stream that ends as complete with it.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("first_framing", FRAMINGS)
@pytest.mark.parametrize("case", [*ERRORS, *RAW_ERRORS])
def test_error_of_the_next_target_does_not_reach_the_stream(
    case, first_framing, version
):
    async def check():
        for framing in FRAMINGS:
            handler = create_handler(case, framing, first_framing)
            async with run_gateway() as gateway:
                for name in ("e1", "e2"):
                    await gateway.add_target(name, handler, service=LLM)
                head, body, is_reset = await read_raw(gateway, version)
            assert head.startswith(b"HTTP/1.1 200")
            if b"transfer-encoding: chunked" in head:
                assert decode_chunks(body) == (EVENTS, False)
            else:
                assert (body, is_reset) == (EVENTS, True)

    run_async(check)()


# Guards against a 502 for a whole answer that is no event stream, and
# against the first part of one that breaks off.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("case", ["html", "json", "encoded"])
def test_first_answer_that_is_no_event_stream_is_passed_on_whole(
    case, framing
):
    status, headers, _ = ERRORS[case]

    async def answer(received):
        await send_framed(received, status, headers, framing, b'{"a":\n\n1}')

    async def break_off(received):
        length = {"content-length": "99"}
        await received.send_head(status, SIGNED_HEADERS | headers | length)
        await received.send(b'{"a":\n\n')
        received.writer.close()

    async def check():
        async with run_gateway() as gateway:
            target = await gateway.add_target("e1", answer, service=LLM)
            head, body, _ = await read_raw(gateway, "1.1")
            assert head.startswith(b"HTTP/1.1 200")
            assert headers["content-type"].encode() in head
            assert body == b'{"a":\n\n1}'
            target.handler = break_off
            head, _, _ = await read_raw(gateway, "1.1")
            assert head.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504"))

    run_async(check)()


# Guards against events that come twice where the caller itself resumes.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    "case", ["text", "head", "no-id", "repeat", "restart"]
)
def test_stream_that_its_caller_resumes_goes_on_or_fails(case, framing):
    async def check():
        handler = create_handler(case, framing)
        origin = StreamOrigin(LLM, SoftwareVersion(""))
        recorder = SoleVersionRecorder(origin)
        async with run_gateway(stream_recorder=recorder) as gateway:
            target = await gateway.add_target("e1", handler, service=LLM)
            header = "last-event-id: 1"
            head, _, _ = await read_raw(gateway, "1.1", header)
            assert head.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504"))
            assert target.received[0].headers["last-event-id"] == "1"

    run_async(check)()


@pytest.mark.parametrize(
    ("previous", "event", "follows"),
    [
        (b"9", b"10", True),
        (b"10", b"9", False),
        (b"010", b"10", False),
        (b"9" * 5000, b"9" * 5001, True),
        (b"a", b"b", True),
        (b"a", b"a", False),
        (b"", b"0", True),
    ],
)
def test_first_event_has_to_follow_the_last_one(previous, event, follows):
    parser = EventStreamParser(65536)
    parser.last_id = previous
    parser.start_response(continues=True)
    data = b": hi\n\nx-version: 2\nid: %b\ndata: -\n\n" % event
    if follows:
        assert parser.feed(data) == data
        return
    with pytest.raises(MalformedResponse):
        parser.feed(data)


@run_async
async def test_stream_without_event_ids_is_not_resumed():
    # Guards against a stream that begins anew within a response.
    async def break_off(received):
        await received.start_stream(SIGNED_HEADERS)
        await received.send_chunk(b"data: a\n\n")
        received.writer.close()

    async with run_gateway() as gateway:
        for name in ("e1", "e2"):
            await gateway.add_target(name, break_off, service=LLM)
        _, body, _ = await read_raw(gateway, "1.1")
    assert decode_chunks(body) == (b"data: a\n\n", False)


# Guards against a wrong Last-Event-Id, with which events come twice.
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_last_id_is_found_at_all_line_ends(line_end):
    parser = EventStreamParser(65536)
    for number in range(3):
        parser.feed(create_event(number).replace(b"\n", line_end))
        assert parser.last_id == b"%d" % number
    events = create_event(3) + create_event(4)
    parser.feed(events.replace(b"\n", line_end))
    assert parser.last_id == b"4"
