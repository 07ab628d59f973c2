"""An earlier build of this repository, out of its own history.

`python -m tests.earlier_build` records the golden samples anew, after `production` was moved.
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
    "a85a9a016c0ab9bc08f1327c1d16f44396ef1ce1",
    "4dcb283acd54f39cf824945674f3e2dbaf7cde1b",
    "73621b19c0d0cbb8384034d36659ef687d9b7fad",
)
"""The last three, the newest one last; soaks by hand play them all."""
FEATURE_FILES = {
    "limits": ("postvalve/core/admission/fleet_limits.py",),
    "quarantine": ("postvalve/core/admission/quarantine.py",),
}
"""What a build knows, by the files that decide it; a promise holds where all builds keep it."""


class HistoryMissingError(Exception):
    """The commit is not in this clone."""


@dataclass(frozen=True)
class Build:
    """A tree to start nodes from."""

    name: str
    root: Path
    arguments: tuple[str, ...]
    """What a node is started by."""

    def supports(self, feature):
        return all((self.root / path).exists() for path in FEATURE_FILES[feature])


# Not as a module of the tests' package: that takes half a second to import, and a signal that came
# meanwhile would end the node.
CURRENT_BUILD = Build("present", ROOT, ("-P", str(ROOT / "tests" / "soak" / "node.py")))


def production():
    """The commit that runs when a day with an upgrade begins."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    return deploy.get("production", RECENT_RELEASES[-1])


def check_out(commit, folder):
    """Put a commit's tree into a folder.

    Raises:
        HistoryMissingError: a shallow clone, or an export without history.
    """
    found = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit], capture_output=True, check=False
    )
    if found.returncode:
        output = found.stderr.decode(errors="replace").strip()
        raise HistoryMissingError(
            f"the build at {commit} can't be had from this repository's history ({output});"
            " tests of two builds need a full clone"
        )
    root = Path(folder) / commit[:7]
    root.mkdir(parents=True)
    subprocess.run(["tar", "-x", "-C", str(root)], input=found.stdout, check=True)
    return Build(commit[:7], root, ("-m", "postvalve.startup"))


def golden_folder():
    """Samples of messages and records that the build in production made."""
    return ROOT / "golden" / "versions" / production()[:7]


def record_golden():
    """Let the build in production make the samples, and say how it reads them itself."""
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
