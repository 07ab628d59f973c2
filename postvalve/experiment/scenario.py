"""What an experiment runs, read from a TOML file."""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path

from pydantic import Field

from postvalve.exceptions import NotFoundError, SettingsError
from postvalve.settings.strict_model import Name, StrictModel
from postvalve.settings.validation import InvalidSettingsGroup, check_document


class OnlineLoad(StrictModel):
    """Online requests: a steady stream, and bursts on top of it."""

    rate: float = Field(gt=0, description="requests a second, Poisson")
    burst_interval: float = Field(gt=0, description="mean seconds between bursts")
    burst_size: int = Field(ge=0, description="requests of one burst, within 0.2 s")
    tokens: int = Field(gt=0, description="tokens of an answer")
    prompt_characters: int = Field(gt=0)


class BatchLoad(StrictModel):
    """Batch jobs of one workload, which come in heaps."""

    workload: Name
    heap_interval: float = Field(gt=0, description="mean seconds between heaps")
    jobs: int = Field(gt=0, description="jobs of one heap")
    items: int = Field(gt=0, description="items of one job")
    tokens: int = Field(gt=0, description="tokens of an answer")
    deadline: int = Field(gt=0, description="seconds from acceptance")


class Disturbance(StrictModel):
    """Something that fails during the run."""

    kill_engine_at: float | None = Field(None, description="seconds; it comes back after 15 s")
    cut_zone_at: float | None = Field(None, description="seconds; it is healed after 15 s")


class Scenario(StrictModel):
    """One experiment."""

    name: Name
    zones: int = Field(gt=0)
    nodes_per_zone: int = Field(gt=0)
    engines: int = Field(gt=0)
    slots: int = Field(16, gt=0, description="sequences that an engine runs at once")
    headroom: int = Field(2, ge=0, description="slots of an engine kept free of batch")
    batch_beside_online: int | None = Field(
        None, ge=0, description="batch items beside online work on one engine; None: no bound"
    )
    duration: float = Field(gt=0, description="seconds of load, virtual")
    online: OnlineLoad
    batch: list[BatchLoad] = []
    disturbance: Disturbance = Disturbance()


def scenario_names() -> list[str]:
    """Names of the scenarios that come with postvalve."""
    folder = resources.files("postvalve.experiment") / "scenarios"
    return sorted(entry.name.removesuffix(".toml") for entry in folder.iterdir())


def load_scenario(name: str) -> Scenario:
    """Read a scenario by its name, or from a file.

    Raises:
        NotFoundError: there is neither.
        InvalidSettingsGroup: with every mistake and its place.
    """
    text = _read(name)
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        mistake = SettingsError(name, str(error))
        raise InvalidSettingsGroup(f"{name} cannot be read", [mistake]) from None
    return check_document(Scenario, document, name)


def _read(name: str) -> str:
    if name in scenario_names():
        folder = resources.files("postvalve.experiment") / "scenarios"
        return (folder / f"{name}.toml").read_text(encoding="utf-8")
    try:
        return Path(name).read_text(encoding="utf-8")
    except OSError:
        known = ", ".join(scenario_names())
        raise NotFoundError(f"there is no scenario {name!r}; there are {known}") from None
