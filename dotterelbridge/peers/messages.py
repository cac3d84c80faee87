"""Base class of the messages between daemons, and their registry."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all messages between daemons.

    A concrete message is registered with ``register_message`` under a
    stable wire name. Fields use plain types, bytes and other structs.
    """


_types_by_name: dict[str, type[Message]] = {}
_names_by_type: dict[type[Message], str] = {}


def register_message(name: str):
    """Return a class decorator that registers a type under a wire name."""

    def register(message_type: type[Message]) -> type[Message]:
        if name in _types_by_name:
            raise ValueError(f"message name {name!r} is taken")
        _types_by_name[name] = message_type
        _names_by_type[message_type] = name
        return message_type

    return register


def list_message_names() -> list[str]:
    """Return the wire names of all registered types, sorted."""
    return sorted(_types_by_name)


def find_message_type(name: str) -> type[Message] | None:
    """Return the type registered under a wire name, or None."""
    return _types_by_name.get(name)


def find_message_name(message_type: type[Message]) -> str:
    """Return the wire name of a registered type."""
    return _names_by_type[message_type]
