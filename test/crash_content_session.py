"""One content that ends the upstreams that run it, at six gateways: few upstreams may end, and nobody
else may be blamed. Real gateways and registrars, stand-ins of upstreams that come back."""

import argparse
import os
import random
import shutil
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from mortal_site import SPAN_S, MortalSite, Repeater  # noqa: E402
from soak.deadly import SETTLED_S  # noqa: E402

MOST_ENDS = 6


class CrashContentSession(MortalSite):
    def check_few_ends(self, kind, how, pause_s=0.4, disturb=None):
        deadly = Repeater(self, "/%s/deadly-%s" % (kind, how), pause_s, "deadly")
        calm = Repeater(self, "/safe/calm-*", 0.1, "calm")
        if disturb:
            disturb()
        time.sleep(max(0.0, SPAN_S if not disturb else 4.0))
        deadly_answers, calm_answers = deadly.end(), calm.end()
        arrivals = sorted(at for upstream in self.upstreams
                          for request, at in upstream.arrivals if request.startswith("deadly"))
        ends = sorted(at for at, _ in self.ends)
        self.assertGreaterEqual(len(ends), 1, "the content ended no upstream")
        self.check_few_late(arrivals, ends)
        self.assertLessEqual(len(ends), MOST_ENDS)
        settled = [answer for answer in deadly_answers if answer[0] > ends[-1] + SETTLED_S]
        self.assertTrue(settled, "the content was never settled")
        for _, took, status, body in settled:
            self.assertEqual(status, 503, body)
            self.assertLess(took, 1.0, "a refusal that could come at once")
        return calm_answers

    def test_a_content_that_resets_its_upstreams_ends_few(self):
        self.check_all_answered(self.check_few_ends("safe", "reset"))

    def test_a_content_that_breaks_off_its_answers_ends_few(self):
        self.check_all_answered(self.check_few_ends("safe", "part"))

    def test_a_stream_that_ends_its_upstreams_ends_few(self):
        self.check_all_answered(self.check_few_ends("stream", "part"))

    def test_a_stream_without_a_frame_that_ends_its_upstreams_ends_few(self):
        self.check_all_answered(self.check_few_ends("stream", "unframed"))

    def test_a_stream_that_ends_its_upstreams_behind_its_end_ends_few(self):
        self.check_all_answered(self.check_few_ends("stream", "after"))

    def test_a_content_that_may_not_run_twice_ends_few(self):
        self.check_all_answered(self.check_few_ends("once", "reset"))

    def test_a_content_that_silences_its_upstreams_ends_few(self):
        self.check_few_ends("safe", "silent")

    def test_a_content_ends_few_while_gateways_and_registrars_come_and_go(self):
        def disturb():
            time.sleep(1.0)
            self.restart("g1", kill=True)
            self.restart("r0", kill=True, wipe=True)
            time.sleep(2.0)
            self.restart("g2", kill=False)
            self.pause("g3", 1.5)
            self.restart("r1", kill=True)
            time.sleep(2.0)
        self.check_few_ends("safe", "reset", pause_s=0.2, disturb=disturb)

    def test_copies_of_a_content_at_all_gateways_at_once_end_few(self):
        waves = [Repeater(self, "/safe/deadly-reset", 0.8, "deadly-%d" % i) for i in range(4)]
        time.sleep(SPAN_S)
        for wave in waves:
            wave.end()
        ends = sorted(at for at, _ in self.ends)
        self.check_few_late([at for upstream in self.upstreams for _, at in upstream.arrivals], ends)

    def restart(self, name, kill, wipe=False):
        process = self.site.processes[name]
        if kill:
            process.kill()
        else:
            process.stop()
        if wipe:
            shutil.rmtree(self.data_folder(int(name[1:])))
        if name.startswith("r"):
            process.settings["found"] = False
        process.start()

    def pause(self, name, span_s):
        begun = time.monotonic()
        self.site.processes[name].send(signal.SIGSTOP)
        time.sleep(span_s)
        self.site.processes[name].send(signal.SIGCONT)
        self.pauses.append((name, begun, time.monotonic()))

    def test_a_hot_content_is_not_blamed_for_upstreams_that_end_beside_it(self):
        draws = random.Random(7)
        hot = Repeater(self, "/safe/hot", 0.05, "hot")
        stream = Repeater(self, "/stream/hot", 0.1, "stream")
        deadline = time.monotonic() + SPAN_S
        while time.monotonic() < deadline:
            time.sleep(draws.uniform(0.3, 0.9))
            alive = [upstream for upstream in self.upstreams if not upstream.has_ended]
            if len(alive) > 2:
                draws.choice(alive).end("reset")
        self.check_all_answered(hot.end() + stream.end())
        self.assertGreater(len(self.ends), 10)

    def test_a_hot_content_is_not_held_back_for_upstreams_that_fall_silent(self):
        draws = random.Random(9)
        hot = Repeater(self, "/safe/hot", 0.05, "hot")
        deadline = time.monotonic() + SPAN_S
        time.sleep(1.0)
        while time.monotonic() < deadline:
            alive = [upstream for upstream in self.upstreams if not upstream.has_ended]
            if len(alive) > 3:
                threading.Thread(target=draws.choice(alive).end, args=("silent",),
                                 daemon=True).start()
            time.sleep(draws.uniform(0.5, 1.5))
        refused = [body for _, _, _, body in hot.end() if "quarantined" in body]
        self.assertEqual(refused, [])
        self.assertGreater(len(self.ends), 4)

    def test_nothing_is_blamed_for_resets_and_planned_ends(self):
        draws = random.Random(8)
        warm = [Repeater(self, "/safe/warm-%d" % i, 0.5, "warm-%d" % i) for i in range(4)]
        deadline = time.monotonic() + SPAN_S
        while time.monotonic() < deadline:
            time.sleep(0.7)
            alive = [upstream for upstream in self.upstreams if not upstream.has_ended]
            draws.choice(alive).reset_connections()
            if len(self.ends) < 6:
                draws.choice(alive).end_as_planned()
        answers = [answer for one in warm for answer in one.end()]
        self.check_all_answered(answers)
        self.assertNotIn("event=content_suspected", self.logs())


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    MortalSite.bin = OPTIONS.bin
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
