"""Records on the disk of a control VM, and disks that fail."""

from datetime import timedelta
import errno

import anyio
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.resumption.file import StoredStream
from dotterelbridge.resumption.file import create_stream_file
from dotterelbridge.resumption.writer import RecordWriter
from tests.resumption.support import KEEP
from tests.resumption.support import V1
from tests.resumption.support import run_deployment

AGE = timedelta(seconds=60)
MIB = 1024 * 1024


class Disk:
    """The files of one control VM; a new process opens them again."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.clock = ManualClock()
        self.open()

    def open(self) -> list[int]:
        """Return the numbers of the records that are read."""
        self.file = create_stream_file(self.folder, 1, AGE, self.clock)
        return [s.key[0] for s in self.file.read()]

    def write(self, *numbers, keep_s=25, software="v1") -> None:
        expires_ms = int(self.clock.now().timestamp() + keep_s) * 1000
        self.file.append(
            [
                StoredStream(bytes([n]) * 16, "llm", software, expires_ms)
                for n in numbers
            ]
        )

    def list_files(self):
        return sorted((self.folder / "streams").iterdir())

    def change(self, change) -> None:
        (path,) = self.list_files()
        data = bytearray(path.read_bytes())
        path.write_bytes(change(data))


@pytest.fixture
def disk(tmp_path):
    return Disk(tmp_path)


def overwrite(start, data):
    def change(found):
        found[start : start + len(data)] = data
        return found

    return change


# Guards against a process that does not start, or loses sound records, after
# a loss of power: any write since the last sync may be missing or torn.
@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (lambda data: data, [1, 2, 3]),
        (lambda data: b"", []),
        (lambda data: data[:5], []),
        (lambda data: data[:-1], [1, 2]),
        (lambda data: data + data[:30], [1, 2, 3]),
        (lambda data: data + bytes(4096), [1, 2, 3]),
        (lambda data: b"{}" + data, [1, 2, 3]),
        (overwrite(0, bytes(30)), [2, 3]),
        (overwrite(70, bytes(10)), [1, 3]),
        # A length that reaches beyond all other frames.
        (overwrite(8, b"\xff\xff\xff\xff"), [2, 3]),
    ],
)
def test_damaged_records_are_passed_over(disk, change, expected):
    for number in (1, 2, 3):
        disk.write(number)
    disk.change(change)
    assert disk.open() == expected
    disk.write(7)
    assert disk.open() == [*expected, 7]


def test_what_cannot_be_read_is_replaced_by_the_other_file(disk):
    (disk.folder / "streams" / "streams-1").mkdir(parents=True)
    disk.write(1)
    assert disk.open() == [1]


# Guards against files that grow for as long as the process runs.
@pytest.mark.parametrize("software", ["v1", "v" * 255])
@pytest.mark.parametrize("keep_s", [25, 90])
def test_files_stay_small_and_hold_what_is_live(disk, software, keep_s):
    for second in range(250):
        disk.write(second, keep_s=keep_s, software=software)
        disk.clock.advance(timedelta(seconds=1))
    found = disk.open()
    assert sorted(found) == list(range(251 - keep_s, 250))
    sizes = [path.stat().st_size for path in disk.list_files()]
    assert len(sizes) == 2
    frame_bytes = len(software) + 60
    assert sum(sizes) < 2 * (AGE.total_seconds() + keep_s) * frame_bytes


def test_files_have_a_size_limit(disk):
    for _ in range(400):
        disk.write(*range(200), keep_s=500)
    sizes = [path.stat().st_size for path in disk.list_files()]
    assert len(sizes) == 2
    assert max(sizes) <= MIB
    assert sorted(disk.open())[-1] == 199


# Guards against a full disk that ends the process or loses what it holds.
def test_failing_disk_loses_only_the_copy_on_it(tmp_path, monkeypatch):
    def fail(self, streams):
        raise OSError(errno.ENOSPC, "no space left on device")

    async def check(deployment):
        with monkeypatch.context() as patch:
            patch.setattr(
                "dotterelbridge.resumption.file.StreamFile.append", fail
            )
            deployment.begin("e-a0", "r1")
            await anyio.sleep(2)
            assert deployment.vms["c-a"].part.dump()["is_disk_failing"]
            assert await deployment.find("e-a1", "r1") == V1
        await anyio.sleep(2)
        assert not deployment.vms["c-a"].part.dump()["is_disk_failing"]
        everything = list(deployment.vms)
        deployment.kill(*everything)
        deployment.start(*everything)
        assert await deployment.find("e-a1", "r1") == V1

    run_deployment(check, tmp_path)


# Guards against records that wait for the end of the process, or are lost
# with the power long after they were written.
def test_records_are_written_while_the_process_runs(disk, monkeypatch):
    synced = []
    sync = disk.file.sync
    monkeypatch.setattr(disk.file, "sync", lambda: synced.append(sync()))
    stream = StoredStream(b"k" * 16, "llm", "v1", 2**45)

    async def main():
        writer = RecordWriter(disk.file, KEEP * 0, KEEP * 0, disk.clock)
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            writer.add(stream)
            with anyio.fail_after(10):
                while not synced:
                    await anyio.sleep(0.001)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert disk.open() == [b"k"[0]]
