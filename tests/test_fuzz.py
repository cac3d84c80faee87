"""Malformed input of any kind is refused by a typed error.

``make fuzz`` runs these with thousands of fresh examples; a failure
prints a ``reproduce_failure`` line that reruns it.
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

SAMPLES = pathlib.Path(__file__).parent.parent / "config"
HEADER = (
    "kind,business,name,version,base,memory_mb,priority,deadline_ms,"
    "min_copies,callers_at,idempotent\n"
)
json_like = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
lines = st.lists(st.text(st.characters(codec="utf-8"), max_size=60))


@st.composite
def damage(draw, original):
    """Return bytes with a few places overwritten, cut or doubled."""
    data = bytearray(original)
    for _ in range(draw(st.integers(1, 6))):
        at = draw(st.integers(0, max(0, len(data) - 1)))
        data[at : at + draw(st.integers(0, 4))] = draw(st.binary(max_size=4))
    return bytes(data)


@given(damage((SAMPLES / "liffeyside.ini").read_bytes()))
def test_damaged_settings_are_refused_or_load(content):
    with tempfile.NamedTemporaryFile(suffix=".ini") as file:
        file.write(content)
        file.flush()
        try:
            load_settings(file.name)
        except SettingsError as error:
            assert error.remedy


@given(lines)
def test_any_csv_is_parsed_or_refused(rows):
    content = (HEADER + "\n".join(rows)).encode()
    try:
        parse_sheet(content, KnownNames(), SheetSettings())
    except SheetError as error:
        assert error.remedy


@given(st.binary(max_size=200) | json_like.map(cbor2.dumps))
def test_any_frame_is_decoded_or_refused(data):
    try:
        frame = frames.decode_frame(data)
        frames.decode_message(frame)
    except PeerError as error:
        assert error.remedy


@given(
    st.sampled_from(messages.list_message_names()),
    st.dictionaries(st.text(max_size=12), json_like, max_size=4),
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
            name: json_like
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
    """Write a few entries and return them."""
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


BAD_REQUESTS = [
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


@pytest.mark.parametrize("request_bytes", BAD_REQUESTS)
def test_bad_http_is_refused_without_a_traceback(request_bytes):
    answer = anyio.run(send_to_listener, request_bytes)
    assert b"Traceback" not in answer
    assert answer == b"" or answer.startswith(b"HTTP/1.1 4"), answer[:80]


async def send_to_listener(request_bytes):
    async with run_serving() as world:
        return await exchange(world.port, request_bytes)


async def exchange(port, request_bytes):
    """Send bytes, end the sending side, return what comes back."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.send(request_bytes)
            await stream.send_eof()
            while True:
                received += await stream.receive()
    return received
