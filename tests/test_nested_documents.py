"""Documents from outside that are nested too deeply, or hold huge numbers.

Each is rejected like any other malformed document. The interpreter reports
nesting beyond its stack by an error of another kind, which once ended the
process that had read the document.
"""

from datetime import timedelta
import importlib
from pathlib import Path
import sys

import msgspec
import pytest

from dotterelbridge.clock import SystemClock
from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.fleet.errors import EngineCallFailed
from dotterelbridge.json_documents import decode_document
from dotterelbridge.routes.document import create_native_format
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.serving.errors import RequestMalformed
from dotterelbridge.serving.request import parse_inference
from dotterelbridge.targets.prefix import list_prompt_blocks
from dotterelbridge.targets.prefix import list_prompt_prefixes
from dotterelbridge.targets.settings import TargetsSettings
from tests.fleet.support import create_target
from tests.routes.support import create_route
from tests.routes.support import create_route_set
from tests.serving.fakes import FakeTarget
from tests.serving.fakes import run_async

PLATFORM = Path(__file__).resolve().parent.parent / "platform"
TIMEOUT = timedelta(seconds=5)
NESTED = [
    pytest.param(b"[" * 100_000 + b"]" * 100_000, id="arrays"),
    pytest.param(b'{"a":' * 50_000 + b"1" + b"}" * 50_000, id="objects"),
    pytest.param(b"9" * 5_000, id="number of 5,000 digits"),
]


@pytest.fixture(scope="module")
def platform_module():
    known = set(sys.modules)
    with pytest.MonkeyPatch.context() as patch:
        patch.syspath_prepend(str(PLATFORM))
        yield importlib.import_module
    for name in set(sys.modules) - known:
        del sys.modules[name]


@pytest.mark.parametrize("value", NESTED)
def test_document_is_malformed(value):
    with pytest.raises(DocumentMalformed):
        decode_document(value)


def read_report(platform_module, body):
    engines = platform_module("engines")

    async def serve(received):
        await received.answer(body)

    async def read():
        fake = FakeTarget("e1", serve)
        await fake.start()
        control = engines.PlatformEngines(TargetsSettings(), SystemClock())
        target = create_target("e1", port=fake.port)
        try:
            await control.fetch_report(target, TIMEOUT)
        finally:
            await fake.stop()

    run_async(read)()


@pytest.mark.parametrize("field", ["seq", "models", "runs", "active"])
@pytest.mark.parametrize("value", NESTED)
def test_report_of_an_engine_is_invalid(platform_module, field, value):
    # Guards against control processes that end by an engine's report.
    body = b'{"seq": 1, "%b": %b}' % (field.encode(), value)
    with pytest.raises(EngineCallFailed):
        read_report(platform_module, body)


@pytest.mark.parametrize("field", ["seq", "queued", "active", "kv_used"])
@pytest.mark.parametrize("value", [b"-1", b"1" + b"0" * 30])
def test_report_with_a_count_out_of_range_is_invalid(
    platform_module, field, value
):
    # Guards against loads that no engine can have.
    body = b'{"seq": 1, "%b": %b}' % (field.encode(), value)
    with pytest.raises(EngineCallFailed):
        read_report(platform_module, body)


@pytest.mark.parametrize("value", NESTED[:2])
def test_configuration_is_rejected(platform_module, value):
    # Guards against an answer 500, by which operators send it to each VM.
    for routes_format in (
        platform_module("documents").PlatformFormat(),
        create_native_format(),
    ):
        document = b'{"version": 1, "x": %b}' % value
        with pytest.raises(RoutesInvalid):
            routes_format.decode(document)


@pytest.mark.parametrize(
    "route_set",
    [
        create_route_set(10**30),
        create_route_set(2**63),
        create_route_set(-1),
        create_route_set(1, [create_route(time_limit_ms=10**30)]),
    ],
)
def test_configuration_with_a_number_out_of_range_is_rejected(route_set):
    # Guards against a version that is accepted and cannot be stored.
    with pytest.raises(RoutesInvalid):
        create_native_format().decode(msgspec.json.encode(route_set))


@pytest.mark.parametrize("value", NESTED)
def test_prompt_has_no_blocks(value):
    # Guards against a caller who gets no answer.
    body = b'{"model": "m", "prompt": %b}' % value
    assert list_prompt_blocks("m", body) == ()
    assert list_prompt_prefixes("m", body) == ()


@pytest.mark.parametrize("value", NESTED[:2])
def test_inference_request_is_malformed(value):
    with pytest.raises(RequestMalformed):
        parse_inference(b'{"model": "m", "prompt": %b}' % value)
