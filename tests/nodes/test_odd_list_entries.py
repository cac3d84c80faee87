"""Entries of another writer in the platform's list of targets.

Such an entry names no target; the sound entries of the page stay in use, and
the process that reads the list goes on.
"""

from datetime import timedelta
import importlib
import json
from pathlib import Path
import sys

import pytest

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.errors import ListingFailed
from dotterelbridge.fleet.messages import FleetUpdate
from dotterelbridge.json_documents import split_array
from dotterelbridge.peers.frames import FrameKind
from dotterelbridge.peers.frames import encode_message
from dotterelbridge.targets.settings import TargetsSettings
from tests.serving.fakes import FakeTarget
from tests.serving.fakes import run_async

PLATFORM = Path(__file__).resolve().parent.parent.parent / "platform"
TIMEOUT = timedelta(seconds=5)
PLACEHOLDER = "@value"

UNREADABLE = {
    "100,000 arrays": b"[" * 100_000 + b"]" * 100_000,
    "50,000 objects": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
    "900 arrays": b"[" * 900 + b"]" * 900,
    "number of 5,000 digits": b"9" * 5_000,
    "lone surrogate": b'"i-\\ud800"',
    "bytes that are not UTF-8": b'"i-\xff"',
    "raw control character": b'"i-\x01"',
    "no JSON value": b"nothing",
}
MISTYPED = {
    "number": b"-1",
    "64 bits": str(2**64).encode(),
    "400 digits": b"9" * 400,
    "null": b"null",
    "text with a line break": b'"i-1\\r\\nX-Other: 1"',
    "empty text": b'""',
    "empty object": b"{}",
    "list of numbers": b"[1]",
}
FIELDS = (
    "id",
    "service",
    "address",
    "zone",
    "state",
    "slots",
    "born",
    "models",
)
CASES = (
    [
        pytest.param(field, value, id=f"{field}-{name}")
        for field in FIELDS
        for name, value in (UNREADABLE | MISTYPED).items()
    ]
    + [
        pytest.param("version", value, id=f"version-{name}")
        for name, value in (UNREADABLE | MISTYPED).items()
        # An unknown version, like a missing one.
        if name != "empty text"
    ]
    + [
        pytest.param("unnamed", value, id=f"unnamed-{name}")
        for name, value in UNREADABLE.items()
        # Readable, though no use is made of it.
        if name != "900 arrays"
    ]
)


@pytest.fixture(scope="module")
def listing():
    known = set(sys.modules)
    with pytest.MonkeyPatch.context() as patch:
        patch.syspath_prepend(str(PLATFORM))
        yield importlib.import_module("listing")
    for name in set(sys.modules) - known:
        del sys.modules[name]


def create_entry(number, **fields):
    entry = {
        "id": f"i-{number}",
        "service": "llm",
        "address": f"10.0.0.{number}:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "born": 7,
    }
    return entry | fields


def create_page(*entries, value=b""):
    page = json.dumps({"instances": entries, "next": None}).encode()
    return page.replace(json.dumps(PLACEHOLDER).encode(), value)


def fetch(listing, page):
    """Return the targets of a list of one page."""

    async def serve(received):
        await received.answer(page)

    async def read():
        fake = FakeTarget("list", serve)
        await fake.start()
        client = listing.calls.create_client(
            "list", "127.0.0.1", fake.port, TargetsSettings(), SystemClock()
        )
        source = listing.PlatformListing(client, {"a"})
        try:
            found.extend(await source.fetch(TIMEOUT))
        finally:
            await fake.stop()

    found = []
    run_async(read)()
    return found


@pytest.mark.parametrize(("field", "value"), CASES)
def test_odd_entry_names_no_target_and_the_others_hold(listing, field, value):
    # Guards against control processes that end by the list (review/2).
    page = create_page(
        create_entry(1),
        create_entry(2, **{field: PLACEHOLDER}),
        create_entry(3),
        value=value,
    )
    found = fetch(listing, page)
    assert [target.target for target in found] == ["i-1", "i-3"]


@pytest.mark.parametrize(
    ("listed", "software"),
    [
        ('"v1.1"', "v1.1"),
        ('""', ""),
        (None, ""),
        (f'"{"v" * 255}"', "v" * 255),
    ],
)
def test_software_version_of_a_target_is_read(listing, listed, software):
    # Guards against streams that go on at another version.
    entry = create_entry(1, version=PLACEHOLDER)
    if listed is None:
        del entry["version"]
    page = create_page(entry, value=(listed or "").encode())
    (target,) = fetch(listing, page)
    assert target.software == software


def test_entry_with_a_long_software_version_names_no_target(listing):
    # Guards against updates that grow with what another writer lists.
    page = create_page(create_entry(1, version="v" * 256))
    assert not fetch(listing, page)


@pytest.mark.parametrize("port", ["0", "65536", "-1", "9" * 5000, "http", ""])
def test_entry_with_a_port_out_of_range_names_no_target(listing, port):
    odd = create_entry(2, address=f"10.0.0.2:{port}")
    found = fetch(listing, create_page(create_entry(1), odd))
    assert [target.target for target in found] == ["i-1"]


@pytest.mark.parametrize("name", ["lone surrogate", "no JSON value"])
def test_odd_entry_does_not_stop_the_list_at_its_page(listing, name):
    # Guards against a page whose next one is never read.
    pages = {
        b"/instances": json.dumps(
            {"next": 'p"[2', "instances": [PLACEHOLDER, create_entry(1)]}
        )
        .encode()
        .replace(json.dumps(PLACEHOLDER).encode(), UNREADABLE[name]),
        b"/instances?page_token=p%22%5B2": create_page(create_entry(2)),
    }

    async def serve(received):
        await received.answer(pages[received.path.encode()])

    async def check():
        fake = FakeTarget("list", serve)
        await fake.start()
        client = listing.calls.create_client(
            "list", "127.0.0.1", fake.port, TargetsSettings(), SystemClock()
        )
        found = await listing.PlatformListing(client, {"a"}).fetch(TIMEOUT)
        assert [target.target for target in found] == ["i-1", "i-2"]
        await fake.stop()

    run_async(check)()


def test_targets_of_a_list_can_be_passed_on(listing):
    # Guards against an answer to an entry VM that cannot be encoded.
    damaged = create_entry(2, id=PLACEHOLDER)
    page = create_page(create_entry(1), damaged, value=b'"i-\\ud800"')
    targets = tuple(fetch(listing, page))
    encode_message(FrameKind.ANSWER, create_update(targets))


def create_update(targets):
    return FleetUpdate(
        epoch="e",
        revision=1,
        is_complete=True,
        is_snapshot=True,
        changed=targets,
        detached_ms=0,
        entry_vm_count=1,
    )


@pytest.mark.parametrize(
    "page",
    [
        b"",
        b"[]",
        b'{"instances": 5, "next": null}',
        b'{"instances": [{"id": "i-',
        b'{"instances": []}',
        b'{"instances": [], "next": 7}',
        b"[" * 100_000,
        b'{"next": ' + b"[" * 100_000 + b"]" * 100_000 + b', "instances":[]}',
    ],
)
def test_page_that_is_no_page_fails_the_read(listing, page):
    # Guards against a process that ends by what the platform sends.
    with pytest.raises(ListingFailed):
        fetch(listing, page)


@pytest.mark.parametrize(
    "document",
    [
        '{"a": []}',
        '{"b": [1, 2], "a": [3, [4, 5], {"a": [6]}]}',
        '{"b": {"a": [9]}, "a": ["x,]\\"y", 1]}',
        '{"x": "a", "a": [1]}',
    ],
)
def test_array_is_cut_out_of_a_document(document):
    rest, cut = split_array(document, "a")
    expected = json.loads(document)
    assert [json.loads(element) for element in cut] == expected["a"]
    assert json.loads(rest) == expected | {"a": []}
