"""Request and response bodies of the platform's store."""

import binascii
from base64 import b64decode, b64encode

import msgspec
import structlog

from lycheepost.core.ids import StoreEra
from lycheepost.core.storeversions import make_version
from lycheepost.ports.feed import ChangedRow
from lycheepost.ports.table import Row

_log = structlog.get_logger(part="store")


class WireRow(msgspec.Struct, omit_defaults=True):
    """A row in a response; ``ver`` counts transactions of the entire store."""

    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False

    def to_row(self, era: StoreEra) -> Row:
        """Return the row as a record of the table port.

        Args:
            era: The era of the response.
        """
        return Row(self.key, self._bytes(), make_version(era, self.ver))

    def to_change(self) -> ChangedRow:
        """Return the row as a record of the feed port."""
        return ChangedRow(self.key, None if self.deleted else self._bytes())

    def _bytes(self) -> bytes:
        """Return the decoded value; empty when it is not base64.

        An invalid value of another writer must not discard the rest of the response.
        No valid row is empty, so the reader of the row reports it as unusable.
        """
        try:
            return b64decode(self.value)
        except (binascii.Error, ValueError) as error:
            _log.warning("store: row value cannot be decoded", reason=str(error))
            return b""


class WireRows(msgspec.Struct):
    """A response with rows.

    ``ver`` is the newest version of the store, not of a row.
    """

    rows: list[WireRow] = []
    ver: int = 0
    now_ms: float = 0
    has_more: bool = False


class WireExpected(msgspec.Struct):
    """A condition; ``ver`` 0 requires that the row does not exist."""

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
    """A row to delete."""

    table: str
    part: str
    key: str


class WireTransaction(msgspec.Struct):
    """Conditions and writes that are applied atomically."""

    expected: list[WireExpected]
    puts: list[WirePut]
    remove: list[WireRemove]


class WireCommitted(msgspec.Struct):
    """Response to a transaction that was applied."""

    ver: int


def encode_value(value: bytes) -> str:
    """Return the value of a row in the encoding of request and response bodies."""
    return b64encode(value).decode()
