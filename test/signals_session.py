"""Signals that come while a program starts.

A soak seed on a busy machine told its gateway to read its settings anew 0.5 s after its start, and
the gateway was gone: a signal that came before the program listened for signals ended it (exit code
-1, killed by SIGHUP; `process_started` came only 5.9 s after the start). Here the program is held
in its start by a settings file that is a pipe, until the signal was sent."""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import Site  # noqa: E402


class SignalsSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        self.entry = self.site.add_entry(0)

    def start_with(self, number):
        """Sends a signal to an entry that has begun to read its settings, and lets it go on."""
        pipe = os.path.join(self.site.work, "settings-pipe")
        os.mkfifo(pipe)
        with open(os.path.join(self.site.work, "e1.log"), "a") as log:
            self.entry.child = subprocess.Popen(
                [os.path.join(OPTIONS.bin, "dewbeam-entry"), "--settings", pipe],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        with open(pipe, "w") as settings:  # opens once the program reads
            self.entry.send(number)
            json.dump(self.entry.settings, settings)

    def test_a_reload_during_the_start_ends_nothing(self):
        self.start_with(signal.SIGHUP)
        self.site.wait_for(lambda: "event=process_started" in self.entry.log(), "the start")
        self.assertTrue(self.entry.is_running())
        self.assertEqual(self.entry.stop(), 0)

    def test_a_stop_during_the_start_is_a_planned_stop(self):
        self.start_with(signal.SIGTERM)
        self.assertEqual(self.entry.wait(), 0)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
