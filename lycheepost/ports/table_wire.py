"""Bodies of the table service's HTTP interface that are not in ``ports.table``."""

from dataclasses import dataclass

from lycheepost.ports.table import Row


@dataclass(frozen=True, slots=True)
class ReadBody:
    """Body of ``POST /read``."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Answer of ``POST /read``: one row or null for each key."""

    rows: tuple[Row | None, ...]


@dataclass(frozen=True, slots=True)
class ScanBody:
    """Body of ``POST /scan``."""

    prefix: str
    after_key: str | None
    limit: int
