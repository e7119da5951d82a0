"""Apply the plain changes of an intent to a draft configuration.

A plain change takes effect with its revision. Each function either changes the draft
and returns the resulting step, or returns all faults.
"""

from lycheepost.generated.intents import (
    AddTarget,
    AlterCustomer,
    AlterModel,
    AlterTarget,
    AlterTargetGroup,
    CreateCustomer,
    CreateModel,
    CreateTargetGroup,
    Remove,
    RemoveCustomerQuota,
    RetireTarget,
    RotateCustomerKey,
    SetCustomerQuota,
    SetWeightsVersion,
)
from lycheepost.operators.change_results import ChangeResult, HashForCustomer
from lycheepost.operators.customer_changes import (
    alter_customer,
    create_customer,
    remove_customer_quota,
    rotate_customer_key,
    set_customer_quota,
)
from lycheepost.operators.items import Draft
from lycheepost.operators.model_changes import (
    alter_model,
    create_model,
    set_weights_version,
)
from lycheepost.operators.removal import remove
from lycheepost.operators.target_changes import (
    add_target,
    alter_target,
    alter_target_group,
    create_target_group,
    retire_target,
)

PlainChange = (
    AddTarget
    | AlterCustomer
    | AlterModel
    | AlterTarget
    | AlterTargetGroup
    | CreateCustomer
    | CreateModel
    | CreateTargetGroup
    | Remove
    | RemoveCustomerQuota
    | RetireTarget
    | RotateCustomerKey
    | SetCustomerQuota
    | SetWeightsVersion
)


def apply_plain_change(
    draft: Draft, change: PlainChange, hash_for: HashForCustomer
) -> ChangeResult:
    """Apply one plain change to ``draft``, or return its faults."""
    match change:
        case CreateCustomer():
            return create_customer(draft, change, hash_for)
        case AlterCustomer():
            return alter_customer(draft, change)
        case RotateCustomerKey():
            return rotate_customer_key(draft, change, hash_for)
        case SetCustomerQuota():
            return set_customer_quota(draft, change)
        case RemoveCustomerQuota():
            return remove_customer_quota(draft, change)
        case CreateModel():
            return create_model(draft, change)
        case AlterModel():
            return alter_model(draft, change)
        case SetWeightsVersion():
            return set_weights_version(draft, change)
        case CreateTargetGroup():
            return create_target_group(draft, change)
        case AlterTargetGroup():
            return alter_target_group(draft, change)
        case AddTarget():
            return add_target(draft, change)
        case AlterTarget():
            return alter_target(draft, change)
        case RetireTarget():
            return retire_target(draft, change)
        case Remove():
            return remove(draft, change)
