"""Seeds that change while a control VM runs."""

import anyio
import httpx
import pytest

from tests.nodes.test_platform_path import CONTROL_ADDRESSES
from tests.nodes.test_platform_path import WAIT_TIMEOUT_S
from tests.nodes.test_platform_path import create_configuration
from tests.nodes.test_platform_path import run_deployment
from tests.nodes.test_platform_path import wire

pytestmark = pytest.mark.anyio
NEW_ADDRESS = "127.0.0.5"
GONE_ADDRESS = "127.0.0.9"


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards against a VM that stays empty, because it asks only the seeds that
# its settings named at its start for the group.
@pytest.mark.parametrize("is_signalled", [True, False])
async def test_empty_control_vm_joins_through_reloaded_seeds(
    tmp_path, is_signalled
):
    async with run_deployment(tmp_path) as deployment:
        await deployment.submit(create_configuration())
        node = deployment.create_control(
            9, NEW_ADDRESS, seeds=[GONE_ADDRESS], bootstrap=False
        )
        settings_file = tmp_path / "c9.ini"
        url = f"http://{NEW_ADDRESS}:{deployment.operator_port}"
        async with anyio.create_task_group() as group:
            group.start_soon(node.run_components)
            settings_file.write_text(
                settings_file.read_text().replace(
                    GONE_ADDRESS, CONTROL_ADDRESSES[0]
                )
            )
            if is_signalled:
                node.reload()
            async with httpx.AsyncClient(timeout=5) as client:
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while True:
                        try:
                            response = await client.get(
                                url + wire.CONFIGURATION_PATH
                            )
                            if response.status_code == 200:
                                break
                        except httpx.TransportError:
                            pass
                        await anyio.sleep(0.1)
            assert response.json()["version"] == 1
            group.cancel_scope.cancel()
