"""Validation of settings documents, with all errors of a document in one exception group."""

from __future__ import annotations

from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from postvalve.exceptions import SettingsError

ModelType = TypeVar("ModelType", bound=BaseModel)


class InvalidSettingsGroup(ExceptionGroup[SettingsError]):
    """All errors of a settings document."""


def check_document(model: type[ModelType], document: Any, origin: str) -> ModelType:
    """Validate a parsed document.

    Args:
        model: Schema of the document.
        document: Nested dicts and lists, as parsed from TOML or JSON.
        origin: File name or other source, named in each error.

    Raises:
        InvalidSettingsGroup: The document is invalid; contains a `SettingsError` for each problem.
    """
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise invalid_document(error, origin) from None


def invalid_document(error: ValidationError, origin: str) -> InvalidSettingsGroup:
    """Convert a pydantic error to an exception group with a `SettingsError` for each problem."""
    problems = [
        SettingsError(_format_place(origin, detail["loc"]), detail["msg"])
        for detail in error.errors()
    ]
    return InvalidSettingsGroup(f"{origin} has {len(problems)} error(s)", problems)


def _format_place(origin: str, location: tuple[int | str, ...]) -> str:
    path = ".".join(str(part) for part in location)
    return f"{origin}: {path}" if path else origin
