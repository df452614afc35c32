"""A lock-step group of three ranks over real processes: its expert map changes while agents are
killed, and all ranks end on one map."""

import argparse
import json
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import Site, free_port  # noqa: E402

RANKS = ["rank0", "rank1", "rank2"]


class GroupSession(unittest.TestCase):
    def group(self, site, name):
        status, _, body = site.try_call(name, "GET", "/v1/status")
        return json.loads(body)["group"] if status == 200 else {"phase": "", "map": None}

    def wait_until_settled(self, site):
        site.wait_for(lambda: any(self.group(site, name)["phase"] == "settled"
                                  for name in RANKS), "a settled group")

    def propose(self, site, content):
        def taken():
            return any(site.try_call(name, "POST", "/v1/expert-map", content)[0] == 202
                       for name in RANKS)
        site.wait_for(taken, "a coordinator to take a map")

    def maps(self, site):
        return {(self.group(site, name)["map"], self.group(site, name).get("map_content"))
                for name in RANKS}

    def run_group(self, checks_fencing):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            site.add_control(0)
            links = ["127.0.0.1:%d" % free_port() for _ in RANKS]
            for rank, name in enumerate(RANKS):
                agent = site.add_upstream(name, "dar", ["ad-copy"], checks_fencing=checks_fencing)
                agent.settings["link"]["listen"] = links[rank]
                agent.settings["upstream"]["checks_fencing"] = checks_fencing
                agent.settings["group"] = {"name": "g", "rank": rank, "members": links}
            for process in site.processes.values():
                process.start()
            site.wait_ready(RANKS)
            self.wait_until_settled(site)
            self.propose(site, {"experts": [0, 1, 2]})
            site.wait_for(lambda: {m[0] for m in self.maps(site)} == {1}, "the first map")

            for victim in ("rank0", "rank1", "rank0"):
                self.propose(site, {"victim": victim})
                site.processes[victim].kill()
                site.processes[victim].start()
                site.wait_ready([victim])
                self.wait_until_settled(site)
            self.propose(site, {"experts": [2, 1, 0]})
            site.wait_for(lambda: len(self.maps(site)) == 1 and
                          min(m[0] for m in self.maps(site)) >= 2, "one map at all ranks")

    def test_engine_that_checks_fencing(self):
        self.run_group(True)

    def test_engine_that_ignores_fencing(self):
        self.run_group(False)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
