"""A short soak of a deployment at the size of a customer's, with the settings of `deploy/`."""

import argparse
import os
import random
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "tool")]
from soak.deployed.absences import Absences  # noqa: E402
from soak.deployed.description import load  # noqa: E402
from soak.deployed.run import run_deployed, summary  # noqa: E402

DEPLOY = os.path.join(HERE, "..", "deploy")
STANDARD_SEED = 1
SECONDS = 10.0
CALM_S = 5.0  # in which gateways save up retries
REPLACEMENT_S = 28.0  # of all registrars, and some seconds behind it
TROUBLE_S = 13.0  # longer than the window of the retry budget


class DeployedSoak(unittest.TestCase):
    def run_case(self, seconds, script=None, keeps_settings=False, name="hvv"):
        result = run_deployed(OPTIONS.bin, DEPLOY, STANDARD_SEED, seconds, load(name), script,
                              keeps_settings)
        print(summary(result))
        self.assertEqual(result["broken"], [], "\n".join(result["faults"]))
        return result

    def test_a_seed_breaks_no_promise(self):
        self.run_case(SECONDS)

    def test_configurations_are_in_force_in_time(self):
        for name in ("kilima-adops", "lsrr-dewbeam"):
            result = self.run_case(SECONDS / 2, name=name)
            self.assertGreater(result["probes"][1], 100, "judged at gateways in touch")

    def test_gateways_that_miss_a_whole_replacement_are_in_touch_again(self):
        def script(faults):
            faults.begin(Absences(faults).replace_all_while_away, random.Random(STANDARD_SEED))
        result = self.run_case(REPLACEMENT_S, script, name="kilima-adops")
        self.assertTrue(any("back: " in line for line in result["faults"]))

    def test_restarts_in_series_multiply_no_retries(self):
        def script(faults):
            faults.begin(faults.fail_upstreams, "fail", CALM_S)
            faults.begin(faults.kill_in_turn, 0.3, CALM_S)
        result = self.run_case(CALM_S + TROUBLE_S, script)
        self.assertGreater(result["worst"]["assist-lm"][0], 0)

    def test_restarts_with_settings_of_a_first_start_multiply_no_retries(self):
        def script(faults):
            faults.begin(faults.fail_upstreams, "break", CALM_S)
            faults.begin(faults.kill_in_turn, 0.2, CALM_S)
        self.run_case(CALM_S + TROUBLE_S, script, keeps_settings=True)

    def test_a_second_stop_signal_cuts_no_request(self):
        def script(faults):
            faults.begin(faults.stop_in_turn, 2.0, True)
        self.run_case(SECONDS, script)


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
