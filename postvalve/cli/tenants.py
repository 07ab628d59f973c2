"""Tables of `postvalve status`: service received by tenants at all nodes, and waiting requests."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from postvalve.core.scheduling.accounts import OTHERS, Counts, End, Row, total_of

WAITING_COLUMNS = ("node", "service", "request", "tenant", "rank", "waited", "behind")
TENANT_COLUMNS = (
    "tenant",
    "running",
    "asked",
    "in_time",
    "late",
    "no_room",
    "over_limit",
    "refused_else",
    "never",
    "left",
    "in_time_share",
    "wait",
    "worst_wait",
    "engine_seconds",
    "engine_share",
)


def sum_tenant_rows(documents: Iterable[dict[str, Any]]) -> list[Row]:
    """Sum the figures of each tenant over the status documents; recently worst served first.

    `OTHERS` comes last. Documents of older builds, which have no figures of tenants, add nothing.
    """
    found: dict[str, list[dict[str, Any]]] = {}
    for document in documents:
        for row in document.get("tenants", []):
            found.setdefault(row["tenant"], []).append(row)
    rows = [
        Row(
            tenant,
            total_of(Counts.from_fields(node_row["total"]) for node_row in node_rows),
            total_of(Counts.from_fields(node_row["lately"]) for node_row in node_rows),
            sum(node_row.get("running", 0) for node_row in node_rows),
        )
        for tenant, node_rows in found.items()
    ]
    return sorted(
        rows, key=lambda row: (row.tenant == OTHERS, row.recent.in_time_score, row.tenant)
    )


def tenant_table(rows: Sequence[Row], *, since_start: bool) -> list[dict[str, Any]]:
    """Return rows with `TENANT_COLUMNS`, of the recent window or since the start of the nodes."""
    chosen = [(row, row.total if since_start else row.recent) for row in rows]
    total_engine_seconds = total_of(counts for _, counts in chosen).engine_seconds
    return [_tenant_row(row, counts, total_engine_seconds) for row, counts in chosen]


def _tenant_row(row: Row, counts: Counts, total_engine_seconds: float) -> dict[str, Any]:
    ends = counts.ends
    shown = (End.NO_ROOM, End.OVER_LIMIT)
    return {
        "tenant": row.tenant or "-",
        "running": row.running,
        "asked": counts.asked,
        "in_time": ends[End.IN_TIME],
        "late": ends[End.LATE],
        **{str(end): ends[end] for end in shown},
        "refused_else": counts.refused - sum(ends[end] for end in shown),
        "never": ends[End.FAILED] + ends[End.GIVEN_UP],
        "left": ends[End.LEFT],
        "in_time_share": round(counts.in_time_share, 3),
        "wait": round(counts.waited / counts.asked, 3) if counts.asked else 0.0,
        "worst_wait": counts.worst_wait,
        "engine_seconds": round(counts.engine_seconds, 1),
        "engine_share": round(counts.engine_seconds / total_engine_seconds, 3)
        if total_engine_seconds
        else 0.0,
    }


def waiting_rows(documents: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the waiting requests of all nodes, by rank and then by longest wait."""
    rows = [
        {"node": document["node_id"], **row}
        for document in documents
        for row in document.get("waiting", [])
    ]
    return sorted(rows, key=lambda row: (row["rank"], -row["waited"]))
