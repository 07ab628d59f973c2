"""Messages and records of the build in production and of this one mean the same to both."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from postvalve.core.membership.extensions import Feature
from tests import version_samples
from tests.earlier_build import check_out, golden_folder, production
from tests.version_samples import agreements, read_all, write_all

NEEDS: dict[str, Feature] = {}
"""Messages that the build in production can't read, and the feature without which none is sent."""


def in_build(build, verb, folder):
    """What the samples' program tells in another build's tree."""
    ran = subprocess.run(
        [sys.executable, "-W", "ignore", version_samples.__file__, verb, str(folder)],
        cwd=build.root,
        env=os.environ | {"PYTHONPATH": str(build.root)},
        capture_output=True,
        check=True,
    )
    return json.loads(ran.stdout)


def same(wanted, told):
    """Whether all that stands in `wanted` stands in `told`, which may have more fields."""
    if isinstance(wanted, dict) and isinstance(told, dict):
        return all(key in told and same(one, told[key]) for key, one in wanted.items())
    if isinstance(wanted, list) and isinstance(told, list):
        return len(wanted) == len(told) and all(map(same, wanted, told))
    return wanted == told


def golden(name):
    return json.loads((golden_folder() / name).read_text(encoding="utf-8"))


class SameTest(unittest.TestCase):
    def test_more_fields_are_the_same_and_another_value_is_not(self):
        self.assertTrue(same({"a": [{"b": 1}]}, {"a": [{"b": 1, "c": 2}], "d": 3}))
        for told in ({"a": [{"b": 2}]}, {"a": []}, {"a": [{"b": 1}, {"b": 1}]}, {}):
            self.assertFalse(same({"a": [{"b": 1}]}, told))


class GoldenTest(unittest.TestCase):
    """Bytes that the build in production made, as it read them itself."""

    def test_this_build_reads_them_alike(self):
        told = json.loads(json.dumps(read_all(golden_folder())))
        for name, wanted in golden("read.json").items():
            with self.subTest(name):
                self.assertTrue(same(wanted, told[name]), f"{wanted}\n{told[name]}")

    def test_none_of_them_is_an_error(self):
        errors = [name for name, told in golden("read.json").items() if "error" in told]
        self.assertEqual(errors, [])

    def test_what_all_nodes_must_work_out_alike_is_the_same(self):
        wanted, told = golden("agreements.json"), json.loads(json.dumps(agreements()))
        self.assertEqual({name: told[name] for name in wanted}, wanted)


class EarlierBuildTest(unittest.TestCase):
    """The build in production, from the repository's history."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.build = check_out(production(), cls.folder / "builds")

    def test_it_reads_what_this_build_makes_as_what_it_made_itself(self):
        made = self.folder / "made"
        write_all(made)
        told = in_build(self.build, "read", made)
        wanted = golden("read.json")
        for name, one in told.items():
            with self.subTest(name):
                if name in wanted:
                    self.assertEqual(one, wanted[name])
                else:
                    self.assertIn(name, NEEDS, "sent only where a feature is on, or not at all")
        self.assertEqual(wanted.keys() - told.keys(), set())

    def test_golden_files_are_what_it_makes(self):
        made = self.folder / "golden"
        self.assertEqual(in_build(self.build, "write", made), golden("agreements.json"))
        self.assertEqual(in_build(self.build, "read", made), golden("read.json"))
        for path in made.iterdir():
            with self.subTest(path.name):
                self.assertEqual(path.read_bytes(), (golden_folder() / path.name).read_bytes())


if __name__ == "__main__":
    unittest.main()
