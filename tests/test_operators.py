"""Tests of the operator API and of the command-line tool."""

import io
import json

import anyio
import httpx
import pytest
from starlette.responses import JSONResponse
from starlette.routing import Route

from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.cli.program import main
from dotterelbridge.dump import Dumpable
from dotterelbridge.dump import DumpRegistry
from dotterelbridge.logs import RecentEvents
from dotterelbridge.serving.operators import MAX_BODY_BYTES
from dotterelbridge.serving.operators import create_operator_app

TOKEN = b"a-long-token"


class FakePart(Dumpable):
    def dump(self):
        return {"count": 3}


async def respond_with_body_size(request):
    return JSONResponse(len(await request.body()))


class AppTransport(httpx.BaseTransport):
    """Sends a synchronous client's requests to an ASGI application."""

    def __init__(self, app):
        self._app = app

    def handle_request(self, request):
        return anyio.run(self._handle, request)

    async def _handle(self, request):
        transport = httpx.ASGITransport(self._app)
        async with httpx.AsyncClient(transport=transport) as client:
            response = await client.request(
                request.method,
                request.url,
                headers=request.headers,
                content=request.read(),
            )
        return httpx.Response(response.status_code, content=response.content)


@pytest.fixture
def app():
    registry = DumpRegistry()
    registry.add("counter", FakePart())
    return create_operator_app(
        TOKEN,
        registry,
        RecentEvents(),
        lambda: {"vm": "vm-1"},
        [Route("/upload", respond_with_body_size, methods=["PUT"])],
    )


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "token"
    path.write_bytes(TOKEN + b"\n")
    return str(path)


@pytest.fixture
def run_tool(app, token_file):
    def run(*args):
        env = Environment(
            stdout=io.StringIO(),
            stderr=io.StringIO(),
            variables={"DOTTERELBRIDGE_TOKEN_FILE": token_file},
            transport=AppTransport(app),
        )
        status = main(args, env)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    return run


def test_dump_of_one_part(run_tool):
    status, out, _ = run_tool("dump", "counter")
    assert status is ExitStatus.OK
    assert json.loads(out) == {"count": 3}


def test_unknown_part_is_refused_and_known_parts_are_listed(run_tool):
    status, _, err = run_tool("dump", "engine")
    assert status is ExitStatus.REFUSED
    assert err.startswith("dotterelbridge: error: there is no part")
    assert "counter" in err


def test_wrong_token_is_refused(run_tool, tmp_path):
    other = tmp_path / "other"
    other.write_text("guess")
    status, _, err = run_tool("--token-file", str(other), "dump")
    assert status is ExitStatus.UNAUTHORIZED
    assert "operator_token_file" in err


def test_status_as_table_and_json(run_tool):
    assert "vm       vm-1" in run_tool("status")[1]
    assert json.loads(run_tool("--output", "json", "status")[1])["vm"]


def test_metrics_in_prometheus_format(run_tool):
    status, out, _ = run_tool("metrics")
    assert status is ExitStatus.OK
    assert "# HELP" in out


def test_missing_token_file_is_reported(run_tool):
    status, _, err = run_tool("--token-file", "/nowhere/token", "status")
    assert status is ExitStatus.ERROR
    assert err.startswith("dotterelbridge: error: cannot read /nowhere/token")


def test_oversized_body_is_refused(app):
    transport = AppTransport(app)
    client = httpx.Client(base_url="http://vm", transport=transport)
    response = client.put(
        "/upload",
        content=b"x" * (MAX_BODY_BYTES + 1),
        headers={"Authorization": f"Bearer {TOKEN.decode()}"},
    )
    assert response.status_code == httpx.codes.REQUEST_ENTITY_TOO_LARGE
    assert response.json()["error"]["remedy"]


def test_exit_status_of_usage_error_and_help(run_tool):
    assert run_tool("frobnicate")[0] is ExitStatus.USAGE
    assert run_tool("--help")[0] is ExitStatus.OK
