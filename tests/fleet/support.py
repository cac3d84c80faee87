"""Helpers shared by the tests of the fleet package."""

from datetime import timedelta

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.engine import EngineReport
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import HeldModel
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import VmId
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.quarantine.quarantine import QuarantinedTrait
from dotterelbridge.quarantine.quarantine import QuarantineSnapshot
from dotterelbridge.quarantine.settings import QuarantineSettings
from tests.routes.support import LLM
from tests.routes.support import create_engine

DOMAIN = FailureDomain("a")
RETRY_AFTER = timedelta(seconds=60)
REQUEST_RETRY_AFTER = timedelta(seconds=30)


def create_target(name="e1", held=(), **fields) -> FleetTarget:
    """Return a target; ``held`` contains model names or HeldModels."""
    defaults = {
        "target": TargetId(name),
        "born": 1,
        "service": LLM,
        "host": "127.0.0.1",
        "port": 1,
        "failure_domain": DOMAIN,
        "slots": 8,
        "phase": TargetPhase.READY,
        "held": tuple(HeldModel(m) if isinstance(m, str) else m for m in held),
    }
    return FleetTarget(**(defaults | fields))


def create_quarantine(vm="f1", *parts) -> Quarantine:
    """Return the quarantine of a VM, with parts in force from the start."""
    settings = QuarantineSettings(
        quarantine_s=RETRY_AFTER.total_seconds(),
        quarantine_request_s=REQUEST_RETRY_AFTER.total_seconds(),
    )
    quarantine = Quarantine(VmId(vm), settings, ManualClock())
    if parts:
        entries = tuple(QuarantinedTrait(part) for part in parts)
        quarantine.activate(QuarantineSnapshot(1, entries))
    return quarantine


def create_report(held=(), orders=0, **fields) -> EngineReport:
    defaults = {
        "born": 1,
        "held": tuple(HeldModel(m) if isinstance(m, str) else m for m in held),
        "loading_adapters": (),
        "is_busy": False,
        "orders_accepted": orders,
        "load": TargetLoad(),
    }
    return EngineReport(**(defaults | fields))


def create_engine_state(
    name="e1", held=(), engine=None, now=0.0, **fields
) -> EngineState:
    """Return the state of an engine that has reported what it holds."""
    state = EngineState(create_target(name, held), engine or create_engine())
    state.apply_report(create_report(held, **fields), now)
    return state


def key(model, adapter="") -> ItemKey:
    return ItemKey(LLM, model, adapter)
