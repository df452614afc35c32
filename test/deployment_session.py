"""Two deployments of which one has an address of the other in its settings, as after a host was
handed on or a line was copied wrongly.

What happened: nothing that processes send each other said which deployment they belong to, so
whoever answered at an address was taken for a process of one's own. The two memberships became
one, requests of callers were dispatched to upstreams of the other deployment, and a control
replica let a replica of the other deployment into its log in place of its own. The evidence was
an entry that logged `link_lost` for four addresses that stood in none of its settings, the agents
of a deployment that had just ended, and gave its callers 503 `no_able_upstream` while its own
agents were idle."""

import argparse
import json
import os
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import DOMAINS, Site  # noqa: E402

REQUESTS = 20
WATCH_S = 4.0  # some rounds of a group's coordinator


class DeploymentSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def site(self, name):
        work = os.path.join(self.folder, name)
        os.mkdir(work)
        site = Site(OPTIONS.bin, work)
        self.addCleanup(site.kill_all)
        return site

    def start_controls(self, site):
        for index in range(len(DOMAINS)):
            site.add_control(index)
        names = [name for name in site.processes if name.startswith("c")]
        for name in names:
            site.processes[name].start()
        site.wait_ready(names)

    def start_entry(self, site, upstream, entries=None):
        """One entry, and one upstream of a model that both deployments serve."""
        entry = site.add_entry(0)
        if entries:
            entry.settings["entries"] = entries
        site.add_upstream(upstream, "d1", ["ad-copy"], "pool=chat", slots=64)

        def applied():
            patch = {"selectors": {"chat": {"when": "model=ad-copy", "upstreams": "pool=chat"}}}
            return site.apply(patch, "first")[0] == 200
        site.wait_for(applied, "the selector")
        for name in (upstream, upstream + "-engine", "e1"):
            site.processes[name].start()
        site.wait_ready(["e1", upstream])
        site.wait_for_upstreams("e1", 1)

    def status(self, site, name):
        return json.loads(site.call(name, "GET", "/v1/status")[2])

    def upstreams(self, site):
        return {m["upstream"] for m in self.status(site, "e1")["members"] if m["role"] == "agent"}

    def runs(self, site, upstream):
        return json.loads(site.call(upstream + "-engine", "GET", "/runs")[2])["runs"]

    def wait_for_log(self, site, name, address):
        def has_line():
            return any("link_deployment_refused" in line and address in line
                       for line in site.processes[name].log().splitlines())
        site.wait_for(has_line, "%s to name %s as refused" % (name, address))

    def test_requests_stay_on_the_upstreams_of_their_deployment(self):
        other = self.site("other")
        self.start_controls(other)
        self.start_entry(other, "their-chat")
        own = self.site("own")
        self.start_controls(own)
        self.start_entry(own, "our-chat", [own.entry_links[0], other.entry_links[0]])
        for number in range(REQUESTS):
            status, _, body = own.call("e1", "POST", "/v1/completions", {
                "model": "ad-copy", "prompt": "brief %d" % number, "max_tokens": 2})
            self.assertEqual(status, 200, body)
        self.assertEqual(self.runs(other, "their-chat"), 0)
        self.assertEqual(self.runs(own, "our-chat"), REQUESTS)
        self.assertEqual(self.upstreams(own), {"our-chat"})
        self.assertEqual(self.upstreams(other), {"their-chat"})
        self.wait_for_log(own, "e1", other.entry_links[0])

    def test_no_control_replica_takes_the_place_of_another_deployments(self):
        other = self.site("other")
        self.start_controls(other)
        other.wait_for(lambda: other.apply({"workspaces": {"theirs": {}}}, "first")[0] == 200,
                       "a change at the other deployment")
        leader = self.status(other, "c1")["leader"]
        before = self.status(other, "c1")["replicas"]
        own = self.site("own")
        own.control_links[leader - 1] = other.control_links[leader - 1]
        names = ["c%d" % (index + 1) for index in range(len(DOMAINS)) if index + 1 != leader]
        for name in names:
            own.add_control(int(name[1:]) - 1)
            own.processes[name].start()
        for name in names:
            self.wait_for_log(own, name, other.control_links[leader - 1])
        # The other deployment's replicas all vote as before, and its changes count them.
        self.assertEqual(other.apply({"workspaces": {"more": {}}}, "second")[0], 200)
        for name in ("c1", "c2", "c3"):
            self.assertTrue(self.status(other, name)["voter"], name)
            self.assertEqual(self.status(other, name)["replicas"], before)
        for name in names:
            self.assertEqual(self.status(own, name)["configuration"]["number"], 0)
            self.assertEqual(self.status(own, name)["replicas"], [])

    def test_a_rank_takes_no_part_in_another_deployments_group(self):
        other = self.site("other")
        own = self.site("own")
        for site in (other, own):
            self.start_controls(site)
        links = {}
        for site, name in ((other, "theirs"), (own, "ours")):
            agents = [site.add_upstream("%s-%d" % (name, rank), "d1", ["ad-copy"])
                      for rank in range(2)]
            links[name] = [agent.settings["link"]["listen"] for agent in agents]
            for rank, agent in enumerate(agents):
                agent.settings["group"] = {"name": "g", "rank": rank, "members": links[name]}
        # The second rank's address in our settings is that of another deployment's rank.
        own.processes["ours-0"].settings["group"]["members"] = [links["ours"][0],
                                                               links["theirs"][1]]
        self.start_rest(other)
        other.wait_for(lambda: self.phase(other, "theirs-0") == "settled",
                       "the other deployment's group to settle")
        self.start_rest(own)
        self.wait_for_log(own, "ours-0", links["theirs"][1])
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            self.assertNotEqual(self.phase(own, "ours-0"), "settled")
            self.assertEqual(self.phase(other, "theirs-0"), "settled")

    def start_rest(self, site):
        for process in site.processes.values():
            if not process.is_running():
                process.start()
        site.wait_ready([n for n, p in site.processes.items() if p.program == "dewbeam-control"])

    def phase(self, site, name):
        status, _, body = site.try_call(name, "GET", "/v1/status")
        return json.loads(body)["group"]["phase"] if status == 200 else None


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
