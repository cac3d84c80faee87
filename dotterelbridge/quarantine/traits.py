"""Traits of requests: what those under which targets crash may share."""

import enum

from dotterelbridge.ids import TraitId

_REQUEST_PREFIX = "request:"
_CALLER_PREFIX = "caller:"


class TraitKind(enum.Enum):
    """What a trait stands for, the most specific first."""

    REQUEST = 1
    """The same request, sent again."""
    PART = 2
    """A part of a prompt that several requests share."""
    CALLER = 3
    """All requests of a caller."""


def create_request_trait(digest: str) -> TraitId:
    """Return the trait of all copies of a request."""
    return TraitId(_REQUEST_PREFIX + digest)


def create_caller_trait(caller: str) -> TraitId:
    """Return the trait of all requests of a caller."""
    return TraitId(_CALLER_PREFIX + caller)


def get_kind(trait: TraitId) -> TraitKind:
    """Return what a trait stands for; without a prefix, a prompt part."""
    if trait.startswith(_REQUEST_PREFIX):
        return TraitKind.REQUEST
    if trait.startswith(_CALLER_PREFIX):
        return TraitKind.CALLER
    return TraitKind.PART
