"""Interface to the platform's object store: whole objects by name."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lycheepost.core.errors import LycheepostError


@dataclass(frozen=True)
class ObjectError(LycheepostError):
    """A call to the object store failed; a put may or may not have taken effect."""


@dataclass(frozen=True)
class ObjectMissing(ObjectError):
    """There is no object with this name."""


class ObjectPort(Protocol):
    """Operations required of an object store."""

    async def get(self, name: str) -> Result[bytes, ObjectError]:
        """Return one object."""
        ...

    async def put(self, name: str, data: bytes) -> Result[None, ObjectError]:
        """Write or replace one object."""
        ...

    async def list_names(self, prefix: str) -> Result[tuple[str, ...], ObjectError]:
        """Return the names that start with ``prefix``; the list may be stale."""
        ...

    async def delete(self, name: str) -> Result[None, ObjectError]:
        """Remove one object; removing a missing one succeeds."""
        ...
