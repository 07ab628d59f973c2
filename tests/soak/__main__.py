"""Command line of the soak."""

import argparse
import random
import shutil
import sys
import tempfile
from pathlib import Path

from tests.earlier_build import HistoryMissingError, check_out, production
from tests.ports import restrict_ports
from tests.soak import budget, joining, paced, prompts, restarting, surplus, upgrade, versions
from tests.soak.faults import (
    KINDS,
    LAG_KINDS,
    PEER_KINDS,
    PROMPT_KINDS,
    REBORN_KINDS,
    VERSION_KINDS,
)
from tests.soak.fleet import ENGINES, NODES
from tests.soak.whole_run import Soak

SEEDS = Path(__file__).with_name("seeds.txt")
"""Seeds that violated an invariant in an earlier run."""


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--minutes", type=float, default=3.0)
    parser.add_argument("--seed", type=int, help="drawn at random, and printed, if not given")
    parser.add_argument(
        "--faults",
        help="kinds of faults, separated by commas; by default all that fit",
    )
    parser.add_argument(
        "--versions",
        choices=("side-by-side", "released", "joining", "restarting"),
        help="engines of two versions, one of which may be replaced by a third meanwhile, that join"
        " in rounds while a node is out of step, or that start again under their ids",
    )
    parser.add_argument(
        "--links",
        action="store_true",
        help="with --versions: links between nodes, and faults that put nodes out of step",
    )
    parser.add_argument(
        "--paced",
        nargs="?",
        const=paced.Variant.FULL,
        choices=[variant.value for variant in paced.Variant],
        help="engines that report their pace and pause, floods of jobs, and a calm at the end",
    )
    parser.add_argument(
        "--prompts",
        action="store_true",
        help="prompt parts that become fatal, answers without a frame, and crowded nodes",
    )
    parser.add_argument(
        "--surplus",
        action="store_true",
        help="engines that send answers a second time, late, and addresses that are used again",
    )
    parser.add_argument(
        "--budget",
        action="store_true",
        help="requests and items that fail at every engine, and nodes that lag",
    )
    parser.add_argument("--keep", type=Path, help="folder for the logs if an invariant is violated")
    parser.add_argument(
        "--seeds", action="store_true", help="run every seed of seeds.txt, one after the other"
    )
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--engines", type=int, default=ENGINES)
    parser.add_argument(
        "--runs", type=int, default=1, help="number of consecutive seeds to run, from --seed on"
    )
    parser.add_argument(
        "--ports", help="port range FIRST-LAST, for parallel soaks; each needs a few hundred ports"
    )
    parser.add_argument(
        "--upgrade",
        nargs="?",
        const=production(),
        metavar="COMMIT",
        help="replace nodes by ones of another build: the one in production, or COMMIT",
    )
    arguments = parser.parse_args()
    if arguments.ports:
        restrict_ports(*map(int, arguments.ports.split("-")))
    excluded = VERSION_KINDS | PROMPT_KINDS | LAG_KINDS | PEER_KINDS
    kinds = [kind for kind in KINDS if kind not in excluded]
    if arguments.faults is not None:
        kinds = [kind for kind in arguments.faults.split(",") if kind]
    if arguments.upgrade:
        kinds = [kind for kind in kinds if kind in upgrade.KINDS]
    if arguments.versions == "joining":
        kinds = list(joining.KINDS) if arguments.faults is None else kinds
    elif arguments.versions == "restarting":
        kinds = list(restarting.KINDS) if arguments.faults is None else kinds
    elif arguments.versions:
        kinds = list(versions.KINDS)
    if arguments.prompts and arguments.faults is None:
        kinds = list(prompts.KINDS)
    if arguments.surplus and arguments.faults is None:
        kinds = list(surplus.KINDS)
    if arguments.budget and arguments.faults is None:
        kinds = list(budget.KINDS)
    unknown = sorted(set(kinds) - KINDS.keys() - {""})
    if unknown or not kinds:
        parser.error(f"unknown faults {unknown}; known: {', '.join(KINDS)}")
    first_seed = arguments.seed if arguments.seed is not None else random.randrange(10**6)
    seeds = failed_seeds() if arguments.seeds else range(first_seed, first_seed + arguments.runs)
    if arguments.seeds:
        kinds = [kind for kind in kinds if kind not in REBORN_KINDS]
    passed = [run(seed, kinds, arguments) for seed in seeds]
    print(f"{sum(passed)} of {len(passed)} seeds passed", flush=True)
    sys.exit(0 if all(passed) else 1)


def failed_seeds():
    """Read the seeds of earlier failures; each line of the file starts with a seed."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split(",")[0]) for line in lines if line and not line.startswith("#")]


def run(seed, kinds, arguments):
    """Run one seed and print its report; returns whether no invariant was violated."""
    minutes, keep = arguments.minutes, arguments.keep
    folder = Path(tempfile.mkdtemp(prefix="postvalve-soak-"))
    sizes = {"nodes": arguments.nodes, "engines": arguments.engines}
    trees = tempfile.TemporaryDirectory(prefix="postvalve-build-")
    try:
        if arguments.upgrade:
            earlier = check_out(arguments.upgrade, trees.name)
            soak = upgrade.UpgradeSoak(seed, minutes * 60, kinds, folder, earlier=earlier, **sizes)
        elif arguments.versions == "joining":
            soak = joining.JoiningSoak(seed, minutes * 60, kinds, folder, **sizes)
        elif arguments.versions == "restarting":
            soak = restarting.RestartingSoak(seed, minutes * 60, kinds, folder, **sizes)
        elif arguments.versions:
            released = arguments.versions == "released"
            soak = versions.VersionSoak(
                seed, minutes * 60, kinds, folder, **sizes,
                released=released, has_links=arguments.links,
            )  # fmt: skip
        elif arguments.paced:
            variant = paced.Variant(arguments.paced)
            soak = paced.PacedSoak(seed, minutes * 60, kinds, folder, variant=variant, **sizes)
        elif arguments.prompts:
            soak = prompts.PromptSoak(seed, minutes * 60, kinds, folder, **sizes)
        elif arguments.surplus:
            soak = surplus.SurplusSoak(seed, minutes * 60, kinds, folder, **sizes)
        elif arguments.budget:
            soak = budget.BudgetSoak(seed, minutes * 60, kinds, folder, **sizes)
        else:
            soak = Soak(seed, minutes * 60, kinds, folder, **sizes)
        invariants = soak.run()
    except HistoryMissingError as missing:
        sys.exit(str(missing))
    except KeyboardInterrupt:
        sys.exit(f"interrupted; logs are in {folder}")
    finally:
        trees.cleanup()
    print(soak.report(), flush=True)
    if not invariants.violations:
        shutil.rmtree(folder)
        return True
    kept = keep or Path(f"{folder}-seed-{seed}")
    shutil.move(folder, kept)
    print(f"logs are in {kept}; to repeat: --seed {seed} --minutes {minutes}", flush=True)
    return False


if __name__ == "__main__":
    main()
