"""Gateways that are away while all registrars are replaced: each finds the successors by itself."""

import argparse
import json
import os
import signal
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "tool"), HERE]
from turnover_rig import BEFORE_S, CONTACT_S, Deployment  # noqa: E402

DROPPED_S = 8.0
STEADY_S = 4.0  # in which nothing may be handled by an older revision


class LostRegistrars(unittest.TestCase):
    def setUp(self):
        self.rig = Deployment(self, OPTIONS.bin)

    def write_seeds(self, name, seeds):
        """Into the settings file, while the program runs."""
        settings = {**self.rig.process(name).settings, "registries": {"seeds": seeds}}
        with open(os.path.join(self.rig.site.work, name + ".json"), "w") as file:
            json.dump(settings, file)

    def assert_in_touch(self, name, service):
        """A process that has just come back: from the bound on, only the newest revision is in force."""
        time.sleep(CONTACT_S)
        page = self.rig.status(name)
        self.assertEqual((page["revision"], page["registries"] > 0), (self.rig.version, True), page)
        deadline = time.monotonic() + STEADY_S
        while time.monotonic() < deadline:
            self.assertEqual(self.rig.ask(name), service)
            time.sleep(0.1)

    def miss_replacement(self, kind):
        gateway = self.rig.add_gateway("g0")
        self.rig.serve_by_first_revision(gateway)
        service = self.rig.miss_replacement(gateway, kind)
        self.assert_in_touch(gateway, service)

    def test_a_gateway_that_was_frozen_finds_the_successors(self):
        self.miss_replacement("frozen")

    def test_a_gateway_that_was_cut_off_finds_the_successors(self):
        self.miss_replacement("cut off")

    def test_a_gateway_whose_packets_were_dropped_finds_the_successors(self):
        self.miss_replacement("dropped")

    def test_a_gateway_that_starts_with_dead_seeds_finds_the_successors(self):
        self.miss_replacement("killed")

    def test_a_gateway_reconnects_in_time_after_its_first_packets_were_dropped(self):
        gateway = self.rig.add_gateway("g0")
        self.rig.serve_by_first_revision(gateway)
        self.rig.links.drop_new(self.rig.registrars, True)
        self.rig.cut(gateway, "silent")
        service = self.rig.change()
        time.sleep(DROPPED_S)
        self.rig.links.drop_new(self.rig.registrars, False)
        self.rig.cut(gateway, None)
        self.assert_in_touch(gateway, service)

    def test_successors_know_the_gateways_after_a_loss_of_all_of_them(self):
        gateway = self.rig.add_gateway("g0")
        self.rig.serve_by_first_revision(gateway)
        self.rig.process(gateway).send(signal.SIGSTOP)
        self.rig.replace_all()
        service = self.rig.change()
        time.sleep(BEFORE_S)
        for name in self.rig.registrars:
            self.rig.process(name).kill()
        for name in self.rig.registrars:
            self.rig.process(name).start()
        for name in self.rig.registrars:
            self.rig.wait_caught_up(name)
        self.rig.process(gateway).send(signal.SIGCONT)
        self.assert_in_touch(gateway, service)

    def test_seeds_that_change_in_the_file_are_taken_without_a_signal(self):
        self.rig.replace_all()
        service = self.rig.change()
        gateway = self.rig.add_gateway("g1")  # which no registrar has seen
        time.sleep(BEFORE_S)
        self.assertEqual(self.rig.status(gateway)["registries"], 0)
        self.write_seeds(gateway, [self.rig.public[name] for name in self.rig.registrars])
        self.assert_in_touch(gateway, service)

    def test_seeds_that_are_invalid_change_nothing(self):
        gateway = self.rig.add_gateway("g0")
        self.rig.serve_by_first_revision(gateway)
        service = self.rig.change()
        self.write_seeds(gateway, ["nowhere"])
        self.rig.process(gateway).send(signal.SIGHUP)
        self.rig.site.wait_for(lambda: "event=settings_refused" in self.rig.process(gateway).log(),
                               "the refusal of the settings")
        self.assert_in_touch(gateway, service)

    def test_a_gateway_without_registrars_says_so(self):
        gateway = self.rig.add_gateway("g0")
        self.rig.serve_by_first_revision(gateway)
        for name in self.rig.registrars:
            self.rig.process(name).kill()
        process = self.rig.process(gateway)
        self.rig.site.wait_for(lambda: "event=registries_unreachable" in process.log(), "the warning")
        line = next(line for line in process.log().splitlines() if "registries_unreachable" in line)
        self.assertTrue(all("tcp://" + seed in line for seed in self.rig.first_seeds), line)
        self.assertIn("confirmed_ms=", line)
        self.assertIn(self.rig.ask(gateway), self.rig.services)
        self.rig.site.wait_for(lambda: "event=attempt_unconfirmed" in process.log(),
                               "the line of an attempt by an unconfirmed revision")

    def test_a_gateway_that_hears_a_cut_off_registrar_alone_learns_of_the_others(self):
        alone, *others = self.rig.registrars
        self.rig.links.cut([pair for other in others for pair in ((alone, other), (other, alone))], "silent")
        self.rig.process(alone).kill()
        service = self.rig.change()
        self.rig.process(alone).start()
        gateway = self.rig.add_gateway("g2", [self.rig.public[alone]])
        self.assert_in_touch(gateway, service)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)
