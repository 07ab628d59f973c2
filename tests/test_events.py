"""Checks that docs/EVENTS.md and the code have the same log events."""

import re
import unittest
from pathlib import Path

from postvalve.events import Event

CATALOGUE = Path(__file__).resolve().parent.parent / "docs" / "EVENTS.md"
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (.+?) \| .+ \| .+ \|$", re.MULTILINE)


class CatalogueTest(unittest.TestCase):
    def test_catalogue_matches_the_code(self):
        rows = ROW.findall(CATALOGUE.read_text(encoding="utf-8"))
        documented = {int(number): (level, text) for number, level, text in rows}
        defined = {event.number: (event.level, event.text) for event in Event}
        self.assertEqual(documented, defined)
        self.assertEqual(len(rows), len(defined))

    def test_every_event_is_emitted_somewhere(self):
        package = CATALOGUE.parent.parent / "postvalve"
        source = "".join(path.read_text(encoding="utf-8") for path in package.rglob("*.py"))
        unused = [event.name for event in Event if f"Event.{event.name}" not in source]
        self.assertEqual(unused, [])

    def test_numbers_are_unique(self):
        self.assertEqual(len({event.number for event in Event}), len(Event))


if __name__ == "__main__":
    unittest.main()
