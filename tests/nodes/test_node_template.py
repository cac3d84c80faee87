"""Tests of platform/node.ini, the settings template of the platform."""

import json
from pathlib import Path
import re

import pytest

from dotterelbridge.nodes.settings import load_node_settings

TEMPLATE = (
    Path(__file__).resolve().parent.parent.parent / "platform" / "node.ini"
)
BOUNDS = {
    "budget_extra": 56,
    "budget_window_s": 10,
    "ceiling_window_s": 5,
    "quota_window_s": 8,
    "quota_excess": 0.1,
    "quota_slack": 7400,
}
"""Sample values of the bounds that the template uses."""
_SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
_VALUE = re.compile(r"{{([\w.@]+)(\|json)?}}")


def create_fields(bounds=BOUNDS, machines=1) -> dict:
    """Return the fields that the platform provides for a control VM."""
    return {
        "node_id": "core-a-1",
        "ip": "10.1.0.30",
        "zone": "a",
        "zones": {"a": "r", "b": "r"},
        "listen": {"control": "10.1.0.30:8144"},
        "internal_ports": [7380, 7395],
        "seeds": ["10.1.0.33:8144", "10.2.0.37:8144"],
        "bootstrap": True,
        "data_dir": "/var/lib/node",
        "fault_tolerance": {"machines": machines},
        "bounds": dict(bounds),
        "cloud": {"address": "10.200.0.100:8142"},
    }


def render_template(text: str, fields: dict) -> str:
    """Render a template as the platform does."""
    text = _SECTION.sub(lambda match: _render_section(match, fields), text)
    return _VALUE.sub(lambda match: _format_value(match, fields), text)


def _render_section(match: re.Match, fields: dict) -> str:
    kind, path, body = match.groups()
    value = _find_value(path, fields)
    is_present = value is not None and value is not False
    if kind == "^":
        return "" if is_present else render_template(body, fields)
    if isinstance(value, dict):
        return "".join(
            render_template(body, fields | {"@": name, ".": entry})
            for name, entry in value.items()
        )
    return render_template(body, fields) if is_present else ""


def _find_value(path: str, fields: dict):
    if path in fields:
        return fields[path]
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if value else None
    return value


def _format_value(match: re.Match, fields: dict) -> str:
    value = _find_value(match[1], fields)
    if value is None:
        return ""
    if isinstance(value, list) and not match[2]:
        return ",".join(map(str, value))
    return value if isinstance(value, str) else json.dumps(value)


def load_rendered_settings(folder: Path, fields: dict):
    path = folder / "node.ini"
    path.write_text(render_template(TEMPLATE.read_text(), fields))
    return load_node_settings(str(path))


# The platform may state any bound as a fraction. Settings that accept only
# integers would then stop every VM at its start, and nothing is served.
@pytest.mark.parametrize("bound", BOUNDS)
def test_fractional_bound_is_accepted(tmp_path, bound):
    fields = create_fields(bounds=BOUNDS | {bound: 39.48717948717949})
    load_rendered_settings(tmp_path, fields)


# Bounds are missing where their part of the contract is not in force, and may
# be 0. Settings that require them would stop every VM at its start.
@pytest.mark.parametrize("bound", BOUNDS)
def test_missing_bound_is_accepted(tmp_path, bound):
    bounds = {name: BOUNDS[name] for name in BOUNDS if name != bound}
    load_rendered_settings(tmp_path, create_fields(bounds=bounds))


def test_zero_retry_extra_is_accepted(tmp_path):
    settings = load_rendered_settings(
        tmp_path, create_fields(BOUNDS | {"budget_extra": 0})
    )
    assert settings.gateway.retry_extra == 0


# Quotas that the platform states but the settings do not get would be enforced
# with the defaults of another deployment.
def test_quota_bounds_reach_the_settings(tmp_path):
    bounds = {"quota_window_s": 6, "quota_excess": 0.25, "quota_slack": 0}
    settings = load_rendered_settings(tmp_path, create_fields(bounds))
    assert settings.quotas.window_s == 6
    assert settings.quotas.excess_fraction == 0.25
    assert settings.quotas.slack_units == 0


# A limit on losses_tolerated would stop every VM at its start in a deployment
# that tolerates more losses than earlier ones.
@pytest.mark.parametrize("machines", (0, 2, 9))
def test_any_number_of_tolerated_losses_is_accepted(tmp_path, machines):
    settings = load_rendered_settings(
        tmp_path, create_fields(machines=machines)
    )
    assert settings.replication.losses_tolerated == machines


# A permission of keys that expires where it should not refuses requests; one
# that does not expire where it should serves keys that were taken away.
@pytest.mark.parametrize(
    ("bounds", "lifetime_ms", "refusal_age_ms"),
    [
        ({}, 0, 0),
        ({"revoke_ms": 5000, "strict_revoke": False}, 0, 0),
        ({"revoke_ms": 5000, "strict_revoke": True}, 5000, 0),
        ({"revoke_ms": 4999.5, "strict_revoke": True}, 4999.5, 0),
        ({"config_apply_ms": 3000}, 0, 3000),
    ],
)
def test_keys_expire_only_where_revocation_is_strict(
    tmp_path, bounds, lifetime_ms, refusal_age_ms
):
    settings = load_rendered_settings(
        tmp_path, create_fields(BOUNDS | bounds)
    ).teams
    assert settings.key_lifetime_ms == lifetime_ms
    assert settings.refusal_age_ms == refusal_age_ms
