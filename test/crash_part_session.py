"""One part of a prompt that ends the upstreams that run it, in requests of which no two are alike, at
six gateways: few upstreams may end, and no other part may be blamed. Real gateways and registrars,
stand-ins of upstreams that come back."""

import argparse
import os
import random
import sys
import time
import unittest
import zlib

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from mortal_site import SPAN_S, MortalSite, Repeater  # noqa: E402
from platform_standins import DEADLY_PART  # noqa: E402
from soak.deadly import MOST_LATE, SETTLED_S  # noqa: E402

ENDS_KNOWN = 5  # after these the part is to be known
EVENT_PAUSE_S = 0.03
SYSTEM, TENANT, TOPIC = "5c1e07a2:800", "91bd3f06:410", "e4402b7d:250"
DEADLY = DEADLY_PART + "51c7:300"
KINDS = ["stream", "safe"]


class Prompts(Repeater):
    """Sends requests that share all parts of their prompts but the last, and are else never alike."""

    def __init__(self, session, parts, pause_s, name):
        self.parts = parts
        super().__init__(session, None, pause_s, name)

    def ask(self, index, gateway, request):
        own = "%08x:120" % zlib.crc32(request.encode())
        kind = KINDS[index // len(self.session.gateways) % len(KINDS)]
        return self.session.ask(
            "/%s/prompt" % kind, gateway, request, '{"prompt": "%s"}' % request,
            **{"Model": "m", "Token-Count": "1960,80", "Prompt-Prefix": ",".join([*self.parts, own])})


class CrashPartSession(MortalSite):
    def make_upstream(self, name):
        upstream = super().make_upstream(name)
        upstream.pause_s = EVENT_PAUSE_S
        upstream.breaks_answers = True
        return upstream

    @staticmethod
    def arrivals_of(name, upstreams):
        return sorted(at for upstream in upstreams for request, at in list(upstream.arrivals)
                      if request.startswith(name + "-"))

    def check_not_blamed(self, answers, since=0.0):
        """None is refused for its content, and all that were sent since a time are answered."""
        self.assertGreater(sum(len(upstream.arrivals) for upstream in self.upstreams), len(answers),
                           "no end broke an answer off")
        refused = [body for _, _, _, body in answers if "quarantined" in body]
        self.assertEqual(refused, [])
        self.check_all_answered([answer for answer in answers if answer[0] > since])

    def test_a_part_that_ends_its_upstreams_ends_few(self):
        sound = Prompts(self, [SYSTEM, TENANT, TOPIC], 0.1, "sound")
        deadly = Prompts(self, [SYSTEM, TENANT, DEADLY, TOPIC], 0.25, "deadly")
        time.sleep(SPAN_S)
        deadly_answers, sound_answers = deadly.end(), sound.end()
        ends = sorted(at for at, _ in self.ends)
        self.assertTrue(ends, "the part ended no upstream")
        known = ends[min(ENDS_KNOWN, len(ends)) - 1]
        arrivals = self.arrivals_of("deadly", self.upstreams)
        late = [at for at in arrivals if at > known + SETTLED_S]
        settled = known + 2 * SETTLED_S
        after = [status for at, _, status, _ in sound_answers if at > settled]
        refused = [answer for answer in deadly_answers if answer[0] > settled]
        seen = "%d ends; %d deadly arrivals, %d late; sound ones answered: %d of %d, later %d of %d" % (
            len(ends), len(arrivals), len(late), sum(answer[2] == 200 for answer in sound_answers),
            len(sound_answers), after.count(200), len(after))
        self.assertLessEqual(len(late), MOST_LATE, seen)
        self.assertTrue(after, seen)
        self.assertGreaterEqual(2 * after.count(200), len(after), seen)
        self.assertTrue(refused, seen)
        others = [answer for answer in refused if answer[2] != 503]
        self.assertLessEqual(len(others), sum(at > settled for at in arrivals), others)
        for _, took, status, body in refused:
            if status == 503:
                self.assertLess(took, 1.0, "a refusal that could come at once: " + body)

    def test_a_part_that_all_share_is_not_blamed(self):
        draws = random.Random(7)
        all_of_them = Prompts(self, [SYSTEM, TENANT], 0.05, "shared")
        deadline = time.monotonic() + SPAN_S
        while time.monotonic() < deadline:
            time.sleep(draws.uniform(0.8, 1.2))  # what retries and their budget can make up for
            alive = [upstream for upstream in self.upstreams if not upstream.has_ended]
            if len(alive) > 3:
                draws.choice(alive).end("reset")
        self.check_not_blamed(all_of_them.end())
        self.assertGreater(len(self.ends), 10)

    def test_a_new_part_is_not_blamed_for_upstreams_that_end_together(self):
        usual = Prompts(self, [SYSTEM, TENANT], 0.1, "usual")
        time.sleep(2.0)
        new = Prompts(self, [SYSTEM, TENANT, TOPIC], 0.05, "new")
        time.sleep(0.35)  # its first streams run
        for upstream in sorted(self.upstreams, key=self.latest_of_new)[-3:]:
            upstream.end("reset")
        time.sleep(8.0)
        self.assertEqual(len(self.ends), 3)
        # Of what ran before, some may have met two of the ends.
        self.check_not_blamed(new.end() + usual.end(), max(at for at, _ in self.ends))

    def latest_of_new(self, upstream):
        return max(self.arrivals_of("new", [upstream]), default=0.0)


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    MortalSite.bin = OPTIONS.bin
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
