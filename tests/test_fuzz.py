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
from dotterelbridge.serving.request import parse_inference
from dotterelbridge.settings import load_settings
from dotterelbridge.sheet.parser import KnownNames
from dotterelbridge.sheet.parser import parse_sheet
from dotterelbridge.sheet.settings import SheetSettings
from tests.serving.fakes import run_serving

CONFIG_FOLDER = pathlib.Path(__file__).parent.parent / "config"
SHEET_HEADER = (
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
def corrupt_bytes(draw, original):
    """Return the bytes with one to six short ranges replaced at random."""
    data = bytearray(original)
    for _ in range(draw(st.integers(1, 6))):
        offset = draw(st.integers(0, max(0, len(data) - 1)))
        data[offset : offset + draw(st.integers(0, 4))] = draw(
            st.binary(max_size=4)
        )
    return bytes(data)


@given(corrupt_bytes((CONFIG_FOLDER / "liffeyside.ini").read_bytes()))
def test_corrupt_settings_load_or_raise_settings_error(content):
    with tempfile.NamedTemporaryFile(suffix=".ini") as file:
        file.write(content)
        file.flush()
        try:
            load_settings(file.name)
        except SettingsError as error:
            assert error.remedy


@given(text_lines)
def test_any_csv_is_parsed_or_raises_sheet_error(rows):
    content = (SHEET_HEADER + "\n".join(rows)).encode()
    try:
        parse_sheet(content, KnownNames(), SheetSettings())
    except SheetError as error:
        assert error.remedy


@given(st.binary(max_size=200) | json_values.map(cbor2.dumps))
def test_any_frame_is_decoded_or_raises_peer_error(data):
    try:
        frame = frames.decode_frame(data)
        frames.decode_message(frame)
    except PeerError as error:
        assert error.remedy


@given(
    st.sampled_from(messages.list_message_names()),
    st.dictionaries(st.text(max_size=12), json_values, max_size=4),
)
def test_messages_with_any_fields_are_decoded_or_raise_peer_error(name, body):
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
def test_any_inference_body_is_parsed_or_raises_request_refused(body):
    try:
        parse_inference(body)
    except RequestRefused as error:
        assert error.remedy


@given(st.data())
def test_corrupt_storage_is_truncated_or_raises_storage_error(data):
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name) / "log"
        written_entries = write_sample_entries(folder)
        damaged_file = data.draw(st.sampled_from(sorted(folder.iterdir())))
        damaged_file.write_bytes(
            data.draw(corrupt_bytes(damaged_file.read_bytes()))
        )
        storage = create_file_storage(folder)
        try:
            entries = storage.open().entries
        except StorageError as error:
            assert error.remedy
        else:
            assert entries == written_entries[: len(entries)]
        finally:
            storage.close()


def write_sample_entries(folder):
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
