"""The settings that the platform fills in from its own figures."""

import json
from pathlib import Path
import re

import pytest

from dotterelbridge.nodes.settings import load_node_settings

TEMPLATE = (
    Path(__file__).resolve().parent.parent.parent / "platform" / "node.ini"
)
BOUNDS = {"budget_extra": 56, "budget_window_s": 10, "ceiling_window_s": 5}
"""The bounds that the template reads, as a deployment states them."""
_SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
_VALUE = re.compile(r"{{([\w.@]+)(\|json)?}}")


def create_fields(bounds=BOUNDS, machines=1) -> dict:
    """Return what the platform tells a control VM."""
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


def fill_in(text: str, fields: dict) -> str:
    """Return a template as the platform fills it in."""
    text = _SECTION.sub(lambda match: _fill_section(match, fields), text)
    return _VALUE.sub(lambda match: _format_value(match, fields), text)


def _fill_section(match: re.Match, fields: dict) -> str:
    kind, path, body = match.groups()
    value = _find_value(path, fields)
    is_present = value is not None and value is not False
    if kind == "^":
        return "" if is_present else fill_in(body, fields)
    if isinstance(value, dict):
        return "".join(
            fill_in(body, fields | {"@": name, ".": entry})
            for name, entry in value.items()
        )
    return fill_in(body, fields) if is_present else ""


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


def load(folder: Path, fields: dict):
    path = folder / "node.ini"
    path.write_text(fill_in(TEMPLATE.read_text(), fields))
    return load_node_settings(str(path))


# Guards against VMs that never start where the platform states a bound as
# a fraction, as it may for every bound: then nothing at all is served.
@pytest.mark.parametrize("bound", BOUNDS)
def test_a_bound_that_is_a_fraction_stops_no_vm(tmp_path, bound):
    fields = create_fields(bounds=BOUNDS | {bound: 39.48717948717949})
    load(tmp_path, fields)


# Guards against VMs that never start where a part of the contract is not in
# force, so that its bounds are not stated, or allows nothing.
@pytest.mark.parametrize("bound", BOUNDS)
def test_a_bound_that_is_not_stated_stops_no_vm(tmp_path, bound):
    bounds = {name: BOUNDS[name] for name in BOUNDS if name != bound}
    load(tmp_path, create_fields(bounds=bounds))


def test_a_retry_budget_without_a_fixed_part_stops_no_vm(tmp_path):
    settings = load(tmp_path, create_fields(BOUNDS | {"budget_extra": 0}))
    assert settings.gateway.retry_extra == 0


# Guards against VMs that never start in a deployment which tolerates more
# losses than those seen so far.
@pytest.mark.parametrize("machines", (0, 2, 9))
def test_any_number_of_tolerated_losses_stops_no_vm(tmp_path, machines):
    settings = load(tmp_path, create_fields(machines=machines))
    assert settings.replication.losses_tolerated == machines
