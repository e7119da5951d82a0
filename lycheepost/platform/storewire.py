"""Bodies of the calls to the platform's store."""

import binascii
from base64 import b64decode, b64encode

import msgspec
import structlog

from lycheepost.ports.feed import ChangedRow
from lycheepost.ports.table import Row

_log = structlog.get_logger(part="store")


class WireRow(msgspec.Struct, omit_defaults=True):
    """A row in an answer; ``ver`` counts transactions of the whole store."""

    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False

    def to_row(self) -> Row:
        """Return it as a row of the table port."""
        return Row(self.key, self._bytes(), self.ver)

    def to_change(self) -> ChangedRow:
        """Return it as a change."""
        return ChangedRow(self.key, None if self.deleted else self._bytes())

    def _bytes(self) -> bytes:
        """Return the value; empty when it cannot be read.

        Another writer's value must not cost us the rest of the answer. No row of ours
        and none that we understand is empty, so its reader tells it as unusable.
        """
        try:
            return b64decode(self.value)
        except (binascii.Error, ValueError) as error:
            _log.warning("store: value cannot be read", reason=str(error))
            return b""


class WireRows(msgspec.Struct):
    """An answer about rows.

    ``ver`` is the store's newest version, not that of a row.
    """

    rows: list[WireRow] = []
    ver: int = 0
    now_ms: float = 0
    has_more: bool = False


class WireExpected(msgspec.Struct):
    """A condition; ``ver`` 0 means that there is no such row."""

    table: str
    part: str
    key: str
    ver: int


class WirePut(msgspec.Struct):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str


class WireRemove(msgspec.Struct):
    """A row to drop."""

    table: str
    part: str
    key: str


class WireTransaction(msgspec.Struct):
    """Conditions and writes that take effect together or not at all."""

    expected: list[WireExpected]
    puts: list[WirePut]
    remove: list[WireRemove]


class WireCommitted(msgspec.Struct):
    """Answer to a transaction that took effect."""

    ver: int


def encode_value(value: bytes) -> str:
    """Return a row's value as it goes into a body."""
    return b64encode(value).decode()
