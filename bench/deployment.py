"""Starts daemons and stand-ins as processes from a description.

A description names a settings file of the daemon; addresses and ports are
replaced by free ones on loopback, and the links between daemons and to
targets of other failure domains go through a forwarder that can cut them.
"""

import configparser
import io
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import httpx
import msgspec

from bench.forwarder import Link
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.settings import Settings
from dotterelbridge.settings import load_settings
from standins.ports import find_free_ports

ROOT = pathlib.Path(__file__).parent.parent
LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.1
LOG_TAIL = 2000
ITEMS_OPTION = "--items="
TOKEN = "bench-operator-token"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Description(msgspec.Struct, frozen=True, kw_only=True):
    """The section [bench] of a deployment file."""

    settings: str
    models: int
    adapters: int
    model_mb: int
    adapter_mb: int
    engine_memory_mb: int
    kv_reserved_mb: int
    slots: int
    token_ms: float
    load_ms: float
    region_hop_ms: float
    weight_models: int
    weight_models_per_second: float
    weight_adapters: int


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What a process has used."""

    cpu_s: float
    rss_mb: float


class Process:
    """One process of the deployment; may be started again."""

    def __init__(self, name: str, command: list[str], log: pathlib.Path):
        self.name = name
        self.log = log
        self._command = [sys.executable, "-m", *command]
        self._popen: subprocess.Popen | None = None
        self._earlier_cpu_s = 0.0
        self._last = Usage(cpu_s=0.0, rss_mb=0.0)

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.alive:
            return
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                self._command,
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
            )

    def drop_option(self, option: str) -> None:
        """Leave an option out of later starts."""
        self._command = [
            part for part in self._command if not part.startswith(option)
        ]

    @property
    def pipes(self) -> tuple[io.BufferedIOBase, io.BufferedIOBase]:
        """Standard input and output."""
        return self._popen.stdin, self._popen.stdout

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.alive:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and collect it."""
        self.read_usage()
        self.signal(signal.SIGKILL)
        self._collect(STOP_TIMEOUT_S)

    def wait(self, timeout_s: float) -> bool:
        """Wait for the end of the process; False when it still runs."""
        try:
            self._collect(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def read_usage(self) -> Usage:
        """Return CPU time of all its lives and the last resident size."""
        if self.alive:
            stat = pathlib.Path(f"/proc/{self._popen.pid}/stat").read_text()
            fields = stat.rpartition(")")[2].split()
            ticks = int(fields[11]) + int(fields[12])
            pages = int(fields[21])
            self._last = Usage(
                cpu_s=self._earlier_cpu_s + ticks / CLOCK_TICKS,
                rss_mb=pages * os.sysconf("SC_PAGE_SIZE") / 2**20,
            )
        return self._last

    def _collect(self, timeout_s: float) -> None:
        if self._popen is None:
            return
        self._popen.wait(timeout_s)
        self._earlier_cpu_s = self._last.cpu_s
        for pipe in self.pipes:
            pipe.close()


class Deployment:
    """All processes, their ports and files, in one folder."""

    def __init__(
        self,
        path: pathlib.Path,
        folder: pathlib.Path,
        overrides: dict[str, dict[str, str]],
        seed: int,
    ) -> None:
        self._folder = folder
        self._seed = seed
        self._parser = configparser.ConfigParser(interpolation=None)
        self._parser.read(path)
        self.description = msgspec.convert(
            dict(self._parser["bench"]), Description, strict=False
        )
        self._overrides = overrides
        self._template = configparser.ConfigParser(interpolation=None)
        self._template.read(path.parent / self.description.settings)
        self.settings: Settings = load_settings(self._write_template())
        self.vms: dict[VmId, VmInfo] = {
            info.vm: info for info in self.settings.list_vms()
        }
        self.targets: dict[TargetId, TargetInfo] = {
            info.target: info for info in self.settings.list_targets()
        }
        ports = iter(find_free_ports(self._count_ports()))
        self.caller_ports = {vm: next(ports) for vm in self.vms}
        self.operator_ports = {vm: next(ports) for vm in self.vms}
        self._own_ports = {
            name: next(ports) for name in [*self.vms, *self.targets]
        }
        self._weights_port = next(ports)
        self.links = list(self._create_links(ports))
        self.processes: dict[str, Process] = {}

    @property
    def engines(self) -> list[TargetInfo]:
        """All model engines."""
        return [
            info
            for info in self.targets.values()
            if info.kind is TargetKind.ENGINE
        ]

    def truth_file(self, target: str) -> pathlib.Path:
        """Return the file in which a target records what it ran."""
        return self._folder / f"{target}.truth"

    def target_url(self, target: str) -> str:
        """Return the URL of a target without the forwarder."""
        return f"http://{LOOPBACK}:{self._own_ports[target]}"

    def models(self) -> list[str]:
        """Return the names of the models."""
        return [f"model-{n}" for n in range(self.description.models)]

    def adapters(self) -> dict[str, str]:
        """Return the base model of each adapter."""
        models = self.models()
        return {
            f"adapter-{n}": models[n % len(models)]
            for n in range(self.description.adapters)
        }

    def start(self) -> None:
        """Start all processes and wait until the daemons are ready."""
        (self._folder / "token").write_text(TOKEN)
        (self._folder / "secret").write_text("bench-peer-secret")
        self._start_forwarder()
        self._start_targets()
        for vm in self.vms:
            settings = self._write_settings(vm)
            self._add(vm, "dotterelbridge.daemon", "--config", str(settings))
        for vm in self.vms:
            self.wait_until_ready(vm)

    def stop(self) -> None:
        """End all processes: first gracefully, then by force."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        until = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            if not process.wait(max(0.1, until - time.monotonic())):
                process.kill()

    def is_ready(self, vm: VmId) -> bool:
        """Return whether the VM's callers' listener says it is ready."""
        url = f"http://{LOOPBACK}:{self.caller_ports[vm]}/readyz"
        try:
            return httpx.get(url, timeout=1.0).is_success
        except httpx.TransportError:
            return False

    def wait_until_ready(self, vm: VmId) -> None:
        """Wait until a daemon is ready; raises RuntimeError."""
        until = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready(vm):
            process = self.processes[vm]
            if not process.alive or time.monotonic() > until:
                tail = process.log.read_text()[-LOG_TAIL:]
                raise RuntimeError(f"{vm} is not ready: {tail}")
            time.sleep(POLL_S)

    def set_faults(self, target: str, **faults: object) -> None:
        """Change the faults of a stand-in."""
        url = f"{self.target_url(target)}/standin/faults"
        httpx.post(url, json=faults, timeout=5.0).raise_for_status()

    def partition(self, subject: str, cut: bool) -> None:
        """Cut or heal the links between two sides, ``SIDE|SIDE``.

        The second side may be ``rest``: all who are not on the first.
        """
        command = "cut" if cut else "heal"
        first, _, second = subject.partition("|")
        near = self.members(first)
        everyone = [*self.vms, *self.targets]
        far = [name for name in everyone if name not in near]
        if second != "rest":
            far = self.members(second)
        for one in near:
            for other in far:
                self._command_forwarder({command: [one, other]})
                self._command_forwarder({command: [other, one]})

    def read_bytes(self) -> dict[tuple[str, str], int]:
        """Return the bytes that each direction of the links carried."""
        self._command_forwarder({"bytes": True})
        _, output = self.processes["forwarder"].pipes
        counts = json.loads(output.readline())
        return {tuple(name.split(" ")): n for name, n in counts.items()}

    def members(self, subject: str) -> list[str]:
        """Return the members that ``KIND:NAME`` stands for.

        A failure domain stands for its VMs and targets.
        """
        kind, _, name = subject.partition(":")
        if kind in ("vm", "target"):
            return [name]
        everyone = [*self.vms.values(), *self.targets.values()]
        return [
            getattr(info, "vm", None) or info.target
            for info in everyone
            if info.failure_domain == name
        ]

    def _command_forwarder(self, command: dict) -> None:
        pipe, _ = self.processes["forwarder"].pipes
        pipe.write(json.dumps(command).encode() + b"\n")
        pipe.flush()

    def _count_ports(self) -> int:
        members = len(self.vms) + len(self.targets)
        return 2 * len(self.vms) + members + 1 + len(self.vms) * members

    def _create_links(self, ports):
        for vm, info in self.vms.items():
            for name, other in {**self.vms, **self.targets}.items():
                same = other.failure_domain == info.failure_domain
                if name == vm or (same and name in self.targets):
                    continue
                yield Link(
                    client=vm,
                    server=name,
                    listen_port=next(ports),
                    port=self._own_ports[name],
                    delay_ms=0 if same else self.description.region_hop_ms,
                )

    def _add(self, name: str, *command: str) -> Process:
        log = self._folder / f"{name}.log"
        process = Process(name, list(command), log)
        self.processes[name] = process
        process.start()
        return process

    def _start_forwarder(self) -> None:
        process = self._add("forwarder", "bench.forwarder")
        pipe, _ = process.pipes
        pipe.write(msgspec.json.encode(self.links) + b"\n")
        pipe.flush()
        wait_for_ready_line(process)

    def _start_targets(self) -> None:
        d = self.description
        store = self._add(
            "weights",
            "standins.weights",
            f"--port={self._weights_port}",
            f"--models={d.weight_models}",
            f"--models-per-second={d.weight_models_per_second}",
            f"--adapters={d.weight_adapters}",
        )
        started = [store]
        for name, info in self.targets.items():
            if info.kind is TargetKind.SERVICE:
                options = ["standins.service"]
            else:
                options = ["standins.engine", *self._engine_options(info)]
            started.append(
                self._add(
                    name,
                    *options,
                    f"--port={self._own_ports[name]}",
                    f"--target={name}",
                    f"--truth-file={self.truth_file(name)}",
                )
            )
        for process in started:
            wait_for_ready_line(process)
            # An engine that starts again has lost its memory.
            process.drop_option(ITEMS_OPTION)

    def _engine_options(self, info: TargetInfo) -> list[str]:
        d = self.description
        return [
            f"--memory-mb={d.engine_memory_mb}",
            f"--kv-reserved-mb={d.kv_reserved_mb}",
            f"--fencing={info.fencing.value}",
            f"--token-ms={d.token_ms}",
            f"--load-ms={d.load_ms}",
            f"--slots={d.slots}",
            f"--seed={self._seed}",
            f"--weights=http://{LOOPBACK}:{self._weights_port}",
            f"{ITEMS_OPTION}{self._choose_items(info)}",
        ]

    def _choose_items(self, info: TargetInfo) -> str:
        """Return what an engine holds at the start.

        The models are spread over the engines of each failure domain.
        """
        domain = [
            engine.target
            for engine in self.engines
            if engine.failure_domain == info.failure_domain
        ]
        d = self.description
        room = d.engine_memory_mb - d.kv_reserved_mb
        fitting = (room - d.adapters * d.adapter_mb) // d.model_mb
        start = domain.index(info.target)
        own = self.models()[start :: len(domain)][:fitting]
        items = [f"{model}@1:model:{d.model_mb}" for model in own]
        items += [
            f"{name}@1:adapter:{d.adapter_mb}:{base}"
            for name, base in self.adapters().items()
            if base in own
        ]
        return ",".join(items)

    def _write_template(self) -> str:
        self._template["daemon"]["data_folder"] = str(self._folder / "data")
        path = self._folder / "template.ini"
        with path.open("w") as file:
            self._template.write(file)
        return str(path)

    def _write_settings(self, vm: VmId) -> pathlib.Path:
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(self._template)
        parser["daemon"] = {
            "vm": vm,
            "operator_port": str(self.operator_ports[vm]),
            "operator_token_file": str(self._folder / "token"),
            "peer_secret_file": str(self._folder / "secret"),
        }
        if vm in self.settings.list_voters():
            parser["daemon"]["data_folder"] = str(self._folder / f"{vm}.data")
        sections = {
            "serving": {
                "host": LOOPBACK,
                "port": str(self.caller_ports[vm]),
                "balancer_lead_s": "2",
            },
            **{
                name: dict(self._parser[name])
                for name in self._parser.sections()
                if name != "bench"
            },
            **self._overrides,
        }
        for name, options in sections.items():
            if not parser.has_section(name):
                parser.add_section(name)
            parser[name].update(options)
        self._write_addresses(parser, vm)
        path = self._folder / f"{vm}.ini"
        with path.open("w") as file:
            parser.write(file)
        return path

    def _write_addresses(self, parser, vm: VmId) -> None:
        ports = dict(self._own_ports)
        for link in self.links:
            if link.client == vm:
                ports[link.server] = link.listen_port
        for name in self.vms:
            section = parser[f"vm:{name}"]
            section["address"] = LOOPBACK
            section["peer_port"] = str(ports[name])
        for name in self.targets:
            section = parser[f"target:{name}"]
            section["address"] = LOOPBACK
            section["port"] = str(ports[name])


def wait_for_ready_line(process: Process) -> None:
    """Wait for a stand-in's line; raises RuntimeError when it ended."""
    if not process.pipes[1].readline().startswith(b"ready"):
        tail = process.log.read_text()[-LOG_TAIL:]
        raise RuntimeError(f"{process.name} did not start: {tail}")
