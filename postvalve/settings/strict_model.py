"""Base class and common types of all settings models.

They have a module of their own so that a process builds only the models that it uses when it
starts.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
"""Name of an object: up to 63 letters, digits, `_`, `.` and `-`, the first a letter or digit."""


class StrictModel(BaseModel):
    """Base class of settings models: rejects unknown fields, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)
