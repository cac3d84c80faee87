"""Routes documents as operators submit them, and their compressed form."""

import abc
import zlib

import msgspec

from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.json_documents import decode_document
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.routes.model import RouteSet
from dotterelbridge.teams.validation import drop_unlimited_quotas

DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
"""Largest decompressed document; protects against decompression bombs."""


class PackedRoutes(msgspec.Struct, frozen=True, array_like=True):
    """One version of the routes, as it is stored and replicated.

    Holds the submitted document itself, so that operators read back
    exactly the bytes that they sent.
    """

    version: int
    compressed: bytes

    def unpack(self) -> bytes:
        """Return the decompressed document."""
        decompressor = zlib.decompressobj()
        return decompressor.decompress(self.compressed, DOCUMENT_LIMIT_BYTES)


NO_ROUTES = PackedRoutes(version=-1, compressed=b"")


class RoutesFormat(abc.ABC):
    """Decodes the documents of one operator API."""

    @abc.abstractmethod
    def decode(self, document: bytes) -> RouteSet:
        """Return the validated routes.

        :raises RoutesInvalid: the document cannot be used.
        """


class NativeFormat(RoutesFormat):
    """The project's own format: JSON with the names of ``routes.model``."""

    def decode(self, document: bytes) -> RouteSet:
        try:
            routes = decode_document(document, RouteSet)
        except DocumentMalformed as error:
            raise RoutesInvalid(
                f"the document is not a valid set of routes ({error.problem})",
                "send the whole JSON document as docs/design/routes.md "
                "describes it",
            ) from None
        routes.check()
        return msgspec.structs.replace(
            routes, teams=drop_unlimited_quotas(routes.teams)
        )


def pack_routes(version: int, document: bytes) -> PackedRoutes:
    """Return a document in the form that is stored and replicated."""
    return PackedRoutes(version=version, compressed=zlib.compress(document))


def create_native_format() -> RoutesFormat:
    """Return the project's own format."""
    return NativeFormat()
