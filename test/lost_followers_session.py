"""Ranks and registrars that are away while all other registrars are replaced: each finds the successors."""

import argparse
import os
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "tool"), HERE]
from turnover_rig import BEFORE_S, CONTACT_S, Deployment  # noqa: E402

REGISTRARS = 5  # so that the others have a quorum while one is away


class LostRanks(unittest.TestCase):
    def miss_replacement(self, kind):
        rig = Deployment(self, OPTIONS.bin)
        rank = rig.add_rank("k0")
        time.sleep(BEFORE_S)
        rig.miss_replacement(rank, kind)
        time.sleep(CONTACT_S)
        for name in rig.registrars:
            followers = rig.status(name).get("followers", [])
            self.assertIn(rank, [item["host"] for item in followers if not item["silent"]])

    def test_a_rank_that_was_frozen_finds_the_successors(self):
        self.miss_replacement("frozen")

    def test_a_rank_that_was_cut_off_finds_the_successors(self):
        self.miss_replacement("cut off")

    def test_a_rank_that_starts_with_dead_seeds_finds_the_successors(self):
        self.miss_replacement("killed")


class LostRegistrarsAmongThemselves(unittest.TestCase):
    def miss_replacement(self, kind):
        rig = Deployment(self, OPTIONS.bin, REGISTRARS)
        away = rig.registrars[-1]
        time.sleep(BEFORE_S)
        rig.miss_replacement(away, kind)
        time.sleep(CONTACT_S)
        self.assertEqual(rig.status(away)["revision"], rig.version)

    def test_a_registrar_that_was_frozen_finds_the_successors(self):
        self.miss_replacement("frozen")

    def test_a_registrar_that_was_cut_off_finds_the_successors(self):
        self.miss_replacement("cut off")

    def test_a_registrar_that_starts_with_dead_seeds_finds_the_successors(self):
        self.miss_replacement("killed")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)
