"""Checks that docs/OPERATORS.md documents every setting with its default."""

import unittest
from pathlib import Path

from postvalve.settings.fleet import (
    DrainSpec,
    FleetConfiguration,
    LimitSpec,
    ModelSpec,
    OperatorSpec,
    PlacementSpec,
    PoolSpec,
    TenantSpec,
    WorkloadSpec,
)
from postvalve.settings.process import HttpSettings, NodeSettings, TimingSettings

PAGE = Path(__file__).resolve().parent.parent / "docs" / "OPERATORS.md"


class DocumentedSettingsTest(unittest.TestCase):
    def test_process_settings(self):
        page = PAGE.read_text(encoding="utf-8")
        for prefix, model in (
            ("", NodeSettings),
            ("http.", HttpSettings),
            ("timing.", TimingSettings),
        ):
            for name, field in model.model_fields.items():
                if name in ("http", "timing"):
                    continue
                default = "required" if field.is_required() else f"`{field.default}`"
                with self.subTest(name):
                    self.assertIn(f"| `{prefix}{name}` | {default} |", page)

    def test_fleet_configuration(self):
        page = PAGE.read_text(encoding="utf-8")
        for kind, model in (
            ("tenants", TenantSpec),
            ("operators", OperatorSpec),
            ("workloads", WorkloadSpec),
            ("models", ModelSpec),
            ("pools", PoolSpec),
            ("placements", PlacementSpec),
            ("limits", LimitSpec),
            ("drains", DrainSpec),
        ):
            self.assertIn(kind, FleetConfiguration.model_fields)
            for name in model.model_fields:
                with self.subTest(f"{kind}.{name}"):
                    self.assertIn(f"| `{kind}.{name}` |", page)


if __name__ == "__main__":
    unittest.main()
