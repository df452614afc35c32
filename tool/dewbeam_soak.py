"""Runs many seeds of the soak side by side; prints a line a seed and keeps the logs of failed ones."""

import argparse
import concurrent.futures
import json
import os
import random
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path[:0] = [os.path.join(ROOT, "test"), os.path.join(ROOT, "tool")]
from soak.deployed import description  # noqa: E402
from soak.deployed import run as deployed  # noqa: E402
from soak.run import run_seed, summary  # noqa: E402


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seeds", type=int, default=50, help="how many")
    parser.add_argument("--first", type=int, help="the first seed; left out, a fresh one is drawn")
    parser.add_argument("--seconds", type=float, default=12.0, help="of faults, for each seed")
    parser.add_argument("--jobs", type=int, default=4, help="seeds side by side")
    kind = parser.add_mutually_exclusive_group()
    kind.add_argument("--deadly", action="store_true",
                      help="with contents that end the upstreams that run them")
    kind.add_argument("--broken", action="store_true",
                      help="with answers that end in any frame, at any place and in any way")
    kind.add_argument("--notices", action="store_true",
                      help="with upstreams that ask for backoffs or say that they leave")
    kind.add_argument("--foreign", action="store_true", help="with bytes of other writers")
    kind.add_argument("--deployed", action="store_true",
                      help="a deployment with the settings of deploy/, judged by retry budgets and answers")
    parser.add_argument("--deploy", default=os.path.join(ROOT, "deploy"),
                        help="with --deployed: the folder of the settings' templates")
    parser.add_argument("--description", default="hvv",
                        help="with --deployed: one of %s, or the path of a file" %
                        " ".join(description.NAMES))
    parser.add_argument("--load", type=float, default=1.0,
                        help="with --deployed: times the load of the description")
    parser.add_argument("--first-settings", action="store_true",
                        help="with --deployed: settings stay as they were at the first start")
    parser.add_argument("--keep", default="soak-logs", help="folder for the logs of failed seeds")
    return parser.parse_args()


def run_one(options, seed):
    if options.deployed:
        wanted = description.load(options.description, options.load)
        return deployed.run_deployed(options.bin, options.deploy, seed, options.seconds, wanted,
                                     keeps_settings=options.first_settings or None)
    return run_seed(options.bin, seed, options.seconds, deadly=options.deadly, broken=options.broken,
                    notices=options.notices, foreign=options.foreign)


def main():
    options = parse_arguments()
    summarize = deployed.summary if options.deployed else summary
    first = options.first or random.SystemRandom().randrange(1_000, 1_000_000)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = {pool.submit(run_one, options, seed): seed
                for seed in range(first, first + options.seeds)}
        for run in concurrent.futures.as_completed(runs):
            try:
                result = run.result()
            except Exception as error:  # the seed's name must not be lost with it
                result = {"seed": runs[run], "broken": [repr(error)], "faults": [], "answers": {},
                          "revisions": 0, "worst": {}, "lost": 0, "logs": {}}
            print(summarize(result), flush=True)
            if result["broken"]:
                failed += 1
                os.makedirs(options.keep, exist_ok=True)
                with open(os.path.join(options.keep, "%d.json" % result["seed"]), "w") as file:
                    json.dump(result, file, indent=1)
    print("%d passed, %d failed" % (options.seeds - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
