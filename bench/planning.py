"""Measures planning: time and memory as replicas and models grow.

Run with ``python -m bench.planning``; prints a Markdown table. Each row
plans one of 15 failure domains: first an empty one, then one at rest with
demand that moved.
"""

import argparse
import random
import statistics
import time
import tracemalloc

from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.placement.demand_policy import MAX_LOADS_PER_PLAN
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import CopyView
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.policy import create_item
from dotterelbridge.placement.policy import create_policy
from dotterelbridge.placement.policy import get_row_key
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.sheet.rows import SheetRow

DOMAINS = 15
TARGET_REPLICAS = 2600
TARGET_MODELS = 1600
MEMORY_MB = 80_000
KV_MB = 16_000
ADAPTERS_PER_MODEL = 2
PEAK_REQUESTS_PER_S = 2300.0
SIZES = ((160, 100), (325, 200), (650, 400), (1300, 800), (2600, 1600))
RUNS = 5


def create_rows(models: int, replicas: int) -> list[SheetRow]:
    """Return models that fill 60% of a domain's memory, and adapters."""
    usable_mb = replicas // DOMAINS * (MEMORY_MB - KV_MB)
    model_mb = min(MEMORY_MB - KV_MB, int(0.6 * usable_mb / models))
    rows = [
        SheetRow(
            kind=ItemKind.MODEL,
            business="both",
            name=ItemName(f"model-{i}"),
            version="1",
            memory_mb=model_mb,
        )
        for i in range(models)
    ]
    rows += [
        SheetRow(
            kind=ItemKind.ADAPTER,
            business="both",
            name=ItemName(f"adapter-{i}"),
            version="1",
            base=ItemName(f"model-{i % models}"),
            memory_mb=max(1, model_mb // 50),
        )
        for i in range(models * ADAPTERS_PER_MODEL)
    ]
    return rows


def create_rates(
    rows: list[SheetRow], generator: random.Random
) -> dict[ItemName, float]:
    """Return demand for a domain: a few items have most of it."""
    weights = [generator.paretovariate(1.1) for _ in rows]
    peak = PEAK_REQUESTS_PER_S / DOMAINS
    total = sum(weights)
    return {
        row.name: peak * weight / total
        for row, weight in zip(rows, weights, strict=True)
    }


def create_input(
    rows: list[SheetRow],
    replicas: int,
    rates: dict[ItemName, float],
    placed: dict[TargetId, set[str]],
) -> PlanInput:
    """Return the state of one domain with the placed items ready."""
    by_key = {get_row_key(row): row for row in rows}
    accelerators = []
    for number in range(replicas // DOMAINS):
        target = TargetId(f"target-{number}")
        copies = {
            key: CopyView(item=create_item(by_key[key]), age_s=1e6)
            for key in placed.get(target, ())
        }
        used_mb = sum(copy.item.memory_mb for copy in copies.values())
        accelerators.append(
            AcceleratorView(
                target=target,
                usable_mb=MEMORY_MB - KV_MB,
                free_mb=MEMORY_MB - KV_MB - used_mb,
                copies=copies,
            )
        )
    return PlanInput(
        accelerators=accelerators,
        rows=rows,
        rates=rates,
        domain_count=DOMAINS,
    )


def place_all(rows, replicas, rates, policy) -> dict[TargetId, set[str]]:
    """Return where plans put everything, starting from nothing."""
    placed: dict[TargetId, set[str]] = {}
    for _ in range(2 + 3 * len(rows) // MAX_LOADS_PER_PLAN):
        plan = policy.plan(create_input(rows, replicas, rates, placed))
        for unload in plan.unloads:
            placed[unload.target].discard(unload.key)
        for load in plan.loads:
            key = f"{load.item.name}@{load.item.version}"
            placed.setdefault(load.target, set()).add(key)
    return placed


def measure_ms(policy, states) -> float:
    """Return the median time of planning each state, in milliseconds."""
    times = []
    for state in states:
        started = time.perf_counter()
        policy.plan(state)
        times.append((time.perf_counter() - started) * 1000)
    return statistics.median(times)


def measure_peak_kb(policy, state) -> float:
    """Return the most memory that one plan takes, in kilobytes."""
    tracemalloc.start()
    policy.plan(state)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / 1024


def measure_size(replicas: int, models: int) -> tuple[float, float, float]:
    """Return milliseconds for an empty and a filled domain, and KB."""
    generator = random.Random(1)
    policy = create_policy(PlacementSettings())
    rows = create_rows(models, replicas)
    rates = create_rates(rows, generator)
    placed = place_all(rows, replicas, rates, policy)
    empty = [create_input(rows, replicas, rates, {}) for _ in range(RUNS)]
    moved = [
        create_input(rows, replicas, create_rates(rows, generator), placed)
        for _ in range(RUNS)
    ]
    peak_kb = measure_peak_kb(
        policy, create_input(rows, replicas, rates, placed)
    )
    return measure_ms(policy, empty), measure_ms(policy, moved), peak_kb


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    print("| replicas | models | empty domain, ms | demand moved, ms | KB |")
    print("|---|---|---|---|---|")
    for replicas, models in SIZES:
        empty_ms, moved_ms, peak_kb = measure_size(replicas, models)
        print(
            f"| {replicas} | {models} | {empty_ms:.1f} | {moved_ms:.1f} "
            f"| {peak_kb:.0f} |"
        )


if __name__ == "__main__":
    main()
