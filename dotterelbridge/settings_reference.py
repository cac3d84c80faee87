"""Generates the reference of all settings from the section types."""

import ast
from collections.abc import Iterator
import enum
import inspect
import itertools
import textwrap
from typing import Any

import msgspec

from dotterelbridge.nodes import settings as node_settings
from dotterelbridge.settings import NAMED_SECTION_TYPES
from dotterelbridge.settings import SECTION_TYPES
from dotterelbridge.settings_schema import Section
from dotterelbridge.settings_schema import describe_type

MARKDOWN_HEAD = """# Settings

A daemon reads one INI file; `dotterelbridge config check FILE` reports every
fault in it. Units are in the names of the options. This page is written by
`make docs` from the code; a test compares the two.

A node, which discovers the other VMs through seeds, reads a file with
`[node]` and `[discovery]` instead of `[daemon]`, and with the last sections
of this page. The other sections are the same.
"""
TABLE_HEAD = """
| option | allowed | default | meaning |
|---|---|---|---|
"""


class Option(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the reference: an option of a section."""

    section: str
    name: str
    allowed: str
    default: str
    """Empty for a required option."""
    meaning: str


def list_sections() -> dict[str, type[Section]]:
    """Return the section types by section name.

    Sections that only nodes read come last.
    """
    named = {
        f"{kind}:NAME": section_type
        for kind, section_type in NAMED_SECTION_TYPES.items()
    }
    daemon_sections = SECTION_TYPES | named
    node_sections = {
        name: section_type
        for name, section_type in node_settings.SECTION_TYPES.items()
        if name not in daemon_sections
    }
    return daemon_sections | node_sections


def list_options() -> Iterator[Option]:
    """Yield every option of every section."""
    for section, section_type in list_sections().items():
        meanings = _read_meanings(section_type)
        for field in msgspec.structs.fields(section_type):
            yield Option(
                section=section,
                name=field.name,
                allowed=describe_type(field.type),
                default=_describe_default(field),
                meaning=meanings.get(field.name, ""),
            )


def render_markdown() -> str:
    """Return the text of docs/SETTINGS.md."""
    parts = [MARKDOWN_HEAD]
    section = None
    for option in list_options():
        if option.section != section:
            section = option.section
            parts.append(f"\n## [{section}]\n{TABLE_HEAD}")
        parts.append(
            f"| `{option.name}` | {option.allowed} "
            f"| {option.default or 'required'} | {option.meaning} |\n"
        )
    return "".join(parts)


def _describe_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return ""
    return _render_value(field.default)


def _render_value(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def _read_meanings(section_type: type[Section]) -> dict[str, str]:
    """Return the docstrings below the fields, by field name.

    They are not kept at run time, so this parses the source of the type and
    of the section types that it derives from.
    """
    meanings = {}
    for base in reversed(section_type.__mro__):
        if issubclass(base, Section) and base is not Section:
            meanings |= _parse_meanings(base)
    return meanings


def _parse_meanings(section_type: type[Section]) -> dict[str, str]:
    source = textwrap.dedent(inspect.getsource(section_type))
    body = ast.parse(source).body[0].body
    meanings = {}
    for statement, next_statement in itertools.pairwise(body):
        if not isinstance(statement, ast.AnnAssign):
            continue
        if isinstance(next_statement, ast.Expr) and isinstance(
            next_statement.value, ast.Constant
        ):
            meanings[statement.target.id] = " ".join(
                next_statement.value.value.split()
            )
    return meanings
