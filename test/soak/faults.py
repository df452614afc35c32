"""The faults of a soak: drawn from a seed, in series and overlapping, and taken back again."""

import random
import signal
import threading
import time

from soak.promises import now
from soak.proxy import MODES
from soak.site import DRAIN_S

GATEWAYS = ["g0", "g1", "g2"]
REGISTRIES = ["r0", "r1", "r2"]


class Faults:
    """Strikes until told to stop. At most one registry is down at a time: two are a majority."""

    def __init__(self, seed, site, promises):
        self.random = random.Random(seed)
        self.site = site
        self.promises = promises
        self.log = []
        self.hits = {name: [] for name in GATEWAYS}  # spans in which a gateway was under a fault
        self.stood = {name: [] for name in GATEWAYS}  # of them: its process was stopped, held or signalled
        self.held = []  # (upstream's name, span) in which its proxy was under a fault
        self.busy = set()
        self.lock = threading.Lock()
        self.threads = []
        self.drained = []  # (upstream, when its end was acknowledged)

    def strike(self):
        """Begins one fault on a thread of its own."""
        kinds = [self.kill_gateway, self.stop_gateway, self.pause_gateway, self.reload,
                 self.kill_registry, self.pause_registry, self.stop_registry, self.lose_disk,
                 self.tear_log, self.proxy_upstream, self.proxy_upstream, self.proxy_registry,
                 self.reset_upstreams, self.drain_upstream, self.refuse, self.break_streams]
        thread = threading.Thread(target=self.random.choice(kinds), daemon=True)
        thread.start()
        self.threads.append(thread)

    def end(self):
        for thread in self.threads:
            thread.join()

    def was_hit(self, request, when):
        """Whether the gateway of a request was under a fault in the last seconds before `when`."""
        gateway = request.split("-")[2]
        return any(begun - 1.0 <= when <= ended + 4.0 for begun, ended in self.hits[gateway])

    def was_interrupted(self, gateway, upstream, begun, ended):
        """Whether a gateway stood still or started, or its way to an upstream was under a fault, at any
        time in a span."""
        spans = self.stood[gateway] + [span for name, span in self.held if name == upstream]
        return any(span[0] <= ended and begun <= span[1] for span in spans)

    def note(self, kind, target):
        with self.lock:
            self.log.append("%.2f %s %s" % (now(), kind, target))

    def take(self, names):
        """One of the names that no other fault holds; None where there is none."""
        with self.lock:
            free = [name for name in names if name not in self.busy]
            if not free:
                return None
            name = self.random.choice(free)
            self.busy.add(name)
            return name

    def free(self, name):
        with self.lock:
            self.busy.discard(name)

    def take_registry(self):
        with self.lock:
            if any(name in self.busy for name in REGISTRIES):
                return None
            name = self.random.choice(REGISTRIES)
            self.busy.add(name)
            return name

    def on_gateway(self, kind, action):
        name = self.take(GATEWAYS)
        if name is None:
            return
        begun = now()
        span = [begun, begun + 3600.0]
        self.hits[name].append(span)
        self.stood[name].append(span)
        self.note(kind, name)
        action(name)
        span[1] = now()
        self.free(name)

    def kill_gateway(self):
        def action(name):
            self.site.process(name).kill()
            time.sleep(self.random.uniform(0.1, 1.5))
            self.site.restart(name)
        self.on_gateway("kill", action)

    def stop_gateway(self):
        def action(name):
            process = self.site.process(name)
            process.send(signal.SIGTERM)
            code = process.wait(DRAIN_S)
            if code != 0:
                self.promises.fail("%s ended with %s after a planned stop" % (name, code))
            self.site.restart(name)
        self.on_gateway("stop", action)

    def pause_gateway(self):
        def action(name):
            process = self.site.process(name)
            process.send(signal.SIGSTOP)
            time.sleep(self.random.uniform(0.5, 3.0))
            process.send(signal.SIGCONT)
        self.on_gateway("pause", action)

    def reload(self):
        self.on_gateway("reload", lambda name: self.site.process(name).send(signal.SIGHUP))

    def on_registry(self, kind, action):
        name = self.take_registry()
        if name is None:
            return
        self.note(kind, name)
        action(name)
        self.wait_caught_up(name)
        self.free(name)

    def wait_caught_up(self, name):
        """A registry counts as lost until it holds what the others hold."""
        deadline = now() + 20.0
        while now() < deadline:
            page = self.site.status(name)
            if page and page["voter"] and page["caught_up"]:
                return
            time.sleep(0.1)
        self.promises.fail("%s did not come back within 20 s" % name)

    def kill_registry(self):
        def action(name):
            self.site.process(name).kill()
            time.sleep(self.random.uniform(0.1, 2.0))
            self.site.restart(name)
        self.on_registry("kill", action)

    def stop_registry(self):
        def action(name):
            self.site.process(name).stop(DRAIN_S)
            self.site.restart(name)
        self.on_registry("stop", action)

    def pause_registry(self):
        def action(name):
            process = self.site.process(name)
            process.send(signal.SIGSTOP)
            time.sleep(self.random.uniform(0.5, 4.0))
            process.send(signal.SIGCONT)
        self.on_registry("pause", action)

    def lose_disk(self):
        def action(name):
            self.site.process(name).kill()
            self.site.lose_disk(name)
            self.site.restart(name)
        self.on_registry("lose_disk", action)

    def tear_log(self):
        def action(name):
            self.site.process(name).kill()
            self.site.tear_log(name)
            self.site.restart(name)
        self.on_registry("tear_log", action)

    def proxy_upstream(self):
        name = self.take([upstream.name for upstream in self.site.upstreams])
        if name is None:
            return
        mode = self.random.choice(MODES)
        self.note(mode, name)
        span = [now(), now() + 3600.0]
        self.held.append((name, span))
        self.site.proxies[name].mode = mode
        time.sleep(self.random.uniform(0.5, 4.0))
        self.site.proxies[name].mode = "pass"
        span[1] = now()
        self.free(name)

    def proxy_registry(self):
        index = self.random.randrange(len(self.site.link_proxies))
        mode = self.random.choice(MODES)
        self.note(mode, "link of r%d" % index)
        begun = now()
        spans = [[begun, begun + 3600.0] for _ in GATEWAYS]
        for name, span in zip(GATEWAYS, spans):
            self.hits[name].append(span)
        self.site.link_proxies[index].mode = mode
        time.sleep(self.random.uniform(0.5, 4.0))
        self.site.link_proxies[index].mode = "pass"
        for span in spans:
            span[1] = now()

    def reset_upstreams(self):
        self.note("reset", "all upstreams")
        self.held.extend((name, [now(), now()]) for name in list(self.site.proxies))
        for proxy in list(self.site.proxies.values()):
            proxy.reset_all()

    def drain_upstream(self):
        with self.lock:
            ready = [upstream for upstream in self.site.upstreams if upstream.is_announcing]
            if len(ready) < 3 or any(name in self.busy for name in REGISTRIES):
                return
        upstream = self.random.choice(ready)
        self.note("drain", upstream.name)
        if upstream.leave():
            self.drained.append((upstream, now()))

    def refuse(self):
        upstream = self.random.choice(self.site.upstreams)
        self.note("refuse", upstream.name)
        upstream.refuses = True
        time.sleep(self.random.uniform(0.2, 1.0))
        upstream.refuses = False

    def break_streams(self):
        self.note("break_streams", "some")
        upstream = self.random.choice(self.site.upstreams)
        upstream.cuts.extend(self.random.randrange(12) for _ in range(3))
