"""Tests of label selectors."""

import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.settings.selectors import parse_selector


class SelectorTest(unittest.TestCase):
    def test_forms(self):
        labels = {"zone": "a", "tier": "gold"}
        cases = {
            "": True,
            "zone=a": True,
            "zone!=a": False,
            "zone in (a, b)": True,
            "zone notin (a, b)": False,
            "tier": True,
            "!tier": False,
            "rack notin (x)": True,
            "zone in (a,b),tier=gold,!rack": True,
            "zone=a,tier=silver": False,
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertIs(parse_selector(text).matches(labels), expected)

    def test_malformed_requirements_are_rejected(self):
        for text in ("zone in a", "=a", "zone in (a,)", "a b", "zone=a,,", "zone in ((a))"):
            with self.subTest(text), self.assertRaisesRegex(ValueError, "cannot read"):
                parse_selector(text)

    @given(st.text(max_size=40))
    def test_any_text_parses_or_is_rejected(self, text):
        with contextlib.suppress(ValueError):
            parse_selector(text).matches({"a": "b"})


if __name__ == "__main__":
    unittest.main()
