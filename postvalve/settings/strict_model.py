"""What all checked settings are made of. Apart, so that a start builds only the models it uses."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
"""A name of an object: letters, digits, `_`, `.` and `-`."""


class StrictModel(BaseModel):
    """Base of all settings: unknown fields are mistakes, values don't change."""

    model_config = ConfigDict(extra="forbid", frozen=True)
