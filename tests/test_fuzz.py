"""Malformed input is parsed or rejected with a typed error, never a crash.

``make fuzz`` runs these tests with thousands of random examples. A failure
prints a ``reproduce_failure`` line that repeats it.
"""

import contextlib
import pathlib
import tempfile

import anyio
import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

import dotterelbridge.assembly  # noqa: F401 registers all messages
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import RequestRefused
from dotterelbridge.errors import SettingsError
from dotterelbridge.errors import SheetError
from dotterelbridge.errors import StorageError
from dotterelbridge.peers import frames
from dotterelbridge.peers import messages
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.serving.framing import FramingError
from dotterelbridge.serving.framing import MessageFramer
from dotterelbridge.serving.request import parse_inference
from dotterelbridge.settings import load_settings
from dotterelbridge.sheet.parser import KnownNames
from dotterelbridge.sheet.parser import parse_sheet
from dotterelbridge.sheet.settings import SheetSettings
from tests.gateway.support import run_gateway
from tests.serving.fakes import run_serving

CONFIG_FOLDER = pathlib.Path(__file__).parent.parent / "config"
HEADER = (
    "kind,business,name,version,base,memory_mb,priority,deadline_ms,"
    "min_copies,callers_at,idempotent\n"
)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
text_lines = st.lists(st.text(st.characters(codec="utf-8"), max_size=60))


@st.composite
def damage(draw, original):
    """Return the bytes with one to six short ranges replaced at random."""
    data = bytearray(original)
    for _ in range(draw(st.integers(1, 6))):
        offset = draw(st.integers(0, max(0, len(data) - 1)))
        data[offset : offset + draw(st.integers(0, 4))] = draw(
            st.binary(max_size=4)
        )
    return bytes(data)


@given(damage((CONFIG_FOLDER / "liffeyside.ini").read_bytes()))
def test_damaged_settings_are_refused_or_load(content):
    with tempfile.NamedTemporaryFile(suffix=".ini") as file:
        file.write(content)
        file.flush()
        try:
            load_settings(file.name)
        except SettingsError as error:
            assert error.remedy


@given(text_lines)
def test_any_csv_is_parsed_or_refused(rows):
    content = (HEADER + "\n".join(rows)).encode()
    try:
        parse_sheet(content, KnownNames(), SheetSettings())
    except SheetError as error:
        assert error.remedy


@given(st.binary(max_size=200) | json_values.map(cbor2.dumps))
def test_any_frame_is_decoded_or_refused(data):
    try:
        frame = frames.decode_frame(data)
        frames.decode_message(frame)
    except PeerError as error:
        assert error.remedy


@given(
    st.sampled_from(messages.list_message_names()),
    st.dictionaries(st.text(max_size=12), json_values, max_size=4),
)
def test_messages_with_wrong_fields_are_refused(name, body):
    data = cbor2.dumps([int(frames.FrameKind.MESSAGE), 0, name, body])
    try:
        frames.decode_message(frames.decode_frame(data))
    except PeerError as error:
        assert error.remedy


@given(
    st.binary(max_size=100)
    | st.fixed_dictionaries(
        {},
        optional={
            name: json_values
            for name in ("model", "stream", "messages", "prompt", "max_tokens")
        },
    ).map(lambda body: repr(body).replace("'", '"').encode())
)
def test_any_inference_body_is_parsed_or_refused(body):
    try:
        parse_inference(body)
    except RequestRefused as error:
        assert error.remedy


@given(st.data())
def test_damaged_storage_is_cut_or_refused(data):
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name) / "log"
        written = fill_storage(folder)
        damaged = data.draw(st.sampled_from(sorted(folder.iterdir())))
        damaged.write_bytes(data.draw(damage(damaged.read_bytes())))
        storage = create_file_storage(folder)
        try:
            entries = storage.open().entries
        except StorageError as error:
            assert error.remedy
        else:
            assert entries == written[: len(entries)]
        finally:
            storage.close()


def fill_storage(folder):
    """Write five log entries to a new storage and return them."""
    storage = create_file_storage(folder)
    storage.open()
    storage.write_ballot(Ballot(1, "someone"))
    entries = [
        Entry(index, 1, EntryKind.COMMAND, "history", bytes(index))
        for index in range(1, 6)
    ]
    storage.append(entries)
    storage.close()
    return entries


MALFORMED_REQUESTS = [
    b"\r\n\r\n",
    b"GET\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{",
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
    b"Content-Length: 1\r\n\r\n[",
    b"GET /%00 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /services//x HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /services/../../etc HTTP/1.1\r\nHost: a\r\n\r\n",
    b"BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 70_000 + b"\r\n\r\n",
]


@pytest.mark.parametrize("request_bytes", MALFORMED_REQUESTS)
def test_malformed_http_gets_no_traceback_and_at_most_a_4xx(request_bytes):
    response = anyio.run(send_to_listener, request_bytes)
    assert b"Traceback" not in response
    assert response == b"" or response.startswith(b"HTTP/1.1 4"), response[:80]


async def send_to_listener(request_bytes):
    async with run_serving() as harness:
        return await send_and_receive_all(harness.port, request_bytes)


async def send_and_receive_all(port, request_bytes):
    """Send bytes, close the sending side and return all bytes received."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.send(request_bytes)
            await stream.send_eof()
            while True:
                received += await stream.receive()
    return received


def create_request(headers: list[bytes], body: bytes) -> bytes:
    """Return a request of the lines given, with a well-formed start."""
    head = [b"POST /look/x HTTP/1.1", b"host: a", *headers]
    return b"\r\n".join(head) + b"\r\n\r\n" + body


chunks = st.lists(
    st.builds(
        lambda data, extension: (
            b"%x%b\r\n%b\r\n" % (len(data), extension, data)
        ),
        st.binary(min_size=1, max_size=40),
        st.sampled_from([b"", b";a", b';a="b"', b" ;a=b"]),
    ),
    max_size=4,
).map(b"".join)
trailers = st.sampled_from([b"", b"x-late: 1\r\n", b"a:\r\nb: c\r\n"])
whole_requests = st.one_of(
    st.binary(max_size=60).map(
        lambda body: create_request([b"content-length: %d" % len(body)], body)
    ),
    st.builds(
        lambda data, fields: create_request(
            [b"transfer-encoding: chunked"], data + b"0\r\n" + fields + b"\r\n"
        ),
        chunks,
        trailers,
    ),
)
pipelines = st.lists(whole_requests, min_size=1, max_size=4).map(b"".join)


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    """Return the data cut at the positions."""
    cuts = sorted({min(position, len(data)) for position in positions})
    starts = [0, *cuts]
    return [data[a:b] for a, b in zip(starts, [*cuts, len(data)], strict=True)]


@given(pipelines, st.lists(st.integers(0, 400), max_size=12))
def test_parts_of_requests_do_not_depend_on_how_they_arrive(data, cuts):
    """A part that is found only in one piece would be lost in two."""
    whole = frame_pieces([data])
    assert frame_pieces(split_at(data, cuts)) == whole
    assert b"".join(whole[1]) == data


def frame_pieces(pieces: list[bytes]) -> tuple[list[bytes], list[bytes]]:
    """Return the heads, and all parts of each message together."""
    framer = MessageFramer()
    heads = []
    messages = []
    is_head = True
    for piece in pieces:
        for part in framer.split(piece, 1024):
            if is_head:
                heads.append(part)
                messages.append(b"")
                length = part.partition(b"content-length: ")[2]
                framer.start_body(
                    int(length.split(b"\r\n")[0]) if length else None
                )
            messages[-1] += part
            is_head = framer.is_between_messages
    assert framer.is_between_messages
    assert not framer.held_bytes
    return heads, messages


@given(
    st.one_of(
        pipelines.flatmap(damage),
        st.binary(max_size=200),
        st.lists(
            st.sampled_from(
                [b"\r", b"\n", b":", b" ", b";", b"0", b"f", b"a", b"\x00"]
            ),
            max_size=60,
        ).map(lambda tail: create_request([], b"")[:-2] + b"".join(tail)),
    )
)
def test_damaged_requests_are_framed_or_refused_within_the_limit(data):
    framer = MessageFramer()
    with contextlib.suppress(FramingError):
        for part in framer.split(data, 256):
            if part.startswith(b"POST "):
                framer.start_body(None if b"chunked" in part else 3)
    assert framer.held_bytes <= 256


def check_responses(received: bytes) -> None:
    """Check that each response begins where the one before it ends.

    The last one may be cut, where the caller has stopped reading.
    """
    while b"\r\n\r\n" in received:
        head, _, rest = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 "), received[:80]
        assert not head.startswith(b"HTTP/1.1 500"), received[:200]
        length = head.partition(b"\r\ncontent-length: ")[2]
        size = int(length.split(b"\r\n")[0])
        received = rest[size:]


async def send_pieces(port: int, pieces: list[bytes]) -> bytes:
    """Send pieces one after the other; return all bytes received."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            for piece in pieces:
                if piece:
                    await stream.send(piece)
                    await anyio.sleep(0)
            await stream.send(LAST_REQUEST)
            with anyio.move_on_after(FUZZ_WAIT_S):
                while True:
                    received += await stream.receive()
    return received


LAST_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
"""Ends the connection once all requests before it are answered."""
FUZZ_WAIT_S = 0.3
"""Ends a connection whose damaged request waits for the rest of its body."""
LISTENER_EXAMPLE_COUNT = 60
"""Examples for each listener; each takes some milliseconds."""


@pytest.mark.parametrize("run", [run_serving, run_gateway])
def test_damaged_pipelines_get_whole_responses_or_none(run):
    """No bytes of callers raise in the listener or mix two responses."""

    async def check_all(examples):
        async with run() as harness:
            for data, cuts in examples:
                pieces = split_at(data, cuts)
                check_responses(
                    await send_pieces(harness.listener.port, pieces)
                )

    @settings(
        max_examples=max(
            LISTENER_EXAMPLE_COUNT, settings.default.max_examples // 10
        )
    )
    @given(
        st.lists(
            st.tuples(
                pipelines.flatmap(damage) | pipelines,
                st.lists(st.integers(0, 400), max_size=3),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def check(examples):
        anyio.run(check_all, examples)

    check()
