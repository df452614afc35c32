"""The expert planner over real processes: skewed counts of a lock-step group lead to a new map at
all ranks, with `balance=cost` a gain that is too small moves nothing, and work goes around a group
that stalls."""

import argparse
import json
import os
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import DOMAINS, Site, free_port  # noqa: E402

RANKS = ["rank0", "rank1", "rank2"]
EXPERTS = {"experts": 16, "layers": 2, "slots_per_rank": 8, "tokens_per_step": 8192,
           "skew_percent": 100}
EVEN = {**EXPERTS, "experts": 12, "skew_percent": 0}  # two slots for each expert
DECISIONS = 5  # enough for the proof that `balance=cost` wants of a gain that is large
# A rate at which one expert takes 10 s: worth it for `balance=skew`, not for `balance=cost`.
SLOW_STORE = {"expert_bytes": 20_000_000, "store_bytes_per_s": 2_000_000}


def selector(balance):
    return {"when": "model=ad-copy", "upstreams": "pool=chat", "balance": balance}


class ExpertsSession(unittest.TestCase):
    def start(self, site, balance, experts, group):
        """Three ranks that know the preference before their engines start to count."""
        for index in range(len(DOMAINS)):
            site.add_control(index)
        links = ["127.0.0.1:%d" % free_port() for _ in RANKS]
        for rank, name in enumerate(RANKS):
            agent = site.add_upstream(name, "d1", ["ad-copy"], "pool=chat", experts=experts)
            agent.settings["link"]["listen"] = links[rank]
            agent.settings["group"] = {"name": "g", "rank": rank, "members": links, **group}
        controls = [n for n in site.processes if n.startswith("c")]
        for name in controls:
            site.processes[name].start()
        site.wait_ready(controls)
        self.prefer(site, balance, "first")
        for name in RANKS:
            site.processes[name].start()
            site.processes[name + "-engine"].start()
        site.wait_ready(RANKS)

    def prefer(self, site, balance, change_id):
        def applied():
            return site.apply({"selectors": {"chat": selector(balance)}}, change_id)[0] == 200
        site.wait_for(applied, "the preference " + balance)

    def group(self, site, name="rank0"):
        status, _, body = site.try_call(name, "GET", "/v1/status")
        return json.loads(body)["group"] if status == 200 else None

    def balance(self, site, name="rank0"):
        group = self.group(site, name)
        return group["balance"] if group else {"plans": False, "decisions": 0, "skew": 0}

    def maps(self, site, name):
        """The maps that this rank ran steps under, each with its first step."""
        maps = json.loads(site.call(name + "-engine", "GET", "/maps")[2])["maps"]
        return [(m["number"], m["first_step"], m["content"]) for m in maps]

    def report(self, site, name):
        return json.loads(site.call(name + "-engine", "GET", "/experts")[2])

    def wait_for_map(self, site):
        for name in RANKS:
            site.wait_for(lambda n=name: self.maps(site, n), "a new map at " + name)

    def check_one_map_a_step(self, site):
        """No step ran under two maps: each map begins with the same step at all ranks."""
        by_rank = [self.maps(site, name) for name in RANKS]
        shortest = min(len(maps) for maps in by_rank)
        self.assertGreaterEqual(shortest, 1)
        for maps in by_rank:
            self.assertEqual(maps[:shortest], by_rank[0][:shortest])
            steps = [first_step for _, first_step, _ in maps]
            self.assertEqual(steps, sorted(set(steps)))

    def check_complete(self, content):
        layout = json.loads(content)
        self.assertEqual(len(layout["layers"]), EXPERTS["layers"])
        for layer in layout["layers"]:
            self.assertEqual(len(layer), len(RANKS) * EXPERTS["slots_per_rank"])
            self.assertEqual(set(layer), set(range(EXPERTS["experts"])))

    def test_skewed_counts_lead_to_a_new_map(self):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            self.start(site, "skew", EXPERTS, {})
            site.wait_for(lambda: self.balance(site)["skew"] > 0, "the first counts")
            self.wait_for_map(site)
            self.check_one_map_a_step(site)
            self.check_complete(self.maps(site, "rank0")[0][2])
            site.wait_for(lambda: self.balance(site)["skew"] < 1.1, "an even group")
            # What the engines use is what was proposed, by the coordinating rank alone.
            self.assertEqual([self.group(site, n)["balance"]["plans"] for n in RANKS],
                             [True, False, False])
            site.wait_for(lambda: len({self.report(site, n)["map"] for n in RANKS}) == 1,
                          "one map at all ranks")

    def test_even_counts_move_nothing(self):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            self.start(site, "skew", EVEN, {})
            site.wait_for(lambda: self.balance(site)["decisions"] >= DECISIONS, "decisions")
            self.assertEqual([self.maps(site, n) for n in RANKS], [[], [], []])

    def test_gain_too_small_for_cost_moves_nothing(self):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            self.start(site, "cost", EXPERTS, SLOW_STORE)
            site.wait_for(lambda: self.balance(site)["decisions"] >= DECISIONS, "decisions")
            self.assertEqual([self.maps(site, n) for n in RANKS], [[], [], []])
            # The same gain is enough for the other preference.
            self.prefer(site, "skew", "second")
            self.wait_for_map(site)
            self.check_one_map_a_step(site)

    def test_gain_large_enough_for_cost_leads_to_a_new_map(self):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            self.start(site, "cost", EXPERTS, {})
            self.wait_for_map(site)
            self.check_one_map_a_step(site)

    def test_next_coordinator_goes_on_from_the_engines_map(self):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            self.start(site, "skew", EXPERTS, {})
            site.wait_for(lambda: 0 < self.balance(site)["skew"] < 1.1, "an even group")
            self.wait_for_map(site)
            before = self.maps(site, "rank0")
            site.processes["rank0"].kill()
            site.processes["rank0"].start()
            site.wait_ready(["rank0"])

            def skews():
                groups = [self.group(site, name) for name in RANKS]
                return [g["balance"]["skew"] for g in groups if g and g["phase"] == "settled" and
                        g["balance"]["decisions"] > 0 and g["balance"]["skew"] > 0]
            site.wait_for(skews, "a coordinator that plans")
            # It starts from the even map, not from the one that engines start with.
            self.assertLess(max(skews()), 1.1)
            self.assertEqual(self.maps(site, "rank0")[:len(before)], before)
            self.check_one_map_a_step(site)

    def skews_at_entry(self, site):
        loads = json.loads(site.call("e1", "GET", "/v1/status")[2])["loads"]
        return {load["upstream"]: load["skew"] for load in loads}

    def running(self, site, name):
        return json.loads(site.call(name, "GET", "/v1/status")[2])["running"]

    def runs(self, site, name):
        return json.loads(site.call(name + "-engine", "GET", "/runs")[2])["runs"]

    def keep_busy(self, site):
        """Sends long requests until each rank has one."""
        count = 0
        ended = []  # these requests are meant to outlast the test: one that ends says why a wait fails

        def fill(body):
            status, _, answer = site.try_call("e1", "POST", "/v1/completions", body, None, 60)
            ended.append((body["prompt"], status, answer[-200:]))
        while not all(self.running(site, name) for name in RANKS):
            count += 1
            self.assertLess(count, 30, "the entry sends no work to some rank")
            body = {"model": "ad-copy", "prompt": "long %d" % count, "max_tokens": 8000}
            threading.Thread(target=fill, daemon=True, args=(body,)).start()
            running = sum(self.running(site, name) for name in RANKS + ["spare"])
            try:
                site.wait_for(
                    lambda: sum(self.running(site, n) for n in RANKS + ["spare"]) >= count,
                    "request %d of which %d run" % (count, running))
            except TimeoutError as fault:
                raise TimeoutError("%s; ended so far: %s" % (fault, ended)) from fault

    def stall(self, site, milliseconds):
        for name in RANKS:
            site.call(name + "-engine", "POST", "/faults", {"stall_ms": milliseconds})

    def test_stalled_group_is_routed_around(self):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            self.start(site, "skew", EVEN, {})
            site.add_entry(0)
            site.add_upstream("spare", "d1", ["ad-copy"], "pool=chat")
            for name in ("e1", "spare", "spare-engine"):
                site.processes[name].start()
            site.wait_ready(["e1", "spare"])
            site.wait_for_upstreams("e1", 4)
            self.keep_busy(site)
            self.stall(site, 600_000)
            site.wait_for(lambda: all(self.skews_at_entry(site)[n] >= 100 for n in RANKS),
                          "the stall at the entry")
            self.assertEqual(self.skews_at_entry(site)["spare"], 1)
            before = [self.runs(site, name) for name in RANKS]
            for number in range(20):
                status, _, _ = site.call("e1", "POST", "/v1/completions", {
                    "model": "ad-copy", "prompt": "short %d" % number, "max_tokens": 2})
                self.assertEqual(status, 200)
            self.assertEqual([self.runs(site, name) for name in RANKS], before)
            self.stall(site, 0)
            site.wait_for(lambda: all(self.skews_at_entry(site)[n] == 1 for n in RANKS),
                          "the end of the stall at the entry")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
