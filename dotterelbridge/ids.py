"""Identifier types shared by all parts."""

import enum
from typing import NewType

VmId = NewType("VmId", str)
"""Name of an entry VM, unique in the deployment; from its settings."""

MemberId = NewType("MemberId", str)
"""Identity of one life of a VM's state; new when its state was empty."""

FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
Business = NewType("Business", str)
TargetId = NewType("TargetId", str)
ItemName = NewType("ItemName", str)
"""Name of a model, adapter or service on the sheet."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
OrderId = NewType("OrderId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

FencingNumber = NewType("FencingNumber", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
SheetNumber = NewType("SheetNumber", int)
"""Number that the planners gave a sheet."""

Revision = NewType("Revision", int)
"""Position of an accepted sheet in the order of acceptance."""


class Priority(enum.Enum):
    """Priority of a request; urgent work goes first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class ItemKind(enum.Enum):
    """Kind of a sheet row."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"


class RunStatus(enum.Enum):
    """Whether a request ran at a target; sent as Dotterelbridge-Run."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
