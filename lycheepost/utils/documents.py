"""Check a document against a schema and convert it to generated records.

All faults are reported together, each with its path, value and reason, so that an
operator can correct a settings file in one step.
"""

import functools
import importlib.resources
import json
from dataclasses import dataclass
from typing import Any, TypeVar

import jsonschema
import msgspec
import yaml
from returns.result import Failure, Result, Success

_SHOWN_VALUE_CHARACTERS = 60
_SECRET_FIELDS = ("secret_key",)

T = TypeVar("T")


@dataclass(frozen=True)
class Fault:
    """One error in a document.

    Attributes:
        path: Location with dots and indexes, such as ``limits.body_bytes``.
        value: Value at that path, shortened; never a secret.
        reason: One sentence.
    """

    path: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}: {self.reason}"


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the committed JSON Schema ``name``, such as ``settings``."""
    files = importlib.resources.files("lycheepost.generated")
    schema: dict[str, Any] = json.loads(files.joinpath(f"{name}.json").read_text())
    return schema


@functools.cache
def _validator(name: str, definition: str) -> jsonschema.Draft202012Validator:
    schema = load_schema(name)
    if definition:
        schema = {"$defs": schema["$defs"], "$ref": f"#/$defs/{definition}"}
    return jsonschema.Draft202012Validator(schema)


def _format_value(path: list[Any], value: Any) -> str:
    if any(part in _SECRET_FIELDS for part in path):
        return "(secret)"
    if isinstance(value, dict):
        return f"(an object of {len(value)} fields)"
    text = json.dumps(value, default=str)
    if len(text) > _SHOWN_VALUE_CHARACTERS:
        return text[:_SHOWN_VALUE_CHARACTERS] + "..."
    return text


def _format_path(path: list[Any]) -> str:
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "(document)"


def check_document(name: str, document: Any, definition: str = "") -> list[Fault]:
    """Return every fault of ``document`` against schema ``name``.

    Args:
        name: Name of the schema file without its ending.
        document: What a YAML or JSON parser returned.
        definition: Check against this entry of ``$defs`` instead of the root.
    """
    faults = []
    for error in _validator(name, definition).iter_errors(document):
        path = list(error.absolute_path)
        reason = error.message
        if any(part in _SECRET_FIELDS for part in path):
            reason = "is not valid"
        faults.append(
            Fault(_format_path(path), _format_value(path, error.instance), reason)
        )
    return sorted(faults, key=lambda fault: fault.path)


def convert_document(
    name: str, document: Any, record_type: type[T], definition: str = ""
) -> Result[T, list[Fault]]:
    """Return ``document`` as a generated record, or every fault of it."""
    faults = check_document(name, document, definition)
    if faults:
        return Failure(faults)
    try:
        return Success(msgspec.convert(document, record_type))
    except msgspec.ValidationError as error:
        return Failure([Fault("(document)", "", str(error))])


def parse_yaml(text: str) -> Result[Any, list[Fault]]:
    """Parse YAML; a syntax error becomes one fault with its line."""
    try:
        return Success(yaml.safe_load(text))
    except yaml.YAMLError as error:
        reason = " ".join(str(error).split())
        return Failure([Fault("(document)", "", f"is not YAML: {reason}")])


def encode_record(record: Any) -> bytes:
    """Return a generated record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes, record_type: type[T]) -> T:
    """Return the record that ``encode_record`` wrote.

    Raises:
        msgspec.ValidationError: The data is not such a record.
    """
    return msgspec.json.decode(data, type=record_type)
