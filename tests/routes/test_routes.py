"""Tests of route validation, lookup by host and path, and versions."""

import msgspec
import pytest

from dotterelbridge.routes.document import NO_ROUTES
from dotterelbridge.routes.document import create_native_format
from dotterelbridge.routes.document import pack_routes
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.routes.model import TrafficShare
from dotterelbridge.routes.table import RouteTable
from dotterelbridge.routes.table import decode_result
from dotterelbridge.routes.table import encode_command
from tests.routes.support import LLM
from tests.routes.support import activate_route_set
from tests.routes.support import create_route
from tests.routes.support import create_route_set


def encode_route_set(route_set) -> bytes:
    return msgspec.json.encode(route_set)


def test_unpacked_document_equals_submitted_bytes():
    document = encode_route_set(create_route_set()) + b"\n "
    assert pack_routes(1, document).unpack() == document


@pytest.mark.parametrize(
    "route",
    [
        create_route(shares=(TrafficShare("nobody", 1),)),
        create_route(shares=(TrafficShare(LLM, 0),)),
        create_route(shares=()),
        create_route(time_limit_ms=0),
        create_route(prefix="/open"),
    ],
)
def test_invalid_route_is_rejected(route):
    with pytest.raises(RoutesInvalid):
        create_native_format().decode(
            encode_route_set(create_route_set(1, [route]))
        )


def test_routes_with_equal_host_and_prefix_are_rejected():
    routes = [create_route("a", prefix="/x/"), create_route("b", prefix="/x/")]
    with pytest.raises(RoutesInvalid, match="share"):
        create_native_format().decode(
            encode_route_set(create_route_set(1, routes))
        )


def test_routes_whose_hosts_differ_in_case_only_are_rejected():
    # Guards against a route that is accepted and never found.
    routes = [
        create_route("a", host="quotes.example", prefix="/x/"),
        create_route("b", host="Quotes.example", prefix="/x/"),
    ]
    with pytest.raises(RoutesInvalid, match="share"):
        create_native_format().decode(
            encode_route_set(create_route_set(1, routes))
        )


@pytest.mark.parametrize("missing_bytes", [1, 40, 200])
def test_truncated_document_is_rejected(missing_bytes):
    document = encode_route_set(create_route_set())[:-missing_bytes]
    with pytest.raises(RoutesInvalid):
        create_native_format().decode(document)


class CountingPrefixes(dict):
    """Counts the lookups of prefixes."""

    count = 0

    def get(self, prefix):
        self.count += 1
        return super().get(prefix)


# Guards against a path whose lookup takes time with the square of its slashes
# and keeps all other callers waiting (review/7).
@pytest.mark.parametrize("path", ["/" * 15000, "/a" + "/b" * 7000])
def test_lookups_of_a_path_do_not_grow_with_its_slashes(path):
    prefixes = ["/a/", "/a/b/c/", "/c/", "/long" * 20 + "/"]
    routes = [
        create_route(f"r{number}", prefix=prefix)
        for number, prefix in enumerate(prefixes)
    ]
    active_routes = activate_route_set(create_route_set(1, routes))
    counted = {}
    for host, by_prefix in active_routes._by_host.items():
        counted[host] = CountingPrefixes(by_prefix)
    active_routes._by_host = counted
    found = active_routes.find_route("quotes.example", path)
    assert (found and found.prefix) == ("/a/" if path[1] == "a" else None)
    assert counted["quotes.example"].count <= len(prefixes)


def test_longest_prefix_is_chosen():
    active_routes = activate_route_set(
        create_route_set(
            1,
            [
                create_route("a", prefix="/a/"),
                create_route("b", prefix="/a/b/"),
                create_route("other", host="other.example", prefix="/a/"),
            ],
        )
    )
    find_route = active_routes.find_route
    assert find_route("quotes.example", "/a/b/c").name == "b"
    assert find_route("Quotes.Example", "/a/bc").name == "a"
    assert find_route("other.example", "/a/b/c").name == "other"
    assert find_route("quotes.example", "/c/a/") is None
    assert find_route("nobody.example", "/a/") is None


def test_lower_version_is_not_activated():
    active_routes = activate_route_set(create_route_set(5))
    old = pack_routes(4, encode_route_set(create_route_set(4)))
    assert not active_routes.activate(old)
    assert active_routes.version == 5


def test_known_or_lower_version_is_acknowledged_without_change():
    table = RouteTable()
    first = pack_routes(7, encode_route_set(create_route_set(7)))
    rival = pack_routes(7, encode_route_set(create_route_set(7, [])))
    lower = pack_routes(3, encode_route_set(create_route_set(3)))
    for index, submitted in enumerate((first, rival, lower, first), start=1):
        result = table.apply(index, encode_command(submitted))
        assert decode_result(result) == 7
    assert table.newest == first


def test_table_restores_snapshots_and_empty_snapshot_resets_it():
    table = RouteTable()
    empty = table.take_snapshot()
    seen_versions = []
    table.subscribe(lambda packed: seen_versions.append(packed.version))
    table.apply(1, encode_command(pack_routes(2, b"{}")))
    restored = RouteTable()
    restored.restore_snapshot(table.take_snapshot())
    assert restored.newest.version == 2
    table.restore_snapshot(empty)
    assert table.newest == NO_ROUTES
    assert seen_versions == [2, -1]
