"""A VM vouches for a sole version only where it has watched all the time."""

from datetime import timedelta

import msgspec
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.routes.document import pack_routes
from dotterelbridge.routes.model import TrafficShare
from tests.fleet.support import create_target
from tests.resumption.support import CONTROLS
from tests.resumption.support import HORIZON
from tests.resumption.support import ROUTE
from tests.resumption.support import run_deployment
from tests.routes.support import JOBS
from tests.routes.support import LLM
from tests.routes.support import activate_route_set
from tests.routes.support import create_route
from tests.routes.support import create_route_set


class World:
    """A VM's view, changed step by step."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000)
        self.fleet_state = FleetState(self.clock)
        self.routes = activate_route_set(create_route_set())
        self.is_current = True
        self.restart()

    def restart(self) -> None:
        self.history = VersionHistory(
            self.fleet_state,
            self.routes,
            self.clock,
            lambda: self.is_current,
        )

    def serve(self, *versions) -> None:
        """Replace the targets; each has the version that its place says."""
        self.fleet_state.replace(
            [
                create_target(f"t{n}", software=version)
                for n, version in enumerate(versions)
            ],
            {},
        )
        self.fleet_state.mark_complete()

    def wait(self, seconds) -> None:
        for _ in range(int(seconds * 4)):
            self.clock.advance(timedelta(milliseconds=250))
            self.history.observe()

    def lag(self, seconds) -> None:
        """The view is outdated for a time, and nothing arrives."""
        self.is_current = False
        self.wait(seconds)
        self.is_current = True

    def pause(self, seconds) -> None:
        """The process is suspended; then it reads what was sent before."""
        self.clock.advance(timedelta(seconds=seconds))
        self.history.observe()

    def route_to(self, service) -> None:
        route = create_route(shares=(TrafficShare(service, 1),))
        version = self.routes.version + 1
        route_set = create_route_set(version, [route])
        self.routes.activate(
            pack_routes(version, msgspec.json.encode(route_set))
        )


SETTLED = [("serve", "v1"), ("wait", 30)]
CASES = {
    "settled": (SETTLED, ("v1",), True),
    "not for long enough": ([("serve", "v1"), ("wait", 19)], ("v1",), False),
    "no list was read": ([("wait", 30)], (), False),
    "just started": ([*SETTLED, ("restart",)], ("v1",), False),
    "started long ago": ([*SETTLED, ("restart",), *SETTLED], ("v1",), True),
    "gap": ([*SETTLED, ("lag", 0.5), ("wait", 19)], ("v1",), False),
    "gap that is over": ([*SETTLED, ("lag", 9), ("wait", 21)], ("v1",), True),
    "paused": ([*SETTLED, ("pause", 2), ("wait", 10)], ("v1",), False),
    "paused long ago": (
        [*SETTLED, ("pause", 60), ("wait", 21)],
        ("v1",),
        True,
    ),
    "outdated now": ([*SETTLED, ("lag", 0.5)], ("v1",), False),
    "second version": ([*SETTLED, ("serve", "v1", "v2")], ("v1", "v2"), True),
    "third version": (
        [*SETTLED, ("serve", "v1", "v2", "v3")],
        ("v1", "v2"),
        True,
    ),
    "replaced in place": ([*SETTLED, ("serve", "v2")], ("v1", "v2"), True),
    "replaced, not long ago": (
        [*SETTLED, ("serve", "v2"), ("wait", 19)],
        ("v1", "v2"),
        True,
    ),
    "replaced, long ago": (
        [*SETTLED, ("serve", "v2"), ("wait", 21)],
        ("v2",),
        True,
    ),
    # Of the time of the gap nothing is known: it may have been v3.
    "replaced in a gap": (
        [*SETTLED, ("lag", 9), ("serve", "v2"), ("wait", 10)],
        ("v1", "v2"),
        False,
    ),
    "back for a moment": (
        [
            *SETTLED,
            ("serve", "v1", "v2"),
            ("wait", 1),
            ("serve", "v1"),
            ("wait", 10),
        ],
        ("v1", "v2"),
        True,
    ),
    "none is left": ([*SETTLED, ("serve",), ("wait", 25)], (), True),
    "no versions": ([("serve", "", ""), ("wait", 30)], ("",), True),
    "some versions": ([("serve", "", "v1"), ("wait", 30)], ("", "v1"), True),
    "route moved": (
        [*SETTLED, ("route_to", JOBS), ("route_to", LLM)],
        ("v1",),
        False,
    ),
    "route moved long ago": (
        [*SETTLED, ("route_to", JOBS), ("route_to", LLM), ("wait", 21)],
        ("v1",),
        True,
    ),
    "route leads elsewhere": (
        [*SETTLED, ("route_to", JOBS), ("wait", 30)],
        ("v1",),
        False,
    ),
}


# Guards against a stream that goes on at the version that serves now, though
# another one may have begun it.
@pytest.mark.parametrize(
    ("steps", "versions", "is_complete"), CASES.values(), ids=CASES
)
def test_history(steps, versions, is_complete):
    world = World()
    for step, *arguments in steps:
        getattr(world, step)(*arguments)
    (found,) = world.history.describe(ROUTE, [LLM], HORIZON)
    assert (found.versions, found.is_complete) == (versions, is_complete)


# Guards against one VM's view that others know to be wrong or incomplete.
@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, "v1"),
        # The VM that is asked has just started; another one vouches.
        ({"c-d": "restart", "e-d0": "restart"}, "v1"),
        ({name: "restart" for name in ("c-d", "e-d0", "e-c0")}, "v1"),
        # Nobody has watched over the whole horizon.
        (dict.fromkeys((*CONTROLS, "e-d0"), "restart"), None),
        # Some views lag behind; one VM has seen the new version.
        ({"c-b": ("v1", "v2")}, None),
        ({"c-b": ("v2",)}, None),
        ({"e-d0": ("v1", "v2")}, None),
    ],
)
@pytest.mark.parametrize("request_id", [None, "lost"])
def test_sole_version_is_what_all_vms_have_seen(
    tmp_path, change, expected, request_id
):
    async def check(deployment):
        for name, how in change.items():
            if how == "restart":
                deployment.kill(name)
                deployment.start(name)
            else:
                deployment.vms[name].serve(*how)
        origin = await deployment.find("e-d0", request_id)
        assert (origin and origin.software) == expected

    run_deployment(check, tmp_path, versions=("v1",))
