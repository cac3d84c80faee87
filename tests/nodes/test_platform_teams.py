"""Teams from the platform's configuration, with the platform's headers."""

import anyio
import pytest

from tests.nodes.test_platform_path import WAIT_TIMEOUT_S
from tests.nodes.test_platform_path import create_configuration
from tests.nodes.test_platform_path import run_deployment

pytestmark = pytest.mark.anyio
KEY = "k-5f3a"
TEAM_HEADER = b"x-dotterelbridge-tenant"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def create_document(version, keys):
    tenants = [{"name": "norte", "api_keys": keys, "rate_per_s": 0}]
    return create_configuration(version) | {"tenants": tenants}


async def test_key_is_served_until_it_is_taken_away_and_is_never_passed_on(
    tmp_path, capfd
):
    headers = {
        "authorization": f"Bearer {KEY}",
        "X_Dotterelbridge_Tenant": "forged",
    }
    async with run_deployment(tmp_path) as deployment:
        await deployment.submit(create_document(1, [KEY]))
        await deployment.wait_until_ready()

        async def wait_for_status(status, **sent) -> None:
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while True:
                    response = await deployment.send_request("m0", **sent)
                    if response.status_code == status:
                        return
                    assert KEY not in response.text
                    await anyio.sleep(0.05)

        await wait_for_status(200, **headers)
        await wait_for_status(401)
        await wait_for_status(401, authorization=f"Bearer {KEY}x")
        response = await deployment.submit(create_document(2, []))
        assert response.status_code == 200
        await wait_for_status(401, **headers)
        for node in deployment.nodes:
            node.write_dump()
    received = deployment.replica.received_headers
    assert received
    for fields in received:
        names = [name.lower() for name, _ in fields]
        assert dict(fields)[TEAM_HEADER] == b"norte"
        assert names.count(TEAM_HEADER) == 1
        assert b"authorization" not in names
        assert b"forged" not in dict(fields).values()
    output = "".join(capfd.readouterr())
    assert "state_dumped" in output
    assert KEY not in output
