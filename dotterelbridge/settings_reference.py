"""The reference of all settings, read from the section types."""

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

A node, which finds the others by seeds, reads a file with `[node]` and
`[discovery]` in the place of `[daemon]`, and with the last sections of this
page; the other sections are the same.
"""
TABLE_HEAD = """
| option | allowed | default | meaning |
|---|---|---|---|
"""


class Option(msgspec.Struct, frozen=True, kw_only=True):
    """One option of a section, as the reference shows it."""

    section: str
    name: str
    allowed: str
    default: str
    """Empty for an option that must be given."""
    meaning: str


def list_sections() -> dict[str, type[Section]]:
    """Return the section types by the name in the file.

    Those that only nodes have come last.
    """
    named = {
        f"{kind}:NAME": section_type
        for kind, section_type in NAMED_SECTION_TYPES.items()
    }
    known = SECTION_TYPES | named
    added = {
        name: section_type
        for name, section_type in node_settings.SECTION_TYPES.items()
        if name not in known
    }
    return known | added


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
    """Return the text that follows each field in the type's source."""
    source = textwrap.dedent(inspect.getsource(section_type))
    body = ast.parse(source).body[0].body
    meanings = {}
    for field, text in itertools.pairwise(body):
        if not isinstance(field, ast.AnnAssign):
            continue
        if isinstance(text, ast.Expr) and isinstance(text.value, ast.Constant):
            meanings[field.target.id] = " ".join(text.value.value.split())
    return meanings
