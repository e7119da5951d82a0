"""Raise the error of a failed result."""

from typing import TypeVar

from returns.result import Failure, Result, Success

from lycheepost.callers.errors import CallerError

T = TypeVar("T")


def unwrap(result: Result[T, CallerError]) -> T:
    """Return the value of a success.

    Raises:
        CallerError: The step failed.
    """
    match result:
        case Success(value):
            return value
        case Failure(error):
            raise error
    raise AssertionError("a result is a success or a failure")
