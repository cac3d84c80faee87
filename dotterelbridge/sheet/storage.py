"""Storage that keeps the active sheet across restarts of a VM."""

import abc
import os
from pathlib import Path
import zlib

import anyio.to_thread
import msgspec

from dotterelbridge.errors import StorageError
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision

FILE_NAME = "sheet-in-force"
_CHECKSUM_BYTES = 4
_decoder = msgspec.msgpack.Decoder(SheetRevision)


class SheetStorage(abc.ABC):
    """Stores the active sheet."""

    @abc.abstractmethod
    def load(self) -> SheetRevision:
        """Return the stored sheet, or EMPTY_SHEET if there is none.

        :raises StorageError: the stored sheet is damaged.
        """

    @abc.abstractmethod
    async def save(self, sheet: SheetRevision) -> None:
        """Store the sheet; it is synced to disk on return.

        :raises StorageError: it could not be written.
        """


class NullSheetStorage(SheetStorage):
    """Stores nothing; for VMs without a data folder."""

    def load(self) -> SheetRevision:
        return EMPTY_SHEET

    async def save(self, sheet: SheetRevision) -> None:
        return


class FileSheetStorage(SheetStorage):
    """Stores the sheet in one checksummed file, replaced atomically."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / FILE_NAME

    def load(self) -> SheetRevision:
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return EMPTY_SHEET
        except OSError as error:
            raise self._create_error(f"cannot be read ({error})") from error
        checksum = int.from_bytes(content[:_CHECKSUM_BYTES], "big")
        encoded = content[_CHECKSUM_BYTES:]
        if zlib.crc32(encoded) != checksum or not encoded:
            raise self._create_error("is damaged")
        try:
            return _decoder.decode(encoded)
        except msgspec.MsgspecError as error:
            raise self._create_error(f"is damaged ({error})") from error

    async def save(self, sheet: SheetRevision) -> None:
        await anyio.to_thread.run_sync(self._write, sheet)

    def _write(self, sheet: SheetRevision) -> None:
        encoded = msgspec.msgpack.encode(sheet)
        checksum = zlib.crc32(encoded).to_bytes(_CHECKSUM_BYTES, "big")
        try:
            self._replace_file(checksum + encoded)
        except OSError as error:
            raise self._create_error(f"cannot be written ({error})") from error

    def _replace_file(self, content: bytes) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _create_error(self, problem: str) -> StorageError:
        return StorageError(
            f"{self._path} {problem}",
            "check the disk; to discard the stored sheet, delete the file: "
            "the VM then starts without a sheet and gets it from other VMs",
        )


def create_sheet_storage(folder: Path | None) -> SheetStorage:
    """Create the storage for a data folder, or a null one without a folder."""
    return NullSheetStorage() if folder is None else FileSheetStorage(folder)
