"""Check the fields of settings; all problems are listed, each with its remedy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, NamedTuple, TypeAlias

import msgspec
from msgspec import Meta

from burdockmill.rules.addresses import is_address


class SettingProblem(NamedTuple):
    """Say what is wrong with a key of the settings, and the remedy."""

    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"setting {self.key}: {self.message}; {self.remedy}"


class Field(NamedTuple):
    """Describe a key: its type, the remedy when it is wrong, and a further check."""

    shape: Any
    remedy: str
    required: bool = False
    accepts: Callable[[Any], bool] = lambda value: True


NameText: TypeAlias = Annotated[
    str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
]
KeyText: TypeAlias = Annotated[str, Meta(min_length=16, pattern=r"^[!-~]{16,1024}\Z")]

DOCUMENT_KEY = "(document)"
NAME_REMEDY = "give 1 to 64 letters, digits, '.', '_' or '-' in quotes"
LISTEN_REMEDY = "give IP:PORT in quotes; port 0 takes a free port"
CONTACT_REMEDY = "give IP:PORT in quotes with a port from 1 to 65535"


def name_field() -> Field:
    """Return the field of a required name."""
    return Field(NameText, NAME_REMEDY, required=True)


def listen_field() -> Field:
    """Return the field of a required address to listen on."""

    def accepts(text: str) -> bool:
        return is_address(text, lowest_port=0)

    return Field(str, LISTEN_REMEDY, required=True, accepts=accepts)


def whole_field(lowest: int, highest: int) -> Field:
    """Return the field of an optional whole number."""
    shape = Annotated[int, Meta(ge=lowest, le=highest)]
    return Field(shape, f"give a whole number from {lowest} to {highest}")


def all_addresses(texts: tuple[str, ...]) -> bool:
    """Tell whether each text is IP:PORT."""
    return all(is_address(text) for text in texts)


def read_object(
    place: str,
    document: Any,  # noqa: ANN401
    field_by_key: dict[str, Field],
    problems: list[SettingProblem],
) -> dict[str, Any]:
    """Return an object's sound values; add what is wrong to `problems`."""
    if not isinstance(document, dict):
        problems.append(
            SettingProblem(
                place or DOCUMENT_KEY, "it is not an object", "write {KEY: VALUE, ...}"
            )
        )
        return {}
    prefix = f"{place}." if place else ""
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
        value = msgspec.convert(raw, field.shape)
    except msgspec.ValidationError as error:
        return str(error)
    if not field.accepts(value):
        return "the value is not an address"
    values[key] = value
    return None
