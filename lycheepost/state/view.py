"""Indexes over one configuration revision, built once when it is adopted."""

from collections import defaultdict
from dataclasses import dataclass

from lycheepost.core.ids import CustomerId, ModelId, TargetGroupId, TargetId
from lycheepost.generated.configuration import (
    Configuration,
    Customer,
    Model,
    Target,
    TargetGroup,
)


@dataclass(frozen=True)
class ConfigurationView:
    """One configuration with the look-ups that every request needs."""

    configuration: Configuration
    customer_by_key_hash: dict[str, Customer]
    customers: dict[CustomerId, Customer]
    models: dict[ModelId, Model]
    target_groups: dict[TargetGroupId, TargetGroup]
    targets: dict[TargetId, Target]
    targets_by_group: dict[TargetGroupId, tuple[Target, ...]]


def make_view(configuration: Configuration) -> ConfigurationView:
    """Index ``configuration``; disabled customers keep no working key."""
    grouped = defaultdict(list)
    for target in configuration.targets:
        grouped[TargetGroupId(target.target_group)].append(target)
    return ConfigurationView(
        configuration=configuration,
        customer_by_key_hash={
            key_hash: customer
            for customer in configuration.customers
            if customer.is_enabled
            for key_hash in customer.key_hashes
        },
        customers={CustomerId(item.customer): item for item in configuration.customers},
        models={ModelId(item.model): item for item in configuration.models},
        target_groups={
            TargetGroupId(item.target_group): item
            for item in configuration.target_groups
        },
        targets={TargetId(item.target): item for item in configuration.targets},
        targets_by_group={name: tuple(items) for name, items in grouped.items()},
    )
