"""Router and listener as a process that SIGTERM shuts down gracefully.

python -m tests.serving.shutdown_process ENGINE_PORT CONCURRENCY
"""

import random
import signal
import sys

import anyio

from dotterelbridge.clock import SystemClock
from dotterelbridge.permits.limiter import create_lone_rate_limiter
from dotterelbridge.quarantine.guard import create_lone_crash_guard
from dotterelbridge.routing.router import create_router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.serving.callers import create_caller_app
from dotterelbridge.serving.listener import create_caller_listener
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.targets.settings import TargetsSettings
from tests.serving.fakes import DOMAIN
from tests.serving.fakes import REGION
from tests.serving.fakes import FakeClaims
from tests.serving.fakes import FakeMembership
from tests.serving.fakes import FakeSheet
from tests.serving.fakes import engine_view
from tests.serving.fakes import model_row


async def main(engine_port: int, concurrency: int) -> None:
    clock = SystemClock()
    rng = random.Random(1)
    routing = RoutingSettings(
        initial_concurrency=concurrency, concurrency_limit=concurrency
    )
    serving = ServingSettings(port=0, balancer_lead_s=1)
    membership = FakeMembership()
    router = create_router(
        membership,
        FakeSheet((model_row(deadline_ms=60000),)),
        clock,
        routing,
        rng,
        TargetsSettings(),
        DOMAIN,
        REGION,
        create_lone_rate_limiter(clock, rng),
        create_lone_crash_guard(clock),
    )
    membership.set(engine_view("e1", engine_port))
    app = create_caller_app(router, FakeClaims(), clock, serving, routing, rng)
    listener = create_caller_listener(app, serving, clock)
    async with anyio.create_task_group() as group:
        group.start_soon(router.run)
        group.start_soon(listener.run)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            print(listener.port, flush=True)
            async for _ in signals:
                break
        await listener.drain()
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, int(sys.argv[1]), int(sys.argv[2]))
