"""Validate the fields of settings; list all problems, each with its remedy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, NamedTuple, TypeAlias

import msgspec
from msgspec import Meta

from burdockmill.rules.addresses import is_address


class SettingProblem(NamedTuple):
    """Describe a problem with a key of the settings, and its remedy."""

    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"setting {self.key}: {self.message}; {self.remedy}"


class Field(NamedTuple):
    """Describe a key: its type, whether it is required, a further check, the remedy."""

    value_type: Any
    remedy: str
    required: bool = False
    is_valid: Callable[[Any], bool] = lambda value: True


NameText: TypeAlias = Annotated[
    str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
]
KeyText: TypeAlias = Annotated[str, Meta(min_length=16, pattern=r"^[!-~]{16,1024}\Z")]

DOCUMENT_KEY = "(document)"
NAME_REMEDY = "give 1 to 64 letters, digits, '.', '_' or '-' in quotes"
LISTEN_REMEDY = "give IP:PORT in quotes; port 0 selects a free port"
CONNECT_ADDRESS_REMEDY = "give IP:PORT in quotes with a port from 1 to 65535"


def name_field() -> Field:
    """Return a field for a required name."""
    return Field(NameText, NAME_REMEDY, required=True)


def listen_field() -> Field:
    """Return a field for a required address to listen on."""

    def accepts(text: str) -> bool:
        return is_address(text, lowest_port=0)

    return Field(str, LISTEN_REMEDY, required=True, is_valid=accepts)


def integer_field(lowest: int, highest: int) -> Field:
    """Return a field for an optional whole number within bounds."""
    shape = Annotated[int, Meta(ge=lowest, le=highest)]
    return Field(shape, f"give a whole number from {lowest} to {highest}")


def are_addresses(texts: tuple[str, ...]) -> bool:
    """Return whether each text is IP:PORT with a port above 0."""
    return all(is_address(text) for text in texts)


def read_object(
    path: str,
    document: Any,  # noqa: ANN401
    field_by_key: dict[str, Field],
    problems: list[SettingProblem],
) -> dict[str, Any]:
    """Return an object's valid values; append each problem to `problems`.

    `path` is the object's path in the document, empty for the document itself.
    """
    if not isinstance(document, dict):
        problems.append(
            SettingProblem(
                path or DOCUMENT_KEY, "it is not an object", "write {KEY: VALUE, ...}"
            )
        )
        return {}
    prefix = f"{path}." if path else ""
    values: dict[str, Any] = {}
    for key, field in field_by_key.items():
        if key not in document:
            if field.required:
                problems.append(
                    SettingProblem(prefix + key, "it is missing", field.remedy)
                )
            continue
        message = _read_value(key, document[key], field, values)
        if message is not None:
            problems.append(SettingProblem(prefix + key, message, field.remedy))
    for key in document:
        if key not in field_by_key:
            remedy = f"remove it, or use one of: {', '.join(field_by_key)}"
            problems.append(SettingProblem(prefix + key, "the key is unknown", remedy))
    return values


def _read_value(
    key: str,
    raw: Any,  # noqa: ANN401
    field: Field,
    values: dict[str, Any],
) -> str | None:
    try:
        value = msgspec.convert(raw, field.value_type)
    except msgspec.ValidationError as error:
        return str(error)
    if not field.is_valid(value):
        return "the value is not an address"
    values[key] = value
    return None
