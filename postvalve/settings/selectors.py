"""Label selectors with equality-based and set-based requirements.

A selector is a comma-separated list of requirements, all of which must be met. A requirement is one
of `key=value`, `key!=value`, `key in (a, b)`, `key notin (a, b)`, `key` (the label exists) and
`!key` (it does not). The empty selector matches everything.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Mapping
from dataclasses import dataclass

_KEY = r"[A-Za-z0-9][A-Za-z0-9_./-]*"
_VALUE = r"[A-Za-z0-9][A-Za-z0-9_./-]*"
_SET_FORM = re.compile(rf"^({_KEY})\s+(in|notin)\s+\(([^()]*)\)$")
_EQUALITY_FORM = re.compile(rf"^({_KEY})\s*(!=|==|=)\s*({_VALUE})$")
_EXISTENCE_FORM = re.compile(rf"^(!?)\s*({_KEY})$")
_VALUE_FORM = re.compile(rf"^{_VALUE}$")
_REQUIREMENT_SEPARATOR = re.compile(r",(?![^(]*\))")


class Operator(enum.Enum):
    """Comparison that a requirement makes with a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class Requirement:
    """A condition on one label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether `labels` meet this requirement."""
        value = labels.get(self.key)
        if self.operator is Operator.IN:
            return value in self.values
        if self.operator is Operator.NOT_IN:
            return value not in self.values
        if self.operator is Operator.EXISTS:
            return value is not None
        return value is None


@dataclass(frozen=True, slots=True)
class Selector:
    """A conjunction of requirements, with the text that it was parsed from."""

    text: str
    requirements: tuple[Requirement, ...]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether `labels` meet every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)


def parse_selector(text: str) -> Selector:
    """Parse a selector from its text.

    Raises:
        ValueError: A requirement is malformed; the message quotes it.
    """
    if not text.strip():
        return Selector("", ())
    parts = _REQUIREMENT_SEPARATOR.split(text)
    requirements = tuple(_parse_requirement(part.strip()) for part in parts)
    return Selector(text.strip(), requirements)


def _parse_requirement(text: str) -> Requirement:
    if match := _SET_FORM.match(text):
        key, operator, raw_values = match.groups()
        return Requirement(key, Operator(operator), _parse_values(raw_values, text))
    if match := _EQUALITY_FORM.match(text):
        key, sign, value = match.groups()
        operator_kind = Operator.NOT_IN if sign == "!=" else Operator.IN
        return Requirement(key, operator_kind, frozenset({value}))
    if match := _EXISTENCE_FORM.match(text):
        negation, key = match.groups()
        return Requirement(key, Operator.MISSING if negation else Operator.EXISTS)
    raise ValueError(f"cannot read the requirement {text!r}")


def _parse_values(raw_values: str, text: str) -> frozenset[str]:
    values = [value.strip() for value in raw_values.split(",")]
    for value in values:
        if not _VALUE_FORM.match(value):
            raise ValueError(f"cannot read the value {value!r} in {text!r}")
    return frozenset(values)
