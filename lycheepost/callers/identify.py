"""Identify the customer of a bearer key, and what that customer may use."""

from collections.abc import Mapping

from returns.result import Failure, Result, Success

from lycheepost.callers.errors import CallerError, ErrorType, unauthenticated
from lycheepost.core.ids import CustomerId, ModelId, TargetGroupId
from lycheepost.generated.configuration import (
    Customer,
    Model,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.state.view import ConfigurationView
from lycheepost.utils.keys import hash_key

_BEARER = "bearer "

_NOT_CONFIGURED = CallerError(
    "This daemon has just started and holds no accepted configuration yet.",
    status=503,
    type=ErrorType.SERVER,
    code="not_configured",
    retry_after_seconds=1.0,
)


def read_bearer(headers: Mapping[str, str]) -> str | None:
    """Return the bearer key of a request; None when there is none."""
    value = headers.get("Authorization", "")
    if not value.lower().startswith(_BEARER):
        return None
    return value[len(_BEARER) :].strip() or None


def identify_customer(
    view: ConfigurationView, headers: Mapping[str, str]
) -> Result[Customer, CallerError]:
    """Return the customer whose key the request carries."""
    key = read_bearer(headers)
    if key is None:
        return Failure(unauthenticated("A bearer key is missing."))
    customer = view.customer_by_key_hash.get(hash_key(key))
    if customer is not None:
        return Success(customer)
    if not is_configured(view):
        return Failure(_NOT_CONFIGURED)
    return Failure(unauthenticated("The key is not known or no longer valid."))


def is_configured(view: ConfigurationView) -> bool:
    """Return whether an accepted configuration has been received.

    A daemon that has just restarted may hold only the configuration in its settings,
    so a key that it does not know may still be valid. A client that receives "invalid
    key" does not retry; one that receives a time to retry after asks again, or asks
    another address.
    """
    return view.configuration.revision > 0


def find_model(
    view: ConfigurationView, customer: Customer, name: ModelId
) -> Result[Model, CallerError]:
    """Return a model that the customer may use.

    A model of other customers is reported as missing, so that its name does not leak.
    """
    model = view.models.get(name)
    if model is None or (customer.models and name not in customer.models):
        return Failure(
            CallerError(
                "The model does not exist or is not open to this key.",
                status=404,
                code="model_not_found",
                param="model",
            )
        )
    return Success(model)


def list_models(view: ConfigurationView, customer: Customer) -> list[Model]:
    """Return the models that the customer may use, by name."""
    return sorted(
        (
            model
            for model in view.models.values()
            if not customer.models or model.model in customer.models
        ),
        key=lambda model: model.model,
    )


def find_service(
    view: ConfigurationView, customer: Customer, name: str
) -> Result[TargetGroup, CallerError]:
    """Return a plain service that the customer may use."""
    group = view.target_groups.get(TargetGroupId(name))
    is_open = not customer.target_groups or name in customer.target_groups
    if group is None or group.kind is not TargetGroupKind.SERVICE or not is_open:
        return Failure(
            CallerError(
                "The service does not exist or is not open to this key.",
                status=404,
                type=ErrorType.INVALID_REQUEST,
                code="service_not_found",
            )
        )
    return Success(group)


def cache_salt(customer: Customer) -> str:
    """Return the salt that separates this customer's cached blocks."""
    return customer.cache_salt or f"customer:{CustomerId(customer.customer)}"
