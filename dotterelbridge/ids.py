"""Identifier types and enums shared by all subpackages."""

import enum
from typing import NewType

VmId = NewType("VmId", str)
"""Name of an entry VM in the settings, unique in the deployment."""

MemberId = NewType("MemberId", str)
"""Identity of a VM's durable state; a VM that starts without state gets a
new one."""

FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
Business = NewType("Business", str)
TeamName = NewType("TeamName", str)
TargetId = NewType("TargetId", str)
Incarnation = tuple[TargetId, int]
"""A target and the Unix time of its start in ms."""
ItemName = NewType("ItemName", str)
"""Name of a model, adapter or service on the sheet."""
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software that a target runs, not of its weights; empty
while unknown."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
OrderId = NewType("OrderId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

FencingNumber = NewType("FencingNumber", int)
Term = NewType("Term", int)
ConnectionId = NewType("ConnectionId", int)
"""Identifies a connection to a target within one process."""
LogIndex = NewType("LogIndex", int)
SheetNumber = NewType("SheetNumber", int)
"""Number that the planners assigned to a sheet."""

PartId = NewType("PartId", str)
"""Part of a prompt that several requests may share."""

TraitId = NewType("TraitId", str)
"""Something that requests have in common under which targets crash: a part
of a prompt, the same request sent again, or the caller."""

Revision = NewType("Revision", int)
"""Sequence number of an accepted sheet, in the order of acceptance."""


class Priority(enum.Enum):
    """Priority of a request; urgent requests are served first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class ItemKind(enum.Enum):
    """Kind of the item in a sheet row."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"


class RunStatus(enum.Enum):
    """Whether a request ran at a target.

    Sent to callers in the header Dotterelbridge-Run.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
