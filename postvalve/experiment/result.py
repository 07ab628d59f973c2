"""Results of an experiment, saved as JSON and compared side by side."""

from __future__ import annotations

from pydantic import BaseModel


class LatencyFigures(BaseModel):
    """Latency percentiles in milliseconds."""

    p50: float
    p95: float
    p99: float
    p99_9: float


class RunFigures(BaseModel):
    """Figures of one run, with or without batch load."""

    online_requests: int
    online_refused: int
    online_not_whole: int
    first_token_ms: LatencyFigures
    between_tokens_ms: LatencyFigures
    batch_items_offered: int
    batch_items_done: int
    batch_items_doubled: int
    batch_items_wrong: int
    batch_tokens: int
    online_tokens: int
    jobs_late: int
    preemptions: int
    control_bytes_per_node_second: float


class ExperimentResult(BaseModel):
    """Figures of a scenario with batch load, and of the same online requests without it."""

    scenario: str
    seed: int
    duration: float
    with_batch: RunFigures
    without_batch: RunFigures
    harm_first_token_p99: float
    """p99 time to first token with batch load, divided by that without."""
    harm_first_token_p50: float
    """p50 time to first token with batch load, divided by that without."""
    token_capacity: float
    """Tokens that fully occupied engines would produce in the duration, without prefill."""
    idle_capacity_used: float
    """Batch tokens as a share of the token capacity that online tokens leave unused."""

    def rows(self) -> list[dict[str, str | float]]:
        """Return the figures as table rows, with and without batch load."""
        rows: list[dict[str, str | float]] = []
        for name in RunFigures.model_fields:
            with_batch = getattr(self.with_batch, name)
            without = getattr(self.without_batch, name)
            if isinstance(with_batch, LatencyFigures):
                for percentile in LatencyFigures.model_fields:
                    rows.append(
                        {
                            "figure": f"{name} {percentile}",
                            "with_batch": getattr(with_batch, percentile),
                            "without_batch": getattr(without, percentile),
                        }
                    )
            else:
                rows.append({"figure": name, "with_batch": with_batch, "without_batch": without})
        for name in ("harm_first_token_p50", "harm_first_token_p99", "idle_capacity_used"):
            rows.append({"figure": name, "with_batch": getattr(self, name), "without_batch": "-"})
        return rows
