"""Scenarios of experiments, read from TOML files."""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path

from pydantic import Field

from postvalve.exceptions import NotFoundError, SettingsError
from postvalve.settings.strict_model import Name, StrictModel
from postvalve.settings.validation import InvalidSettingsGroup, check_document


class OnlineLoad(StrictModel):
    """Online load: steady requests, and bursts in addition."""

    rate: float = Field(gt=0, description="requests per second, Poisson")
    burst_interval: float = Field(gt=0, description="mean seconds between bursts")
    burst_size: int = Field(ge=0, description="requests per burst, within 0.2 s")
    tokens: int = Field(gt=0, description="tokens per response")
    prompt_characters: int = Field(gt=0)


class BatchLoad(StrictModel):
    """Batch load of one workload: groups of jobs submitted at the same time."""

    workload: Name
    heap_interval: float = Field(gt=0, description="mean seconds between groups")
    jobs: int = Field(gt=0, description="jobs per group")
    items: int = Field(gt=0, description="items per job")
    tokens: int = Field(gt=0, description="tokens per response")
    deadline: int = Field(gt=0, description="seconds from acceptance")


class Disturbance(StrictModel):
    """Fault injected during the run."""

    kill_engine_at: float | None = Field(
        None, description="seconds from the start; the engine is restarted after 15 s"
    )
    cut_zone_at: float | None = Field(
        None, description="seconds from the start; the partition ends after 15 s"
    )


class Scenario(StrictModel):
    """Scenario of an experiment: the fleet, its load, and the faults."""

    name: Name
    zones: int = Field(gt=0)
    nodes_per_zone: int = Field(gt=0)
    engines: int = Field(gt=0)
    slots: int = Field(16, gt=0, description="sequences that an engine runs concurrently")
    headroom: int = Field(2, ge=0, description="slots per engine that batch items do not use")
    batch_beside_online: int | None = Field(
        None,
        ge=0,
        description="batch items on an engine that runs online requests; None: unlimited",
    )
    duration: float = Field(gt=0, description="seconds of load, virtual")
    online: OnlineLoad
    batch: list[BatchLoad] = []
    disturbance: Disturbance = Disturbance()


def scenario_names() -> list[str]:
    """Return the names of the scenarios that come with postvalve."""
    folder = resources.files("postvalve.experiment") / "scenarios"
    return sorted(entry.name.removesuffix(".toml") for entry in folder.iterdir())


def load_scenario(name: str) -> Scenario:
    """Read a scenario by name, or from a TOML file.

    Raises:
        NotFoundError: There is no such scenario, and no such file.
        InvalidSettingsGroup: The file is invalid; has one error per mistake, with its location.
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
        raise NotFoundError(f"there is no scenario {name!r}; known scenarios: {known}") from None
