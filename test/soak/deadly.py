"""Contents that end the upstreams that run them, beside the other faults of a soak."""

import random
import threading
import time

from platform_standins import MortalUpstream, call
from soak.promises import now
from soak.proxy import Proxy

GATEWAYS = 3
HOWS = ["reset", "part", "silent"]
KINDS = ["safe", "stream", "once"]
# Of one content: later than `SETTLED_S` after the third upstream that it ended, upstreams may get it
# `MOST_LATE` times more from gateways that no fault hit.
SETTLED_S = 3.0
MOST_LATE = 3
SILENCE_KNOWN_S = 6.0


class DeadlyContents(threading.Thread):
    """Sends copies of such contents to gateways in any order; some of them run side by side."""

    def __init__(self, seed, site, promises, seconds):
        super().__init__(daemon=True)
        self.random = random.Random(seed * 31337)
        self.site = site
        self.promises = promises
        self.until = now() + seconds
        self.contents = []
        self.threads = []

    def run(self):
        while now() < self.until:
            name = "%s-%d" % (self.random.choice(KINDS), len(self.contents))
            path = "/%s/%d/deadly-%s" % (name.partition("-")[0], len(self.contents),
                                         self.random.choice(HOWS))
            self.contents.append(name)
            self.threads.append(threading.Thread(
                target=self.send_copies,
                args=(name, path, self.random.randint(8, 20), self.random.randrange(1 << 30))))
            self.threads[-1].start()
            time.sleep(self.random.uniform(1.0, 4.0))

    def send_copies(self, name, path, copies, seed):
        draws = random.Random(seed)
        for index in range(copies):
            gateway = "g%d" % draws.randrange(GATEWAYS)
            request = "deadly/%s-%s-%d" % (name, gateway, index)
            head = {"Host": "api.example", "Attempt-Id": request, "Deadline-Ms": "4000",
                    "Authorization": "Bearer key-1"}
            status, body = call(self.site.port(gateway), "POST", path, "{}", head, limit_s=6.0)
            if status == 200:
                self.promises.fail("%s, which ends its upstreams, was answered: %s" %
                                   (request, body[:60]))
            time.sleep(draws.uniform(0.05, 0.6))

    def end(self):
        """Waits until the ends are known: of a silent upstream by its announcements alone."""
        self.join()
        for thread in self.threads:
            thread.join()
        time.sleep(SILENCE_KNOWN_S)

    def check(self, exempt):
        """Few upstreams end of each content; `exempt(request, time)` names hits of a gateway."""
        arrivals = {}
        for upstream in self.site.upstreams:
            for request, at in upstream.arrivals:
                if request.startswith("deadly/"):
                    content = "-".join(request[len("deadly/"):].split("-")[:2])
                    arrivals.setdefault(content, []).append((at, request))
        for content, all_of_it in arrivals.items():
            all_of_it.sort()
            if len(all_of_it) < 3:
                continue
            settled = all_of_it[2][0] + SETTLED_S
            late = [request for at, request in all_of_it if at > settled and not exempt(request, at)]
            if len(late) > MOST_LATE:
                self.promises.fail("%s reached upstreams %d times later than %.0f s after the third "
                                   "end" % (content, len(late), SETTLED_S))


def mortal_upstream(site, seed):
    """An upstream behind a proxy that goes with it, and that a successor replaces."""
    def on_end(upstream):
        if not upstream.is_silent:
            site.proxies[upstream.name].close()
        time.sleep(1.0)
        site.add_upstream(seed)
    upstream = MortalUpstream("i-%d" % len(site.upstreams), "chat", site.registry_ports, on_end)
    return upstream, Proxy(int(upstream.address.rsplit(":", 1)[1]),
                           seed * 1000 + len(site.upstreams))
