"""Typed sections of INI settings files and validation of their values.

A section is a msgspec struct and each field is an option. The name of an
option ends in its unit (``_ms``, ``_s``, ``_mb``, ``_percent``); its type and
constraints (``msgspec.Meta``) define the allowed values. Lists are
comma-separated.
"""

from collections.abc import Iterator
import configparser
import types
import typing

import msgspec


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all settings sections."""


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """An invalid value or a missing or unknown name in a settings file."""

    section: str
    option: str
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"[{self.section}] {self.option}".rstrip()
        return f"{location}: found {self.found}; allowed: {self.allowed}"


def read_section(
    parser: configparser.ConfigParser, name: str, section_type: type[Section]
) -> tuple[Section | None, list[Fault]]:
    """Convert an INI section to its type.

    :returns: the section and no faults, or None and all faults.
    """
    raw_values = dict(parser[name]) if parser.has_section(name) else {}
    fields = {f.encode_name: f for f in msgspec.structs.fields(section_type)}
    faults = list(_find_unknown_options(name, raw_values, fields))
    values = {}
    for option, field in fields.items():
        if option not in raw_values:
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
            values[option] = _convert_value(raw_values[option], field.type)
        except msgspec.ValidationError as error:
            faults.append(
                Fault(
                    section=name,
                    option=option,
                    found=repr(raw_values[option]),
                    allowed=f"{describe_type(field.type)} ({error})",
                )
            )
    if faults:
        return None, faults
    return section_type(**values), []


def _find_unknown_options(
    name: str, raw_values: dict[str, str], fields: dict
) -> Iterator[Fault]:
    for option in raw_values:
        if option not in fields:
            yield Fault(
                section=name,
                option=option,
                found="an unknown option",
                allowed=", ".join(fields),
            )


def _convert_value(text: str, option_type: type):
    origin = typing.get_origin(_strip_metadata(option_type))
    if origin in (tuple, list, set, frozenset):
        parts = [part.strip() for part in text.split(",")]
        return msgspec.convert(
            [part for part in parts if part], option_type, strict=False
        )
    return msgspec.convert(text.strip(), option_type, strict=False)


def _strip_metadata(option_type: type) -> type:
    if typing.get_origin(option_type) is typing.Annotated:
        return typing.get_args(option_type)[0]
    return option_type


def describe_type(option_type: type) -> str:
    """Return the allowed values of an option, as text for people."""
    base = _strip_metadata(option_type)
    limits = _describe_limits(option_type)
    if isinstance(base, type) and hasattr(base, "__members__"):
        return " or ".join(str(member.value) for member in base)
    origin = typing.get_origin(base)
    if origin in (tuple, list, set, frozenset):
        return "a list separated by commas"
    if origin in (types.UnionType, typing.Union):
        member_types = [
            member
            for member in typing.get_args(base)
            if member is not type(None)
        ]
        return " or ".join(describe_type(member) for member in member_types)
    type_names = {
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        str: "text",
    }
    supertype = getattr(base, "__supertype__", base)
    return f"{type_names.get(supertype, str(supertype))}{limits}"


def _describe_limits(option_type: type) -> str:
    for meta in getattr(option_type, "__metadata__", ()):
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
