"""The text in which operators submit routes, and its packed form."""

import abc
import zlib

import msgspec

from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.routes.model import RouteSet

DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
"""Bound of an unpacked document; guards against a bomb."""


class PackedRoutes(msgspec.Struct, frozen=True, array_like=True):
    """A version as it is stored and spread: the text as submitted.

    The text itself is kept, so that what is read back is what was sent.
    """

    version: int
    compressed: bytes

    def unpack(self) -> bytes:
        """Return the document."""
        decompressor = zlib.decompressobj()
        return decompressor.decompress(self.compressed, DOCUMENT_LIMIT_BYTES)


NO_ROUTES = PackedRoutes(version=-1, compressed=b"")


class RoutesFormat(abc.ABC):
    """Reads the documents of one operators' interface."""

    @abc.abstractmethod
    def decode(self, document: bytes) -> RouteSet:
        """Return the checked routes; RoutesInvalid says what is wrong."""


class NativeFormat(RoutesFormat):
    """The project's own: JSON with the names of ``routes.model``."""

    def decode(self, document: bytes) -> RouteSet:
        try:
            routes = msgspec.json.decode(document, type=RouteSet)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise RoutesInvalid(
                f"the document is no set of routes ({error})",
                "send the whole JSON document as docs/design/routes.md "
                "describes it",
            ) from None
        routes.check()
        return routes


def pack_routes(version: int, document: bytes) -> PackedRoutes:
    """Return the form in which a document is stored and spread."""
    return PackedRoutes(version=version, compressed=zlib.compress(document))


def create_native_format() -> RoutesFormat:
    """Return the project's own format."""
    return NativeFormat()
