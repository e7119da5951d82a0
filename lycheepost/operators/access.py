"""Authentication of the operators' API.

Operator keys are identified by their hashes in the settings, caller keys by theirs in
the configuration. A caller key gives no access to this API, and an operator key gives
no access to a customer's data.
"""

import hmac
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from lycheepost.generated.operators import (
    OperatorErrorKind,
)
from lycheepost.operators.errors import OperatorError
from lycheepost.operators.ports import OperatorDeps
from lycheepost.utils.keys import hash_key

_SCHEME = "bearer"
_OPERATOR_NAME_LENGTH = 12


@dataclass(frozen=True)
class Operator:
    """The operator behind one call.

    Attributes:
        name: First characters of the key's hash; identifies the operator in records.
        key: The key itself, kept only for the duration of the call.
    """

    name: str
    key: str = field(repr=False)


def identify_operator(
    deps: OperatorDeps, authorization: str | None
) -> Result[Operator, OperatorError]:
    """Return the operator of an ``Authorization`` header, or the error."""
    scheme, _, key = (authorization or "").partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        return Failure(_not_authenticated("The call carries no bearer key."))
    key_hash = hash_key(key)
    if any(hmac.compare_digest(key_hash, known) for known in deps.settings.key_hashes):
        return Success(Operator(key_hash[:_OPERATOR_NAME_LENGTH], key))
    if key_hash in deps.revisions.view.customer_by_key_hash:
        reason = "A caller key does not open the operators' API."
        return Failure(OperatorError(reason, OperatorErrorKind.NOT_AN_OPERATOR))
    return Failure(_not_authenticated("The key is not known."))


def _not_authenticated(reason: str) -> OperatorError:
    return OperatorError(reason, OperatorErrorKind.NOT_AUTHENTICATED)
