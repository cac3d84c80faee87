"""Typed sections of the INI settings and the check of their values.

A section is a msgspec struct; a field is an option, its name ends in the
unit (``_ms``, ``_s``, ``_mb``, ``_percent``), its type and constraints
(``msgspec.Meta``) say what is allowed. Lists are separated by commas.
"""

from collections.abc import Iterator
import configparser
import types
import typing

import msgspec


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all settings sections."""


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault in a settings file."""

    section: str
    option: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"[{self.section}] {self.option}".rstrip()
        return f"{where}: found {self.found}; allowed: {self.allowed}"


def read_section(
    parser: configparser.ConfigParser, name: str, section_type: type[Section]
) -> tuple[Section | None, list[Fault]]:
    """Convert one INI section to its type.

    Returns the section, or None with every fault found in it.
    """
    raw = dict(parser[name]) if parser.has_section(name) else {}
    fields = {f.encode_name: f for f in msgspec.structs.fields(section_type)}
    faults = list(_find_unknown_options(name, raw, fields))
    values = {}
    for option, field in fields.items():
        if option not in raw:
            if field.required:
                faults.append(
                    Fault(
                        section=name,
                        option=option,
                        found="nothing",
                        allowed=describe_type(field.type),
                    )
                )
            continue
        try:
            values[option] = _convert(raw[option], field.type)
        except msgspec.ValidationError as error:
            faults.append(
                Fault(
                    section=name,
                    option=option,
                    found=repr(raw[option]),
                    allowed=f"{describe_type(field.type)} ({error})",
                )
            )
    if faults:
        return None, faults
    return section_type(**values), []


def _find_unknown_options(
    name: str, raw: dict[str, str], fields: dict
) -> Iterator[Fault]:
    for option in raw:
        if option not in fields:
            yield Fault(
                section=name,
                option=option,
                found="an unknown option",
                allowed=", ".join(fields),
            )


def _convert(text: str, wanted: type):
    origin = typing.get_origin(_strip_metadata(wanted))
    if origin in (tuple, list, set, frozenset):
        parts = [part.strip() for part in text.split(",")]
        return msgspec.convert(
            [part for part in parts if part], wanted, strict=False
        )
    return msgspec.convert(text.strip(), wanted, strict=False)


def _strip_metadata(wanted: type) -> type:
    if typing.get_origin(wanted) is typing.Annotated:
        return typing.get_args(wanted)[0]
    return wanted


def describe_type(wanted: type) -> str:
    """Return what an option of the type may hold, for people."""
    base = _strip_metadata(wanted)
    limits = _describe_limits(wanted)
    if isinstance(base, type) and hasattr(base, "__members__"):
        return " or ".join(str(member.value) for member in base)
    origin = typing.get_origin(base)
    if origin in (tuple, list, set, frozenset):
        return "a list separated by commas"
    if origin in (types.UnionType, typing.Union):
        options = [a for a in typing.get_args(base) if a is not type(None)]
        return " or ".join(describe_type(option) for option in options)
    names = {
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        str: "text",
    }
    supertype = getattr(base, "__supertype__", base)
    return f"{names.get(supertype, str(supertype))}{limits}"


def _describe_limits(wanted: type) -> str:
    for meta in getattr(wanted, "__metadata__", ()):
        parts = []
        if meta.ge is not None:
            parts.append(f"at least {meta.ge}")
        if meta.gt is not None:
            parts.append(f"above {meta.gt}")
        if meta.le is not None:
            parts.append(f"at most {meta.le}")
        if meta.lt is not None:
            parts.append(f"below {meta.lt}")
        if parts:
            return " " + " and ".join(parts)
    return ""
