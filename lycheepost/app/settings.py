"""Reads and validates a settings file.

The schema defines the structure and the range of each field. Constraints between
several fields are checked here. All faults of both kinds are reported together.
"""

import pathlib
from typing import Any

from returns.result import Failure, Result, Success

from lycheepost.generated.configuration import Configuration
from lycheepost.generated.settings import Settings, TlsSettings
from lycheepost.utils.documents import (
    Fault,
    check_document,
    convert_document,
    parse_yaml,
)


def read_settings(path: pathlib.Path) -> Result[Settings, list[Fault]]:
    """Read and check the settings file at ``path``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Fault("(file)", str(path), str(error))])
    return parse_yaml(text).bind(check_settings)


def check_settings(document: Any) -> Result[Settings, list[Fault]]:
    """Validate a parsed settings document and convert it to a record."""
    faults = check_document("settings", document)
    if isinstance(document, dict):
        faults += _check_fallback(document.get("fallback_configuration"))
    if faults:
        return Failure(faults)
    converted = convert_document("settings", document, Settings)
    match converted:
        case Success(settings):
            faults = check_relations(settings)
            return Failure(faults) if faults else Success(settings)
        case _:
            return converted


def _check_fallback(document: Any) -> list[Fault]:
    if document is None:
        return []
    faults = check_document("configuration", document)
    return [
        Fault(f"fallback_configuration.{fault.path}", fault.value, fault.reason)
        for fault in faults
    ]


def fallback_configuration(settings: Settings) -> Configuration:
    """Return the configuration used when no source responds at the start.

    Its revision is zero whatever the file says, so that any accepted revision takes
    precedence over it.
    """
    document = settings.fallback_configuration or {}
    match convert_document("configuration", document | {"revision": 0}, Configuration):
        case Success(configuration):
            return configuration
        case Failure(faults):
            raise ValueError(f"unchecked fallback configuration: {faults}")
    raise AssertionError("a result is a success or a failure")


def check_relations(settings: Settings) -> list[Fault]:
    """Return violations of constraints between fields."""
    return [
        *_check_lease(settings),
        *_check_orders(settings),
        *_check_first_token_timeout(settings),
        *_check_queues(settings),
        *_check_ports(settings),
        *_check_peer_keys(settings),
        *_check_tls("callers_tls", settings.listeners.callers_tls),
        *_check_tls("operators_tls", settings.listeners.operators_tls),
    ]


def _check_lease(settings: Settings) -> list[Fault]:
    state = settings.state
    if state.lease_margin_seconds * 2 < state.lease_seconds:
        return []
    return [
        Fault(
            "state.lease_margin_seconds",
            str(state.lease_margin_seconds),
            "must be under half of state.lease_seconds, or a holder has no time "
            "to renew",
        )
    ]


def _check_orders(settings: Settings) -> list[Fault]:
    operators = settings.operators
    if operators.order_timeout_seconds < settings.state.lease_margin_seconds:
        return []
    return [
        Fault(
            "operators.order_timeout_seconds",
            str(operators.order_timeout_seconds),
            "must be under state.lease_margin_seconds, or an order may arrive after "
            "the next holder has begun",
        )
    ]


def _check_first_token_timeout(settings: Settings) -> list[Fault]:
    limits = settings.limits
    if limits.default_patience_seconds <= limits.max_patience_seconds:
        return []
    return [
        Fault(
            "limits.default_patience_seconds",
            str(limits.default_patience_seconds),
            "must not exceed limits.max_patience_seconds",
        )
    ]


def _check_queues(settings: Settings) -> list[Fault]:
    limits = settings.limits
    if limits.customer_queue_requests <= limits.queue_requests:
        return []
    return [
        Fault(
            "limits.customer_queue_requests",
            str(limits.customer_queue_requests),
            "must not exceed limits.queue_requests",
        )
    ]


def _check_ports(settings: Settings) -> list[Fault]:
    listeners = settings.listeners
    if listeners.callers_port == 0:
        return []
    if listeners.callers_port != listeners.operators_port:
        return []
    return [
        Fault(
            "listeners.operators_port",
            str(listeners.operators_port),
            "must differ from listeners.callers_port; to serve operators there "
            "set listeners.operators_on_callers_port",
        )
    ]


def _check_peer_keys(settings: Settings) -> list[Fault]:
    peers = settings.peers
    if bool(peers.secret_key) == bool(peers.public_key):
        return []
    missing = "public_key" if peers.secret_key else "secret_key"
    return [
        Fault(f"peers.{missing}", "(empty)", "both keys of the pair must be given"),
    ]


def _check_tls(name: str, tls: TlsSettings | None) -> list[Fault]:
    if tls is None:
        return []
    faults = []
    for field in ("certificate_path", "key_path"):
        path = getattr(tls, field)
        if not pathlib.Path(path).is_file():
            faults.append(Fault(f"listeners.{name}.{field}", path, "is not a file"))
    return faults
