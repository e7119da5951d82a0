"""Decodes the entries that servers register in the platform's store.

Other programs may write there too. An entry that lacks a field, has a field of another
type or has a value that the platform does not define is rejected.
"""

import ipaddress
from dataclasses import dataclass
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.ids import (
    AvailabilityZone,
    ModelId,
    SoftwareVersion,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget
from lycheepost.platform.documents import DocumentError
from lycheepost.platform.numbers import Count
from lycheepost.platform.settings import parse_port
from lycheepost.utils.decoding import UNREADABLE

SERVER_TABLE = "servers"

_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MAX_SLOTS = 1_000_000
"""Above the number of concurrent requests that one process can serve."""

_Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]


class _WireServerModel(msgspec.Struct):
    """A served model; ``version`` is the version of its weights."""

    name: str
    version: Count


class _WireServer(msgspec.Struct):
    """A server's entry; ``version`` is the version of its software, not of weights.

    ``seq`` counts its writes. ``born`` is the Unix time of its start in milliseconds,
    which not all deployments state.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Slots
    state: str
    cold_left_ms: float
    seq: Count
    models: list[_WireServerModel] = []
    born: Count | msgspec.UnsetType = msgspec.UNSET


@dataclass(frozen=True)
class EntryError(DocumentError):
    """A server's entry that cannot be decoded or is invalid."""


def decode_server(name: str, data: bytes) -> Result[ListedTarget, EntryError]:
    """Return the target that a server's entry describes.

    Args:
        name: The entry's key: the server's id, which it may keep across restarts.
        data: The entry.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireServer)
    except UNREADABLE as error:
        return Failure(EntryError(f"the entry cannot be decoded: {error}"))
    is_leaving = _LEAVING_BY_STATE.get(wire.state)
    if is_leaving is None:
        return Failure(EntryError(f"unknown state {wire.state[:40]!r}"))
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
            software_version=SoftwareVersion(wire.version),
        )
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return parse_port(port) is not None
