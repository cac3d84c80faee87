"""Measures daemons at several sizes: the slopes of docs/CAPACITY.md.

Each axis changes one size and leaves the others: VMs of a domain, domains,
targets of a domain, models on the sheet. Daemons are measured without
calls, first idle, then under a sheet change every two seconds.
"""

import argparse
import configparser
import json
import pathlib
import statistics
import tempfile
import time

import httpx
import msgspec
from rich.console import Console
from rich.table import Table

from bench.deployment import LOOPBACK
from bench.deployment import TOKEN
from bench.deployment import Deployment
from dotterelbridge.ids import VmId
from dotterelbridge.sheet.parser import COLUMNS

SETTLE_S = 6.0
MEASURE_S = 10.0
CHANGE_INTERVAL_S = 2.0
HTTP_TIMEOUT_S = 30.0
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
VOTERS = 3
SIZES_FOR_SLOPE = 3
FIELDS = (
    "cpu_percent",
    "rss_mb",
    "sent_bytes_per_s",
    "received_bytes_per_s",
)


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """One size of a deployment."""

    domains: int = 3
    vms: int = 2
    """VMs of each failure domain."""
    engines: int = 1
    """Engines of each failure domain."""
    models: int = 3
    """Models on the sheet; each takes little memory."""


AXES = {
    "vms": [Size(vms=n) for n in (1, 3, 6, 12)],
    "domains": [Size(domains=n) for n in (3, 6, 15)],
    "engines": [Size(domains=1, vms=VOTERS, engines=n) for n in (2, 8, 24)],
    "models": [Size(models=n) for n in (3, 200, 1600)],
}


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """What one daemon used in a phase."""

    role: str
    cpu_percent: float
    rss_mb: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


def write_deployment(folder: pathlib.Path, size: Size) -> pathlib.Path:
    """Write a deployment of the size; returns the path of its file."""
    settings = configparser.ConfigParser()
    settings["daemon"] = {
        "vm": "d0-vm0",
        "operator_token_file": "token",
        "peer_secret_file": "secret",
    }
    port = iter(range(1, 60_000))
    for d in range(size.domains):
        settings[f"failure_domain:d{d}"] = {
            "business": "slopes",
            "region": f"region{d % 5}",
        }
        member = {"failure_domain": f"d{d}", "address": LOOPBACK}
        for v in range(size.vms):
            voter = d * size.vms + v < VOTERS
            if size.domains >= VOTERS:
                voter = v == 0 and d < VOTERS
            settings[f"vm:d{d}-vm{v}"] = {
                **member,
                "peer_port": str(next(port)),
                "voter": str(voter).lower(),
            }
        for e in range(size.engines):
            settings[f"target:d{d}-engine{e}"] = {
                **member,
                "kind": "engine",
                "port": str(next(port)),
            }
    with (folder / "settings.ini").open("w") as file:
        settings.write(file)
    description = configparser.ConfigParser()
    description["bench"] = {
        "settings": "settings.ini",
        "models": str(size.models),
        "adapters": "0",
        "model_mb": "10",
        "adapter_mb": "0",
        "engine_memory_mb": "40000",
        "kv_reserved_mb": "4000",
        "slots": "16",
        "token_ms": "45",
        "load_ms": "100",
        "region_hop_ms": "0",
        "weight_models": "7",
        "weight_models_per_second": "50",
        "weight_adapters": "55",
    }
    path = folder / "deployment.ini"
    with path.open("w") as file:
        description.write(file)
    return path


def create_sheet(size: Size, number: int) -> str:
    """Return a sheet that differs from its neighbours in one row."""
    rows = [",".join(COLUMNS)]
    for index in range(size.models):
        deadline_ms = 1000 + (number if index == 0 else 0)
        rows.append(
            f"model,slopes,model-{index},1,,10,normal,{deadline_ms},1,,true"
        )
    return "\n".join(rows) + "\n"


class Probe:
    """Reads and drives one deployment."""

    def __init__(self, deployment: Deployment, size: Size) -> None:
        self._deployment = deployment
        self._size = size
        self._number = 0

    def submit_sheet(self) -> None:
        """Submit the next sheet at the first VM."""
        self._number += 1
        url = f"{self._url(next(iter(self._deployment.vms)))}/sheet"
        answer = httpx.put(
            url,
            params={"number": self._number},
            content=create_sheet(self._size, self._number),
            headers=HEADERS,
            timeout=HTTP_TIMEOUT_S,
        )
        answer.raise_for_status()

    def measure(self, changes: bool) -> list[Sample]:
        """Return what each daemon uses over the next seconds."""
        started = time.monotonic()
        usage = self._read_usage()
        carried = self._deployment.read_bytes()
        while time.monotonic() < started + MEASURE_S:
            if changes:
                self.submit_sheet()
            time.sleep(CHANGE_INTERVAL_S)
        seconds = time.monotonic() - started
        after = self._read_usage()
        fresh = {
            pair: (count - carried.get(pair, 0)) / seconds
            for pair, count in self._deployment.read_bytes().items()
            if all(name in self._deployment.vms for name in pair)
        }
        return [
            Sample(
                role=self._find_role(vm),
                cpu_percent=100
                * (after[vm].cpu_s - usage[vm].cpu_s)
                / seconds,
                rss_mb=after[vm].rss_mb,
                sent_bytes_per_s=sum(
                    rate for (source, _), rate in fresh.items() if source == vm
                ),
                received_bytes_per_s=sum(
                    rate for (_, sink), rate in fresh.items() if sink == vm
                ),
            )
            for vm in self._deployment.vms
        ]

    def _url(self, vm: VmId) -> str:
        port = self._deployment.operator_ports[vm]
        return f"http://{LOOPBACK}:{port}/operators/v1"

    def _read_usage(self):
        processes = self._deployment.processes
        return {vm: processes[vm].read_usage() for vm in self._deployment.vms}

    def _find_role(self, vm: VmId) -> str:
        dump = httpx.get(
            f"{self._url(vm)}/dump", headers=HEADERS, timeout=HTTP_TIMEOUT_S
        ).json()
        roles = []
        if vm in self._deployment.settings.list_voters():
            leads = dump["replication"].get("role") == "leader"
            roles.append("leader" if leads else "voter")
        if "ledger" in dump["placement"]:
            roles.append("holder")
        return "+".join(roles) or "entry"


def measure_size(size: Size) -> dict[str, list[Sample]]:
    """Return the samples of both phases at one size."""
    with tempfile.TemporaryDirectory(prefix="slopes-") as name:
        folder = pathlib.Path(name)
        path = write_deployment(folder, size)
        deployment = Deployment(path, folder, {}, seed=1)
        probe = Probe(deployment, size)
        try:
            deployment.start()
            time.sleep(SETTLE_S)
            probe.submit_sheet()
            time.sleep(SETTLE_S)
            return {
                "idle": probe.measure(changes=False),
                "changes": probe.measure(changes=True),
            }
        finally:
            deployment.stop()


def fit_slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    xs, ys = zip(*points, strict=True)
    fit = statistics.linear_regression(xs, ys)
    return fit.slope, fit.intercept


def report_axis(axis: str, results: dict[int, dict]) -> None:
    """Print means by role for each size, and the slope for each role."""
    table = Table(title=axis)
    columns = ("phase", "role", "VMs", "CPU %", "RSS MB", "sent", "received")
    for column in (axis, *columns):
        table.add_column(column)
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
    for number, phases in results.items():
        for phase, samples in phases.items():
            for role in sorted({s.role for s in samples}):
                some = [s for s in samples if s.role == role]
                row = [str(number), phase, role, str(len(some))]
                table.add_row(*row, *(f"{mean(some, f):.2f}" for f in FIELDS))
                for field in FIELDS:
                    pair = (number, mean(some, field))
                    points.setdefault((phase, role, field), []).append(pair)
    console = Console(width=100)
    console.print(table)
    for (phase, role, field), pairs in points.items():
        if len(pairs) >= SIZES_FOR_SLOPE:
            slope, base = fit_slope(pairs)
            console.print(
                f"{phase}, {role}: {field} = {base:.3f} + {slope:.5f} x {axis}"
            )


def mean(samples: list[Sample], field: str) -> float:
    """Return the mean of one field."""
    return statistics.mean(getattr(sample, field) for sample in samples)


def main() -> None:
    """Measure the axes that the options name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--axis", choices=AXES, action="append")
    parser.add_argument("--json", metavar="FILE")
    parsed = parser.parse_args()
    report = {}
    for axis in parsed.axis or AXES:
        results = {
            getattr(size, axis): measure_size(size) for size in AXES[axis]
        }
        report_axis(axis, results)
        report[axis] = msgspec.to_builtins(results, str_keys=True)
    if parsed.json:
        pathlib.Path(parsed.json).write_text(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
