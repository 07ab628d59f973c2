"""The command line of the soak."""

import argparse
import random
import shutil
import sys
import tempfile
from pathlib import Path

from tests.earlier_build import HistoryMissingError, check_out, production
from tests.ports import restrict_ports
from tests.soak import upgrade
from tests.soak.faults import KINDS, REBORN_KINDS
from tests.soak.fleet import ENGINES, NODES
from tests.soak.whole_run import Soak

SEEDS = Path(__file__).with_name("seeds.txt")
"""Seeds that once broke a promise."""


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--minutes", type=float, default=3.0)
    parser.add_argument("--seed", type=int, help="drawn, and told, if not given")
    parser.add_argument("--faults", default=",".join(KINDS), help="kinds, by commas")
    parser.add_argument("--keep", type=Path, help="where logs go when something broke")
    parser.add_argument(
        "--seeds", action="store_true", help="every seed of seeds.txt, one after the other"
    )
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--engines", type=int, default=ENGINES)
    parser.add_argument("--runs", type=int, default=1, help="so many seeds that follow --seed")
    parser.add_argument(
        "--ports", help="FIRST-LAST, for soaks beside each other; each takes some hundred"
    )
    parser.add_argument(
        "--upgrade",
        nargs="?",
        const=production(),
        metavar="COMMIT",
        help="replace machines by such with another build: the one of `production`, or COMMIT",
    )
    arguments = parser.parse_args()
    if arguments.ports:
        restrict_ports(*map(int, arguments.ports.split("-")))
    kinds = [kind for kind in arguments.faults.split(",") if kind]
    if arguments.upgrade:
        kinds = [kind for kind in kinds if kind in upgrade.KINDS]
    unknown = sorted(set(kinds) - KINDS.keys())
    if unknown or not kinds:
        parser.error(f"unknown faults {unknown}; there are: {', '.join(KINDS)}")
    drawn = arguments.seed if arguments.seed is not None else random.randrange(10**6)
    seeds = failed_seeds() if arguments.seeds else range(drawn, drawn + arguments.runs)
    if arguments.seeds:
        kinds = [kind for kind in kinds if kind not in REBORN_KINDS]
    held = [run(seed, kinds, arguments) for seed in seeds]
    print(f"{sum(held)} of {len(held)} seeds held", flush=True)
    sys.exit(0 if all(held) else 1)


def failed_seeds():
    """Seeds that once broke a promise; each line of the file is a seed and its cause."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split(",")[0]) for line in lines if line and not line.startswith("#")]


def run(seed, kinds, arguments):
    """Run one seed and tell of it; returns whether every promise held."""
    minutes, keep = arguments.minutes, arguments.keep
    folder = Path(tempfile.mkdtemp(prefix="postvalve-soak-"))
    sizes = {"nodes": arguments.nodes, "engines": arguments.engines}
    trees = tempfile.TemporaryDirectory(prefix="postvalve-build-")
    try:
        if arguments.upgrade:
            earlier = check_out(arguments.upgrade, trees.name)
            soak = upgrade.UpgradeSoak(seed, minutes * 60, kinds, folder, earlier=earlier, **sizes)
        else:
            soak = Soak(seed, minutes * 60, kinds, folder, **sizes)
        promises = soak.run()
    except HistoryMissingError as missing:
        sys.exit(str(missing))
    except KeyboardInterrupt:
        sys.exit(f"ended by the keyboard; logs in {folder}")
    finally:
        trees.cleanup()
    print(soak.report(), flush=True)
    if not promises.broken:
        shutil.rmtree(folder)
        return True
    kept = keep or Path(f"{folder}-seed-{seed}")
    shutil.move(folder, kept)
    print(f"logs are in {kept}; again: --seed {seed} --minutes {minutes}", flush=True)
    return False


if __name__ == "__main__":
    main()
