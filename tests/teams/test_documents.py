"""Teams in the routes documents of the project and of the platform."""

import json

import msgspec
import pytest

from dotterelbridge.routes.document import create_native_format
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import QuotaUnit
from dotterelbridge.teams.model import Team
from tests.nodes.test_platform_path import create_configuration
from tests.nodes.test_platform_path import documents
from tests.routes.support import create_route_set

KEY = "k-5f3a"
TENANT = {"name": "norte", "api_keys": [KEY]}


def decode(tenants, **changes):
    """Decode a document of the platform with these tenants."""
    document = create_configuration(**changes) | {"tenants": tenants}
    return documents.PlatformFormat().decode(json.dumps(document).encode())


# A field that is missing or null must not make the whole document invalid.
@pytest.mark.parametrize("tenants", [None, []])
def test_document_without_teams_has_none(tenants):
    assert decode(tenants, public=None).teams == ()
    document = json.dumps(create_configuration()).encode()
    assert documents.PlatformFormat().decode(document).teams == ()


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, {}),
        ({"priority": 0}, {"rank": 0}),
        ({"api_keys": None}, {"keys": ()}),
        ({"rate_per_s": 0, "burst": 5, "unit": "tokens"}, {}),
        ({"rate_per_s": None, "priority": None, "unit": None}, {}),
        (
            {"rate_per_s": 5, "burst": None, "plain_tokens": 9},
            {"quota": Quota(units_per_s=5, burst=0)},
        ),
        (
            {"quota": {"rate_per_s": 5, "burst": 1}},
            {"quota": Quota(units_per_s=5, burst=1)},
        ),
        (
            {"rate_per_s": 1900, "burst": 10.5, "unit": "tokens"},
            {
                "quota": Quota(
                    units_per_s=1900,
                    burst=10.5,
                    unit=QuotaUnit.TOKENS,
                    plain_units=200,
                )
            },
        ),
    ],
)
def test_fields_of_a_team(fields, expected):
    decoded = decode([TENANT | fields], public=True)
    assert decoded.routes[0].is_public
    assert decoded.teams == (
        Team(**({"name": "norte", "keys": (KEY,)} | expected)),
    )


@pytest.mark.parametrize(
    "tenants",
    [
        [TENANT, {"name": "sur", "api_keys": ["x", KEY]}],
        [TENANT, {"name": "norte", "api_keys": ["x"]}],
        [TENANT, {"name": KEY + "!", "api_keys": []}, TENANT],
        [{"api_keys": [KEY]}],
        [TENANT | {"name": ""}],
        [TENANT | {"name": "n" * 257}],
        [TENANT | {"name": "nor\nte"}],
        [TENANT | {"name": " norte"}],
        [TENANT | {"api_keys": [KEY, ""]}],
        [TENANT | {"api_keys": [KEY + "k" * 256]}],
        [TENANT | {"api_keys": [KEY + "\r\nx: y"]}],
        [TENANT | {"api_keys": [KEY + "\u20ac"]}],
        [TENANT | {"api_keys": [KEY, 7]}],
        [TENANT | {"rate_per_s": -1}],
        [TENANT | {"burst": -0.5}],
        [TENANT | {"plain_tokens": -1}],
        [TENANT | {"rate_per_s": float("nan")}],
        [TENANT | {"burst": 10**400}],
    ],
)
def test_invalid_teams_are_rejected_without_naming_a_key(tenants):
    with pytest.raises(RoutesInvalid) as caught:
        decode(tenants)
    assert KEY not in str(caught.value)


def test_error_names_the_entries():
    with pytest.raises(RoutesInvalid, match=r"team 2 .'sur'.*team 1 .'norte'"):
        decode([TENANT, {"name": "sur", "api_keys": [KEY]}])


def test_own_format_checks_teams_too():
    team = Team(name="norte", keys=(KEY,), quota=Quota(units_per_s=0, burst=1))
    teams = (team, msgspec.structs.replace(team, name="sur"))
    route_set = msgspec.structs.replace(create_route_set(), teams=teams[:1])
    document = msgspec.json.encode(route_set)
    assert create_native_format().decode(document).teams[0].quota is None
    route_set = msgspec.structs.replace(create_route_set(), teams=teams)
    with pytest.raises(RoutesInvalid, match="shares a key"):
        create_native_format().decode(msgspec.json.encode(route_set))


def test_description_of_a_team_has_no_key():
    # Guards against keys in log lines and dumps, which print unknown objects.
    assert KEY not in repr(decode([TENANT]))
