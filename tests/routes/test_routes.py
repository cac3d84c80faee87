"""Routes: checked, found by host and path, and never reverting."""

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


def encode(route_set) -> bytes:
    return msgspec.json.encode(route_set)


def test_a_document_is_read_back_as_it_was_sent():
    document = encode(create_route_set()) + b"\n "
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
def test_a_faulty_route_is_refused(route):
    with pytest.raises(RoutesInvalid):
        create_native_format().decode(encode(create_route_set(1, [route])))


def test_two_routes_at_one_place_are_refused():
    routes = [create_route("a", prefix="/x/"), create_route("b", prefix="/x/")]
    with pytest.raises(RoutesInvalid, match="share"):
        create_native_format().decode(encode(create_route_set(1, routes)))


@pytest.mark.parametrize("cut", [1, 40, 200])
def test_a_document_that_is_cut_short_is_refused(cut):
    document = encode(create_route_set())[:-cut]
    with pytest.raises(RoutesInvalid):
        create_native_format().decode(document)


def test_the_longest_prefix_wins():
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
    find = active_routes.find_route
    assert find("quotes.example", "/a/b/c").name == "b"
    assert find("Quotes.Example", "/a/bc").name == "a"
    assert find("other.example", "/a/b/c").name == "other"
    assert find("quotes.example", "/c/a/") is None
    assert find("nobody.example", "/a/") is None


def test_what_is_in_force_never_reverts():
    active_routes = activate_route_set(create_route_set(5))
    old = pack_routes(4, encode(create_route_set(4)))
    assert not active_routes.activate(old)
    assert active_routes.version == 5


def test_a_known_or_lower_version_is_acknowledged_and_changes_nothing():
    table = RouteTable()
    first = pack_routes(7, encode(create_route_set(7)))
    rival = pack_routes(7, encode(create_route_set(7, [])))
    late = pack_routes(3, encode(create_route_set(3)))
    for index, offered in enumerate((first, rival, late, first), start=1):
        result = table.apply(index, encode_command(offered))
        assert decode_result(result) == 7
    assert table.held == first


def test_the_table_survives_a_snapshot_and_begins_anew_with_an_empty_one():
    table = RouteTable()
    empty = table.take_snapshot()
    seen = []
    table.subscribe(lambda packed: seen.append(packed.version))
    table.apply(1, encode_command(pack_routes(2, b"{}")))
    other = RouteTable()
    other.restore_snapshot(table.take_snapshot())
    assert other.held.version == 2
    table.restore_snapshot(empty)
    assert table.held == NO_ROUTES
    assert seen == [2, -1]
