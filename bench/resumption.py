"""Measures the records of streams: processor time, bytes and memory.

Run with ``python -m bench.resumption``; prints Markdown tables. The second
table works out what a VM spends at the target size from the first.
"""

import argparse
from collections.abc import Callable
from datetime import timedelta
import logging
from pathlib import Path
import random
import statistics
import tempfile
import time
import tracemalloc

import anyio
import anyio.to_thread
import msgspec
import structlog

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import RequestId
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.frames import FrameKind
from dotterelbridge.peers.frames import encode_message
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.resumption.file import StoredStream
from dotterelbridge.resumption.file import create_stream_file
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.resumption.local_recorder import create_local_recorder
from dotterelbridge.resumption.messages import BegunStream
from dotterelbridge.resumption.messages import StreamAnswer
from dotterelbridge.resumption.messages import StreamLookup
from dotterelbridge.resumption.messages import StreamQuery
from dotterelbridge.resumption.messages import StreamsBegun
from dotterelbridge.resumption.messages import StreamsFound
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.resumption.settings import ResumptionSettings
from dotterelbridge.resumption.table import StreamTable
from dotterelbridge.routes.active_routes import create_active_routes
from dotterelbridge.routes.document import create_native_format
from standins.ports import find_free_ports

ENTRY_VMS = 330
CONTROL_VMS = 18
STREAMS_S = 2300
TARGETS = 2600
COPIES = 2
KEPT_S = 70
"""A time limit of a minute, and the margin."""
FILE_AGE_S = ResumptionSettings().file_age_s
FRAME_OVERHEAD_BYTES = 2 * 52 + 8
"""Headers of IP and TCP for a frame and its acknowledgement, and those of
WebSocket."""
RUNS = 5
RECORDS = 20_000
MESSAGES = 2000
KEEP = timedelta(seconds=KEPT_S)
ORIGIN = StreamOrigin(ItemName("quote-llm"), SoftwareVersion("v1.12.3"))
ROUTE = "night-quote"
TEAM = "norte"


def create_streams(count: int) -> list[BegunStream]:
    """Return records with different keys."""
    rng = random.Random(1)
    return [
        BegunStream(
            rng.randbytes(16), ORIGIN.service, ORIGIN.software, KEPT_S * 1000
        )
        for _ in range(count)
    ]


def measure_us(function: Callable[[], None], count: int) -> float:
    """Return the median processor time for each of ``count`` steps."""
    times = []
    for _ in range(RUNS):
        began = time.process_time()
        function()
        times.append((time.process_time() - began) / count * 1e6)
    return statistics.median(times)


def measure_recording_us() -> float:
    """Return the cost of a record for the request that makes it."""
    ids = [RequestId(f"{number:016x}") for number in range(RECORDS)]

    def record() -> None:
        recorder = create_local_recorder(SystemClock())
        for request_id in ids:
            recorder.record_begun(request_id, ORIGIN, ROUTE, TEAM, KEEP)

    return measure_us(record, RECORDS)


def measure_record_bytes() -> float:
    """Return the memory of one record in a table."""
    streams = create_streams(RECORDS)
    table = StreamTable(RECORDS, KEEP, SystemClock())
    tracemalloc.start()
    for stream in streams:
        # A key of its own, as one that was decoded from a message.
        key = bytes(bytearray(stream.key))
        table.add(key, ORIGIN, KEEP)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / RECORDS


def measure_file(batch: int) -> tuple[float, float, float]:
    """Return processor time of a write and of a read, and bytes, a record."""
    clock = SystemClock()
    expires_ms = int(clock.now().timestamp() * 1000) + KEPT_S * 1000
    stored = [
        StoredStream(s.key, s.service, s.software, expires_ms)
        for s in create_streams(RECORDS)
    ]
    with tempfile.TemporaryDirectory() as folder:
        file = create_stream_file(Path(folder), 1024, KEEP, clock)

        def write() -> None:
            for start in range(0, RECORDS, batch):
                file.append(stored[start : start + batch])

        write_us = measure_us(write, RECORDS)
        size = (Path(folder) / "streams" / "streams-0").stat().st_size
        read_us = measure_us(file.read, RECORDS * RUNS)
    return write_us, read_us, size / RECORDS / RUNS


async def measure_thread_us() -> float:
    """Return the cost of a call that runs in a thread."""
    began = time.process_time()
    for _ in range(MESSAGES):
        await anyio.to_thread.run_sync(time.monotonic)
    return (time.process_time() - began) / MESSAGES * 1e6


def measure_history_us() -> tuple[float, float]:
    """Return the cost of a changed target, and of a changed load."""
    clock = SystemClock()
    state = FleetState(clock)
    routes = create_active_routes(create_native_format())
    state.update([create_target(number) for number in range(TARGETS)])
    VersionHistory(state, routes, clock, lambda: True)

    def change(field: str, count: int = 50) -> None:
        for number in range(count):
            name = TargetId(f"t{number}")
            target = state.targets[name]
            value = getattr(target, field)
            value = (
                value + 1
                if field == "port"
                else msgspec.structs.replace(value, running=value.running + 1)
            )
            state.update([msgspec.structs.replace(target, **{field: value})])

    urgent_us = measure_us(lambda: change("port"), 50)
    load_us = measure_us(lambda: change("load"), 50)
    return urgent_us, load_us


def create_target(number: int) -> FleetTarget:
    """Return a target of one of 20 services."""
    return FleetTarget(
        TargetId(f"t{number}"),
        1,
        ItemName(f"s{number % 20}"),
        "10.0.0.1",
        80,
        FailureDomain("a"),
        8,
        TargetPhase.READY,
    )


async def measure_links(
    send: Callable[[PeerNetwork, VmId], object], answer: Message | None = None
) -> float:
    """Return the processor time of a message, of both ends together.

    :param send: sends one message; its result is awaited if it can be.
    """
    received = 0

    async def handle(sender: VmId, message: Message) -> Message | None:
        nonlocal received
        received += 1
        return answer

    infos = [
        VmInfo(
            vm=VmId(f"v{number}"),
            business=Business(""),
            failure_domain=FailureDomain("a"),
            region=Region("a"),
            host="127.0.0.1",
            port=port,
        )
        for number, port in enumerate(find_free_ports(2))
    ]
    networks = [
        create_peer_network(
            PeersSettings(), info, infos, SystemClock(), b"s" * 32
        )
        for info in infos
    ]
    for message_type in (StreamsBegun, StreamLookup):
        networks[1].register_handler(message_type, handle)
    async with anyio.create_task_group() as group:
        for network in networks:
            group.start_soon(network.run)
        while not networks[0].is_connected(infos[1].vm):
            await anyio.sleep(0.01)
        began = time.process_time()
        for number in range(MESSAGES):
            result = send(networks[0], infos[1].vm)
            if not isinstance(result, bool):
                await result
            while received <= number:
                await anyio.sleep(0)
        cost_us = (time.process_time() - began) / MESSAGES * 1e6
        group.cancel_scope.cancel()
    return cost_us


def main() -> None:
    """Measure, and print both tables."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    streams = create_streams(100)
    begun = StreamsBegun(streams=tuple(streams[:1]))
    begun_bytes = len(encode_message(FrameKind.MESSAGE, begun))
    many_bytes = len(
        encode_message(FrameKind.MESSAGE, StreamsBegun(streams=(*streams,)))
    )
    query = StreamQuery(streams[0].key, ROUTE, (ORIGIN.service,), 65_000)
    lookup = StreamLookup(queries=(query,), relay_ms=100)
    found = StreamsFound(
        answers=(StreamAnswer(ORIGIN.service, ORIGIN.software),)
    )
    lookup_bytes = len(encode_message(FrameKind.REQUEST, lookup, 1)) + len(
        encode_message(FrameKind.ANSWER, found, 1)
    )
    recording_us = measure_recording_us()
    link_us = anyio.run(measure_links, lambda net, vm: net.send(vm, begun))
    lookup_us = anyio.run(
        measure_links,
        lambda net, vm: net.request(vm, lookup, timedelta(seconds=5)),
        found,
    )
    memory = measure_record_bytes()
    write_us, read_us, disk = measure_file(5)
    thread_us = anyio.run(measure_thread_us)
    urgent_us, load_us = measure_history_us()
    print("| step | processor time | size |")
    print("|---|---|---|")
    print(f"| record in memory | {recording_us:.1f} us | {memory:.0f} B |")
    print(
        f"| message of one record, both ends | {link_us:.0f} us "
        f"| {begun_bytes} B |"
    )
    print(f"| message of 100 records | | {many_bytes} B |")
    print(
        f"| lookup and answer, both ends | {lookup_us:.0f} us "
        f"| {lookup_bytes} B |"
    )
    print(
        f"| record in a file, in batches of 5 | {write_us:.1f} us "
        f"| {disk:.0f} B |"
    )
    print(f"| a write handed to a thread | {thread_us:.0f} us | |")
    print(f"| record read at the start | {read_us:.1f} us | |")
    print(f"| a target changed, of {TARGETS} | {urgent_us:.0f} us | |")
    print(f"| a load changed | {load_us:.1f} us | |")
    print()
    print("| at the target size | entry VM | control VM |")
    print("|---|---|---|")
    per_entry = STREAMS_S / ENTRY_VMS
    per_control = STREAMS_S * COPIES / CONTROL_VMS
    wire = begun_bytes + FRAME_OVERHEAD_BYTES
    entry_us = per_entry * (recording_us + COPIES * link_us / 2)
    control_us = per_control * (link_us / 2 + recording_us + write_us)
    writes_s = 1000 / ResumptionSettings().batch_ms
    control_us += min(writes_s, per_control) * thread_us
    print(f"| records a second | {per_entry:.1f} | {per_control:.0f} |")
    print(
        f"| processor time | {entry_us / 1e4:.2f}% | {control_us / 1e4:.2f}% |"
    )
    print(
        f"| bytes a second, frames only "
        f"| {per_entry * COPIES * begun_bytes / 1000:.2f} KB "
        f"| {per_control * begun_bytes / 1000:.1f} KB |"
    )
    print(
        "| bytes a second with headers "
        f"| {per_entry * COPIES * wire / 1000:.1f} KB "
        f"| {per_control * wire / 1000:.1f} KB |"
    )
    print(
        f"| memory, records kept for {KEPT_S} s "
        f"| {per_entry * KEPT_S * memory / 1e6:.2f} MB "
        f"| {per_control * KEPT_S * memory / 1e6:.1f} MB |"
    )
    print(
        "| disk a second, and at most | "
        f"| {per_control * disk / 1000:.1f} KB, "
        f"{per_control * disk * (KEPT_S * 2 + FILE_AGE_S) / 1e6:.1f} MB |"
    )


if __name__ == "__main__":
    main()
