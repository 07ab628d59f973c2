"""Earlier builds of this repository, checked out of its history.

`python -m tests.earlier_build` records the golden samples again after `production` has changed.
"""

import os
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
SAMPLES = ROOT / "tests" / "version_samples.py"
RECENT_RELEASES = (
    "1ec7aca87a57611ede3425120f9e8d62f2ebb9a8",
    "dea81adb106f5392bb17d89311ef96dd3a00d9e1",
    "f77c01eb2c4e396c959100e73522b5d7ca5a81dd",
)
"""The last three commits that were released, oldest first. Manual soaks cover all of them."""
FEATURE_FILES = {
    "limits": ("postvalve/core/admission/fleet_limits.py",),
    "quarantine": ("postvalve/core/admission/quarantine.py",),
}
"""Optional features of a build and the files that implement them. An invariant that depends on a
feature is checked only if all running builds support it."""


class HistoryMissingError(Exception):
    """Raised if a commit is not in this clone."""


@dataclass(frozen=True)
class Build:
    """A source tree that nodes can be started from."""

    name: str
    root: Path
    arguments: tuple[str, ...]
    """Arguments of the interpreter that start a node."""

    def supports(self, feature):
        return all((self.root / path).exists() for path in FEATURE_FILES[feature])


# Started by path and not as a module: importing the tests package takes half a second, and a signal
# that arrives meanwhile would end the node.
CURRENT_BUILD = Build("present", ROOT, ("-P", str(ROOT / "tests" / "soak" / "node.py")))


def production():
    """Return the commit in production, which upgrade tests start from."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    return deploy.get("production", RECENT_RELEASES[-1])


def check_out(commit, folder):
    """Extract the source tree of a commit into a folder.

    Raises:
        HistoryMissingError: this is a shallow clone or an export without history.
    """
    found = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit], capture_output=True, check=False
    )
    if found.returncode:
        output = found.stderr.decode(errors="replace").strip()
        raise HistoryMissingError(
            f"commit {commit} is not in the history of this repository ({output});"
            " tests of two builds need a full clone"
        )
    root = Path(folder) / commit[:7]
    root.mkdir(parents=True)
    subprocess.run(["tar", "-x", "-C", str(root)], input=found.stdout, check=True)
    return Build(commit[:7], root, ("-m", "postvalve.startup"))


def golden_folder():
    """Return the folder with the samples of messages and records of the build in production."""
    return ROOT / "golden" / "versions" / production()[:7]


def record_golden():
    """Record the samples of the build in production, and how it parses them itself."""
    folder = golden_folder()
    with tempfile.TemporaryDirectory() as trees:
        build = check_out(production(), trees)
        for verb, name in (("write", "agreements.json"), ("read", "read.json")):
            output = subprocess.run(
                [sys.executable, "-W", "ignore", str(SAMPLES), verb, str(folder)],
                cwd=build.root,
                env=os.environ | {"PYTHONPATH": str(build.root)},
                stdout=subprocess.PIPE,
                check=True,
            ).stdout
            (folder / name).write_bytes(output)


if __name__ == "__main__":
    record_golden()
