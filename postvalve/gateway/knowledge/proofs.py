"""What a node reads to prove what it tells or does for good, and what it can't prove now."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial

from postvalve.clock import Clock
from postvalve.gateway.knowledge.read_barrier import ReadBarrier
from postvalve.gateway.knowledge.topic_follower import TopicFollower

MIN_DENIAL_INTERVAL = 0.05
"""Least seconds between two reads on behalf of callers that would be denied something. Whoever asks
for what does not exist must not fill the store with reads."""


class Proofs:
    """The barriers of one node, by what a read of each topic proves."""

    def __init__(
        self,
        clock: Clock,
        node_count: Callable[[], int],
        followers: Mapping[str, Callable[[], TopicFollower]],
    ) -> None:
        """Set up; the followers are those of the directory, the configuration and the jobs.

        Args:
            clock: Source of time.
            node_count: Returns the number of nodes that share the store.
            followers: Returns the follower of each topic, by the name of what it tells.
        """
        self._clock = clock
        self._followers = followers
        self._barriers = {
            name: ReadBarrier(
                partial(self._read, name),
                clock,
                node_count,
                0.0 if name == "directory" else MIN_DENIAL_INTERVAL,
            )
            for name in followers
        }

    def _read(self, name: str) -> None:
        self._followers[name]().read_current()

    def __getitem__(self, name: str) -> ReadBarrier:
        return self._barriers[name]

    def lacking(self) -> dict[str, float]:
        """Return the seconds for which each proof has been asked for in vain; 0 for the others."""
        now, found = self._clock.monotonic(), {}
        for name, barrier in self._barriers.items():
            barrier.record_read(self._followers[name]().fresh_at)
            since = barrier.lacking_since
            found[name] = 0.0 if since is None else now - since
        return found
