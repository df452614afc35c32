"""Upstreams that ask for backoffs or say that they leave, beside the other faults of a soak."""

import random
import threading
import time

from soak.promises import now

GRACE_S = 0.5  # for requests that are on their way when an upstream asks for a backoff
MOST_IN_BACKOFF = 2  # requests of one gateway behind the grace
DRAIN_S = 2.0  # for requests that are on their way to an upstream that leaves
MARGIN_S = 0.2  # in which a fault may still hold what was sent before
UNREADABLE = ["soon", "-5", "1e99", ""]


class Notices(threading.Thread):
    """Lets upstreams give notices in series and side by side; an upstream that left comes back as another
    incarnation, while its announcements say that it is ready throughout."""

    def __init__(self, seed, site, promises, seconds):
        super().__init__(daemon=True)
        self.random = random.Random(seed * 7919)
        self.site = site
        self.promises = promises
        self.until = now() + seconds
        self.busy = set()
        self.backoffs = []  # (upstream, begun, ended, span asked for)
        self.leaves = []  # (upstream, begun, ended)
        self.threads = []

    def run(self):
        while now() < self.until:
            free = [upstream for upstream in self.site.upstreams
                    if upstream.name not in self.busy and upstream.is_announcing]
            if len(free) > 1:
                upstream = self.random.choice(free)
                self.busy.add(upstream.name)
                give = self.random.choice([self.back_off, self.back_off, self.leave])
                self.threads.append(threading.Thread(
                    target=give, args=(upstream, random.Random(self.random.randrange(1 << 30)))))
                self.threads[-1].start()
            time.sleep(self.random.uniform(0.2, 1.0))

    def back_off(self, upstream, draws):
        span = draws.choice([0.6, 1.0, 2.0, 3.0])
        is_readable = draws.random() < 0.8
        upstream.retry_after = "%g" % span if is_readable else draws.choice(UNREADABLE)
        begun = now()
        upstream.refuses = True
        time.sleep(draws.uniform(0.3, 2.0))
        upstream.refuses = False
        self.backoffs.append((upstream, begun, now(), span if is_readable else 1.0))
        time.sleep(0.1)  # answers under way still carry the value
        upstream.retry_after = None
        self.busy.discard(upstream.name)

    def leave(self, upstream, draws):
        begun = now()
        upstream.says_leaving = True
        time.sleep(DRAIN_S + draws.uniform(0.5, 2.0))
        self.leaves.append((upstream, begun, now()))
        upstream.sequence = 0
        upstream.born = int(time.time() * 1000)
        upstream.says_leaving = False
        self.busy.discard(upstream.name)

    def end(self):
        self.join()
        for thread in self.threads:
            thread.join()

    def check(self, was_interrupted):
        """`was_interrupted(gateway, upstream, begun, ended)`: a fault explains what came in a span."""
        for upstream, begun, ended, span in self.backoffs:
            for request, at in upstream.refused:
                if begun <= at <= ended:
                    self.check_backoff(upstream, gateway_of(request), at, span, was_interrupted)
        for upstream, begun, ended in self.leaves:
            self.check_leave(upstream, begun, ended, was_interrupted)

    def check_backoff(self, upstream, gateway, at, span, was_interrupted):
        late = [when for when in arrivals(upstream, gateway) if at + GRACE_S < when < at + span]
        if len(late) > MOST_IN_BACKOFF and \
                not was_interrupted(gateway, upstream.name, at - MARGIN_S, late[-1]):
            self.promises.fail("%s asked %s for %.1f s, and got %d requests from it" %
                               (upstream.name, gateway, span, len(late)))

    def check_leave(self, upstream, begun, ended, was_interrupted):
        for gateway in sorted({gateway_of(request) for request, _ in upstream.arrivals}):
            said = [when for when in arrivals(upstream, gateway) if begun <= when <= ended]
            late = [when for when in said if when > said[0] + DRAIN_S]
            if late and not was_interrupted(gateway, upstream.name, said[0] - MARGIN_S, late[-1]):
                self.promises.fail("%s got %d requests from %s later than %.0f s after it said that it "
                                   "leaves" % (upstream.name, len(late), gateway, DRAIN_S))


def gateway_of(request):
    return request.split("-")[2]


def arrivals(upstream, gateway):
    """When requests of a gateway came to an upstream, in order."""
    return sorted(when for request, when in upstream.arrivals + upstream.refused
                  if gateway_of(request) == gateway)
