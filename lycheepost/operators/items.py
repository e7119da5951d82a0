"""A draft of the next configuration: named items, looked up and replaced.

A subject such as ``customers/acme`` names one item. The draft remembers every
subject that was looked at or changed, with a digest of how it stood, so that a
confirm can tell exactly what moved since. It indexes each collection once: a
plan of hundreds of changes over 12,000 targets must not scan them per change,
since the daemon relays streams on the same core.
"""

import dataclasses
import hashlib
from typing import Any

from lycheepost.generated.configuration import (
    CapacityIntent,
    Configuration,
    Customer,
    Model,
    Target,
    TargetGroup,
)
from lycheepost.generated.operators import (
    BasisItem,
)
from lycheepost.utils.documents import encode_record

Item = Customer | Model | TargetGroup | Target | CapacityIntent

_NAME_FIELDS = {
    "customers": "customer",
    "models": "model",
    "target_groups": "target_group",
    "targets": "target",
    "capacity_intents": "intent",
}
_COLLECTIONS: dict[type[Item], str] = {
    Customer: "customers",
    Model: "models",
    TargetGroup: "target_groups",
    Target: "targets",
    CapacityIntent: "capacity_intents",
}


def subject_of(item: Item) -> str:
    """Return the subject that names ``item``."""
    collection = _COLLECTIONS[type(item)]
    return f"{collection}/{getattr(item, _NAME_FIELDS[collection])}"


def digest_item(item: Item | None) -> str:
    """Return the SHA-256 of an item's JSON; empty when it is absent.

    Of a capacity intent only what operators decide counts: its progress moves
    every few seconds, and a plan to pause it must not be refused for that.

    A record that came over a wire without its default values equals the one that
    was made with them, but ``encode_record`` leaves out in the one what it writes
    in the other. ``asdict`` reads both alike; else each daemon would tell that a
    plan made on another daemon had moved.
    """
    if item is None:
        return ""
    if isinstance(item, CapacityIntent):
        decided = (item.intent, item.kind.value, item.state.value)
        return hashlib.sha256(repr(decided).encode()).hexdigest()
    return hashlib.sha256(encode_record(dataclasses.asdict(item))).hexdigest()


class Draft:
    """The next configuration while changes are applied to it.

    Args:
        configuration: The revision that the changes build on.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._items: dict[str, dict[str, Any]] = {
            collection: {
                getattr(item, field): item
                for item in getattr(configuration, collection)
            }
            for collection, field in _NAME_FIELDS.items()
        }
        self._basis: dict[str, str] = {}

    def find(self, subject: str) -> Any:
        """Return the item of ``subject`` or None, and remember the look."""
        collection, _, name = subject.partition("/")
        item = self._items[collection].get(name)
        self._basis.setdefault(subject, digest_item(item))
        return item

    def all(self, collection: str) -> list[Any]:
        """Return every item of a collection without remembering the look."""
        return list(self._items[collection].values())

    def put(self, item: Item) -> None:
        """Add ``item``, or replace the one of the same name in its place."""
        subject = subject_of(item)
        self.find(subject)
        collection, _, name = subject.partition("/")
        self._items[collection][name] = item

    def drop(self, subject: str) -> None:
        """Remove the item of ``subject``."""
        self.find(subject)
        collection, _, name = subject.partition("/")
        self._items[collection].pop(name, None)

    def basis(self) -> list[BasisItem]:
        """Return what was looked at or changed, as it stood before."""
        return [
            BasisItem(subject=subject, digest=digest)
            for subject, digest in sorted(self._basis.items())
        ]

    def finish(self) -> Configuration:
        """Return the drafted configuration; the revision is still the basis."""
        collections: dict[str, Any] = {
            name: list(items.values()) for name, items in self._items.items()
        }
        return dataclasses.replace(self._configuration, **collections)
