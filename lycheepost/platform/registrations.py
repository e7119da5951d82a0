"""What servers write of themselves into the store, decoded into our records.

Others may write there too. An entry that lacks a field, holds one of another type, or
states what the platform does not name, is another writer's and names no target.
"""

import ipaddress
from dataclasses import dataclass
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.ids import (
    AvailabilityZone,
    ModelId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget
from lycheepost.platform.documents import DocumentError
from lycheepost.platform.settings import parse_port
from lycheepost.utils.decoding import UNREADABLE

SERVER_TABLE = "servers"

_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MAX_SLOTS = 1_000_000
"""More requests at once than any one process serves."""

_Count = Annotated[int, msgspec.Meta(ge=0)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]


class _WireServerModel(msgspec.Struct):
    """``version`` is that of the weights."""

    name: str
    version: _Count


class _WireServer(msgspec.Struct):
    """A server's own entry; its ``version`` is that of its software, not weights.

    ``seq`` counts its writes, and ``born`` is the Unix millisecond of its start. Not
    all deployments state the latter.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Slots
    state: str
    cold_left_ms: float
    seq: _Count
    models: list[_WireServerModel] = []
    born: _Count | msgspec.UnsetType = msgspec.UNSET


@dataclass(frozen=True)
class EntryError(DocumentError):
    """A server's entry that names no target."""


def decode_server(name: str, data: bytes) -> Result[ListedTarget, EntryError]:
    """Return the target that a server's entry describes.

    Args:
        name: The entry's key: the server's id, which it may have in several starts.
        data: The entry.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireServer)
    except UNREADABLE as error:
        return Failure(EntryError(f"the entry cannot be read: {error}"))
    is_leaving = _LEAVING_BY_STATE.get(wire.state)
    if is_leaving is None:
        return Failure(EntryError(f"the state {wire.state[:40]!r} is not known"))
    if not _is_address(wire.address):
        return Failure(EntryError(f"{wire.address[:40]!r} is not IP:PORT"))
    return Success(
        ListedTarget(
            target=TargetId(name),
            target_group=TargetGroupId(wire.service),
            address=wire.address,
            availability_zone=AvailabilityZone(wire.zone),
            slots=wire.slots,
            is_leaving=is_leaving,
            weights={
                ModelId(model.name): WeightsVersion(str(model.version))
                for model in wire.models
            },
            started_ms=None if wire.born is msgspec.UNSET else wire.born,
        )
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return parse_port(port) is not None
