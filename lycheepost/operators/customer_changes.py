"""Changes of customers and their caller keys."""

import dataclasses

from lycheepost.core.quotas import quota_errors
from lycheepost.generated.configuration import (
    Customer,
    CustomerQuota,
    CustomerQuotaUnit,
)
from lycheepost.generated.intents import (
    AlterCustomer,
    CreateCustomer,
    RemoveCustomerQuota,
    RotateCustomerKey,
    SetCustomerQuota,
)
from lycheepost.operators.change_results import (
    Applied,
    ChangeResult,
    HashForCustomer,
    check_absent,
    check_list,
    check_present,
    replace_given,
)
from lycheepost.operators.items import Draft
from lycheepost.state.customerquotas import to_quota
from lycheepost.utils.documents import Fault

_SALT_HASH_LENGTH = 16


def _check_customer_lists(
    draft: Draft, change: CreateCustomer | AlterCustomer
) -> list[Fault]:
    faults = check_list(draft, "models", change.models, "models")
    return faults + check_list(
        draft, "target_groups", change.target_groups, "target_groups"
    )


def create_customer(
    draft: Draft, change: CreateCustomer, hash_for: HashForCustomer
) -> ChangeResult:
    """Create a customer with one key."""
    subject = f"customers/{change.customer}"
    faults = check_absent(draft, subject, "customer")
    faults += _check_customer_lists(draft, change)
    faults += _check_key_unused(draft, change.key_hash)
    if faults:
        return faults
    key_hash = change.key_hash or hash_for(change.customer)
    customer = Customer(
        customer=change.customer,
        key_hashes=[key_hash],
        # The name alone is not enough: a customer created under the name of a removed
        # one would share its cached blocks on the engines.
        cache_salt=f"{change.customer}:{key_hash[:_SALT_HASH_LENGTH]}",
        share_weight=change.share_weight,
        models=change.models,
        target_groups=change.target_groups,
    )
    draft.put(customer)
    return Applied("create_customer", subject, f"weight {change.share_weight}")


def _check_key_unused(draft: Draft, key_hash: str) -> list[Fault]:
    # Two customers with the same key would get access to each other's data, since a
    # request is attributed to whichever customer the look-up returns.
    if key_hash and any(
        key_hash in customer.key_hashes for customer in draft.all("customers")
    ):
        return [Fault("key_hash", key_hash[:8] + "...", "is in use")]
    return []


def alter_customer(draft: Draft, change: AlterCustomer) -> ChangeResult:
    """Change fields of a customer."""
    subject = f"customers/{change.customer}"
    faults = check_present(draft, subject, "customer")
    faults += _check_customer_lists(draft, change)
    if faults:
        return faults
    fields = ("share_weight", "models", "target_groups", "is_enabled")
    customer, detail = replace_given(draft.find(subject), change, fields)
    draft.put(customer)
    return Applied("alter_customer", subject, detail)


def rotate_customer_key(
    draft: Draft, change: RotateCustomerKey, hash_for: HashForCustomer
) -> ChangeResult:
    """Replace a customer's caller key by a new one."""
    subject = f"customers/{change.customer}"
    faults = check_present(draft, subject, "customer")
    faults += _check_key_unused(draft, change.key_hash)
    if faults:
        return faults
    customer = draft.find(subject)
    kept = customer.key_hashes[:1] if change.keep_newest_old_key else []
    new_hash = change.key_hash or hash_for(change.customer)
    draft.put(dataclasses.replace(customer, key_hashes=[new_hash, *kept]))
    n_ended = len(customer.key_hashes) - len(kept)
    detail = f"a new key; {len(kept)} old keys work on, {n_ended} end"
    return Applied("rotate_customer_key", subject, detail)


def set_customer_quota(draft: Draft, change: SetCustomerQuota) -> ChangeResult:
    """Limit the rate at which a customer is served by all daemons together."""
    subject = f"customers/{change.customer}"
    faults = check_present(draft, subject, "customer")
    written = CustomerQuota(
        unit=CustomerQuotaUnit(change.unit.value),
        rate_per_second=change.rate_per_second,
        burst=change.burst,
        plain_units=change.plain_units,
    )
    reasons = quota_errors(to_quota(written))
    faults += [Fault("quota", change.customer, reason) for reason in reasons]
    if faults:
        return faults
    draft.put(dataclasses.replace(draft.find(subject), quota=written))
    rate = f"{change.rate_per_second:g} {change.unit.value} a second"
    detail = f"{rate}, burst {change.burst:g}"
    return Applied("set_customer_quota", subject, detail)


def remove_customer_quota(draft: Draft, change: RemoveCustomerQuota) -> ChangeResult:
    """Remove the rate limit of a customer."""
    subject = f"customers/{change.customer}"
    faults = check_present(draft, subject, "customer")
    if faults:
        return faults
    draft.put(dataclasses.replace(draft.find(subject), quota=None))
    return Applied("remove_customer_quota", subject, "no limit")
