"""The errors of the operators' API, each with its HTTP status."""

from dataclasses import dataclass

from lycheepost.core.errors import LycheepostError
from lycheepost.generated.operators import (
    ErrorBody,
    ErrorFault,
    OperatorErrorKind,
)
from lycheepost.utils.documents import Fault

_STATUS = {
    OperatorErrorKind.NOT_AUTHENTICATED: 401,
    OperatorErrorKind.NOT_AN_OPERATOR: 403,
    OperatorErrorKind.MALFORMED: 400,
    OperatorErrorKind.INVALID_INTENT: 422,
    OperatorErrorKind.UNKNOWN_PLAN: 404,
    OperatorErrorKind.PLAN_EXPIRED: 410,
    OperatorErrorKind.BASIS_MOVED: 409,
    OperatorErrorKind.CONFLICT: 409,
    OperatorErrorKind.UNDETERMINED: 409,
    OperatorErrorKind.TOO_LARGE: 413,
    OperatorErrorKind.STORE_UNAVAILABLE: 503,
}


@dataclass(frozen=True)
class OperatorError(LycheepostError):
    """An error response of the operators' API.

    Attributes:
        kind: Machine-readable kind of the error.
        faults: All faults of the request, or all changes since the plan's basis.
        is_applied: Whether the change took effect; None if unknown.
        retry_after_seconds: Delay before a retry may succeed; None for never.
    """

    kind: OperatorErrorKind
    faults: tuple[Fault, ...] = ()
    is_applied: bool | None = False
    retry_after_seconds: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of this error."""
        return _STATUS[self.kind]

    def to_body(self) -> ErrorBody:
        """Return the JSON body of this error."""
        return ErrorBody(
            kind=self.kind,
            reason=self.reason,
            faults=[
                ErrorFault(path=fault.path, value=fault.value, reason=fault.reason)
                for fault in self.faults
            ],
            is_applied=self.is_applied,
            retry_after_seconds=self.retry_after_seconds,
        )
