"""This node's place in the line of its zone: whether requests that wait here stand in one."""

from __future__ import annotations

from typing import Protocol

from postvalve.core.scheduling.waiting_order import Place


class Line(Protocol):
    """What the waiting room asks of it."""

    def stands(self, service: str) -> bool:
        """Whether a keeper grants the slots of a service."""
        ...

    def ahead(self, service: str, number: int) -> int | None:
        """Requests of all nodes before one that waits here; None where nobody told."""
        ...

    def granted(self, service: str, number: int) -> bool:
        """Whether one that waits here may start."""
        ...

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """Those that wait here now, by service, in order, with their numbers."""
        ...


class NoLine:
    """Each node by itself."""

    def stands(self, service: str) -> bool:
        """Never."""
        return False

    def ahead(self, service: str, number: int) -> int | None:
        """Nobody tells."""
        return None

    def granted(self, service: str, number: int) -> bool:
        """Nobody grants."""
        return False

    def show(self, waiting: dict[str, list[tuple[int, Place]]]) -> None:
        """Nobody hears it."""
