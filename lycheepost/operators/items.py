"""A draft of the next configuration, with items looked up and replaced by name.

A subject such as ``customers/acme`` names one item. The draft records every subject
that was read or changed, with a digest of its previous state, so that a confirm can
determine what has changed since. Each collection is indexed once: a plan of hundreds of
changes over 12,000 targets must not scan them for every change, since the daemon relays
streams on the same core.
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
    """Return the SHA-256 of an item's JSON; empty if it is absent.

    For a capacity intent only the fields that operators decide are hashed: its progress
    changes every few seconds, which must not prevent a plan from pausing it.

    A record decoded from a message without its default values equals one constructed
    with them, but ``encode_record`` omits in one what it writes in the other.
    ``asdict`` treats both alike. Otherwise each daemon would report that the basis of a
    plan made on another daemon had changed.
    """
    if item is None:
        return ""
    if isinstance(item, CapacityIntent):
        decided = (item.intent, item.kind.value, item.state.value)
        return hashlib.sha256(repr(decided).encode()).hexdigest()
    return hashlib.sha256(encode_record(dataclasses.asdict(item))).hexdigest()


class Draft:
    """The next configuration, to which changes are applied.

    Args:
        configuration: The revision on which the changes are based.
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
        """Return the item of ``subject`` or None, and add it to the basis."""
        collection, _, name = subject.partition("/")
        item = self._items[collection].get(name)
        self._basis.setdefault(subject, digest_item(item))
        return item

    def all(self, collection: str) -> list[Any]:
        """Return every item of a collection without adding it to the basis."""
        return list(self._items[collection].values())

    def put(self, item: Item) -> None:
        """Add ``item``, or replace the item of the same name in place."""
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
        """Return the items that were read or changed, with their previous digests."""
        return [
            BasisItem(subject=subject, digest=digest)
            for subject, digest in sorted(self._basis.items())
        ]

    def finish(self) -> Configuration:
        """Return the drafted configuration, still with the basis revision number."""
        collections: dict[str, Any] = {
            name: list(items.values()) for name, items in self._items.items()
        }
        return dataclasses.replace(self._configuration, **collections)
