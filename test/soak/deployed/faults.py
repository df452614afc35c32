"""What is done to the hosts and upstreams of a deployment: in series, and overlapping."""

import random
import signal
import threading
import time

from soak.deployed.absences import Absences
from soak.deployed.link_proxy import KINDS
from soak.deployed.records import Span
from soak.deployed.replicas import TROUBLES
from soak.promises import now

CATCH_UP_LIMIT_S = 20.0
SLOW_TURN_S = 0.055  # a slowed process runs for a part of each such turn


class Faults:
    """Draws the faults of a seed. One registrar at a time is lost; gateways are lost in any number."""

    def __init__(self, seed, deployment, clients):
        self.seed, self.random = seed, random.Random(seed)
        self.deployment, self.records = deployment, deployment.records
        self.description, self.clients = deployment.description, clients
        self.log = []
        self.threads = []
        self.is_over = threading.Event()
        self.registrar_lock = threading.Lock()
        self.held = {name: threading.Lock() for name in deployment.gateways}

    def note(self, what):
        self.log.append("%.2f %s" % (now(), what))

    def begin(self, action, *arguments):
        thread = threading.Thread(target=action, args=arguments, daemon=True)
        thread.start()
        self.threads.append(thread)

    def end(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join(30.0)
        for upstream in list(self.deployment.upstreams):
            upstream.set_trouble(None)

    def draw(self):
        """Begins the faults of a seed: upstreams in trouble, and series of faults at hosts beside them."""
        draws = self.random
        self.begin(self.trouble_upstreams, draws.choice([None, *TROUBLES, *TROUBLES]),
                   draws.choice([1.0, 1.0, 0.5, 0.2]), draws.randrange(1 << 30))
        series = [self.kill_gateways, self.roll, self.freeze, self.kill_registrars, self.slow_all,
                  self.reload, self.stop_twice, self.kill_all_gateways, self.replace_registrar,
                  self.lose_disks, self.crash_upstreams, self.drain_upstreams, self.change_habits,
                  *([self.cut_hosts, self.cut_domain] if self.deployment.links else [])]
        if self.description.changes_routes:
            series += [self.freeze_registrars, self.split_registrars, self.lose_most_registrars,
                       self.lose_all, self.replace_all_registrars]
        for action in draws.sample(series, draws.randint(1, 4)):
            self.begin(action, random.Random(draws.randrange(1 << 30)))
        if self.description.changes_routes and self.deployment.links:
            Absences(self).draw(random.Random(self.seed * 15485863))

    def pause(self, span):
        """Whether the run goes on behind a pause."""
        return not self.is_over.wait(span)

    def span(self, kind, host):
        return self.records.add(self.records.faults, Span(kind, host, now()))

    def trouble_upstreams(self, trouble, share, seed):
        draws = random.Random(seed)
        if trouble is None or not self.pause(3.0):
            return
        chosen = [one for one in list(self.deployment.upstreams) if draws.random() < share]
        self.note("%s at %d upstreams" % (trouble, len(chosen)))
        for upstream in chosen:
            upstream.set_trouble(trouble, draws.choice([0.6, 1.0, 3.0]))
        self.pause(draws.choice([3.0, 12.0, 20.0]))
        for upstream in chosen:
            upstream.set_trouble(None)

    def fail_upstreams(self, trouble, calm_s):
        """All upstreams are in trouble from then on."""
        if self.pause(calm_s):
            self.trouble_all(trouble)

    def trouble_all(self, trouble):
        for upstream in list(self.deployment.upstreams):
            upstream.set_trouble(trouble)

    def crash_upstreams(self, draws):
        while self.pause(draws.uniform(0.5, 4.0)):
            upstream = draws.choice(list(self.deployment.upstreams))
            if upstream.trouble is None:
                self.note("crash " + upstream.name)
                upstream.crash()

    def drain_upstreams(self, draws):
        while self.pause(draws.uniform(1.0, 4.0)):
            upstream = draws.choice(list(self.deployment.upstreams))
            self.note("drain " + upstream.name)
            upstream.leave()

    def cut_hosts(self, draws):
        """Single gateways, or one registrar, are cut from the registrars."""
        while self.pause(draws.uniform(0.5, 3.0)):
            kind = draws.choice(KINDS)
            if draws.random() < 0.3:
                with self.registrar_lock:
                    name = draws.choice(self.deployment.registrars)
                    self.cut([name], self.deployment.registrars, kind, draws.uniform(1.0, 5.5))
                    self.wait_caught_up(name)
            else:
                share = max(1, len(self.deployment.gateways) // 6)
                self.cut(draws.sample(self.deployment.gateways, share), self.deployment.registrars,
                         kind, draws.uniform(1.0, 5.5))

    def cut_domain(self, draws):
        """A domain's gateways and registrars are cut from the others'; gateways of that domain are then
        killed and start inside the cut."""
        while self.pause(draws.uniform(1.0, 4.0)):
            with self.registrar_lock:
                domain = draws.choice(self.description.domains)
                fields = self.deployment.fields
                inside = [name for name in self.deployment.gateways + self.deployment.registrars
                          if fields[name]["zone"] == domain]
                others = [name for name in self.deployment.registrars if fields[name]["zone"] != domain]
                is_killed = draws.random() < 0.5
                self.cut(inside, others, draws.choice(["hold", "silent"]), draws.uniform(2.0, 5.5),
                         [name for name in inside if is_killed and name in self.deployment.gateways])
                for name in others:
                    self.wait_caught_up(name)

    def cut(self, hosts, registrars, kind, span_s, killed=()):
        self.note("%s between %s and %s" % (kind, " ".join(hosts), " ".join(registrars)))
        spans = [self.span("cut", "r-" + name if name in self.deployment.registrars else name)
                 for name in hosts]
        pairs = [pair for host in hosts for other in registrars if host != other
                 for pair in ((host, other), (other, host))]
        self.deployment.links.cut(pairs, kind)
        for name in killed:
            self.restart_after(name, self.kill, 0.05, "kill")
        self.pause(span_s)
        self.deployment.links.cut(pairs, None)
        for span in spans:
            span.ended = now()

    def change_habits(self, draws):
        """Clients give up early, or repeat at once and often, for some seconds."""
        while self.pause(draws.uniform(1.0, 3.0)):
            habit = draws.choice(["abuse", "give up"])
            self.note("clients: " + habit)
            self.clients.set_habit(habit)
            self.pause(draws.uniform(2.0, 5.0))
            self.clients.set_habit("usual")

    def kill_gateways(self, draws):
        self.kill_in_turn(draws.choice([0.2, 0.3, 0.6, 1.0, 2.0]))

    def kill_in_turn(self, gap, calm_s=0.0):
        self.pause(calm_s)
        for name in self.in_turn(random.Random(gap), gap):
            self.restart_after(name, self.kill, 0.05, "kill")

    def kill(self, name):
        self.deployment.processes[name].kill()

    def in_turn(self, draws, gap):
        names = list(self.deployment.gateways)
        draws.shuffle(names)
        while True:
            for name in names:
                if not self.pause(gap):
                    return
                yield name

    def restart_after(self, name, end_it, down_s, kind):
        if not self.held[name].acquire(blocking=False):
            return
        try:
            self.note("%s %s" % (kind, name))
            span = self.span(kind, name)
            end_it(name)
            time.sleep(down_s)
            self.deployment.start(name)
            span.ended = now()
        finally:
            self.held[name].release()

    def kill_all_gateways(self, draws):
        while self.pause(draws.uniform(3.0, 8.0)):
            for name in self.deployment.gateways:
                self.begin(self.restart_after, name, self.kill, draws.uniform(0.1, 1.0), "kill")

    def roll(self, draws):
        self.stop_in_turn(draws.choice([0.3, 0.8, 1.3, 2.0]), False)

    def stop_twice(self, draws):
        self.stop_in_turn(draws.choice([0.8, 2.0]), True)

    def stop_in_turn(self, gap, is_twice):
        """`is_twice`: with a second stop signal while the first one is carried out."""
        for name in self.in_turn(random.Random(gap), gap):
            self.begin(self.stop_gateway, name, is_twice)

    def stop_gateway(self, name, is_twice):
        if not self.held[name].acquire(blocking=False):
            return
        try:
            process = self.deployment.processes[name]
            self.note("stop%s %s" % (" twice" if is_twice else "", name))
            self.records.add(self.records.stops, (name, now()))
            process.send(signal.SIGTERM)
            if is_twice:
                time.sleep(0.7)
                process.send(signal.SIGTERM)
            grace, begun = self.description.seconds("grace-s"), now()
            code = process.wait(grace)
            if now() >= begun + grace:
                self.records.fail("stops", "%s did not end within %.0f s" % (name, grace))
            elif code < 0:
                self.records.fail("stops", "%s was ended by signal %d" % (name, -code))
            self.deployment.start(name)
        finally:
            self.held[name].release()

    def reload(self, draws):
        for name in self.in_turn(draws, draws.choice([0.2, 0.4, 1.0])):
            if self.held[name].acquire(blocking=False):
                self.records.add(self.records.reloads, (name, now()))
                self.deployment.processes[name].send(signal.SIGHUP)
                self.held[name].release()

    def freeze(self, draws):
        for name in self.in_turn(draws, draws.choice([0.5, 1.5, 3.0])):
            if self.held[name].acquire(blocking=False):
                self.note("freeze " + name)
                span = self.span("freeze", name)
                self.stand_still(name, draws.choice([0.5, 1.5, 3.5]))
                span.ended = now()
                self.held[name].release()

    def stand_still(self, name, span):
        process = self.deployment.processes[name]
        process.send(signal.SIGSTOP)
        time.sleep(span)
        process.send(signal.SIGCONT)

    def slow_all(self, draws):
        """Gateways and registrars get a part of each turn only, as with a fraction of a core; no fault by
        the rules, since any host may be slow throughout."""
        share = draws.choice([0.15, 0.25, 0.5])
        self.note("all run for %.2f of each turn" % share)
        self.records.is_slowed = True
        while not self.is_over.is_set():
            running = [self.deployment.processes[name]
                       for name in self.deployment.gateways + list(self.deployment.registrars)]
            running = [process for process in running if process.is_running()]
            for process in running:
                process.send(signal.SIGSTOP)
            time.sleep(SLOW_TURN_S * (1.0 - share) * draws.uniform(0.5, 1.5))
            for process in running:
                process.send(signal.SIGCONT)
            time.sleep(SLOW_TURN_S * share)

    def on_registrar(self, draws, kind, action):
        while self.pause(draws.uniform(0.5, 3.0)):
            with self.registrar_lock:
                name = draws.choice(self.deployment.registrars)
                self.note("%s %s" % (kind, name))
                span = self.span(kind, "r-" + name)
                replaced = action(name, draws)
                span.ended = now()
                self.wait_caught_up(replaced or name)

    def kill_registrars(self, draws):
        def action(name, inner):
            self.deployment.processes[name].kill()
            time.sleep(inner.uniform(0.1, 2.0))
            self.deployment.start(name)
        self.on_registrar(draws, "kill", action)

    def lose_disks(self, draws):
        def action(name, _):
            self.deployment.processes[name].kill()
            self.deployment.lose_disk(name)
            self.deployment.start(name)
        self.on_registrar(draws, "lose the disk of", action)

    def replace_registrar(self, draws):
        self.on_registrar(draws, "replace", lambda name, _: self.deployment.replace_registrar(name))

    def replace_all_registrars(self, draws):
        """Until none of the first ones is left."""
        for name in list(self.deployment.registrars):
            if not self.pause(draws.uniform(0.5, 2.0)):
                return
            with self.registrar_lock:
                if name in self.deployment.registrars:
                    self.replace_one(name)

    def replace_one(self, name):
        self.note("replace " + name)
        span = self.span("replace", "r-" + name)
        successor = self.deployment.replace_registrar(name)
        span.ended = now()
        self.wait_caught_up(successor)

    def leader(self):
        """The registrar that leads as most of them see it, or any."""
        pages = [self.deployment.status(name) for name in self.deployment.registrars]
        leaders = [page["leader"] for page in pages if page and page.get("leader")]
        for name in self.deployment.registrars:
            if any(self.deployment.fields[name]["ip"] in leader for leader in leaders):
                return name
        return self.deployment.registrars[0]

    def freeze_registrars(self, draws):
        """The leader, or any other."""
        while self.pause(draws.uniform(0.5, 3.0)):
            with self.registrar_lock:
                name = self.leader() if draws.random() < 0.5 else draws.choice(self.deployment.registrars)
                self.note("freeze " + name)
                span = self.span("freeze", "r-" + name)
                self.stand_still(name, draws.choice([0.7, 1.5, 3.0, 6.0]))
                span.ended = now()
                self.wait_caught_up(name)

    def split_registrars(self, draws):
        """Halves of the registrars are cut from each other; gateways and operators reach both."""
        while self.pause(draws.uniform(1.0, 4.0)):
            with self.registrar_lock:
                names = list(self.deployment.registrars)
                draws.shuffle(names)
                if draws.random() < 0.5:
                    names.sort(key=lambda name: name != self.leader())
                half = names[:max(1, len(names) // 2)]
                self.cut(half, names[len(half):], draws.choice(["hold", "silent", "reset"]),
                         draws.uniform(2.0, 6.0))
                for name in names:
                    self.wait_caught_up(name)

    def lose_most_registrars(self, draws):
        """All but one are killed: more than the deployment bears. They come back one after the other."""
        while self.pause(draws.uniform(3.0, 6.0)):
            with self.registrar_lock:
                names = draws.sample(self.deployment.registrars, len(self.deployment.registrars) - 1)
                self.lose_hosts(names, [], draws)

    def lose_all(self, draws):
        """All registrars and gateways are killed, and start one after the other."""
        if not self.pause(draws.uniform(2.0, 5.0)):
            return
        with self.registrar_lock:
            gateways = [name for name in self.deployment.gateways if self.held[name].acquire(timeout=10.0)]
            self.lose_hosts(list(self.deployment.registrars), gateways, draws)
            for name in gateways:
                self.held[name].release()

    def lose_hosts(self, registrars, gateways, draws):
        names = registrars + gateways
        span = self.span("loss", "")
        self.end_hosts(names, registrars if draws.random() < 0.5 else [])
        spread = draws.choice([0.3, 2.0, 6.0])
        starts = sorted((draws.uniform(0.1, spread), name) for name in names)
        begun = now()
        for due, name in starts:
            time.sleep(max(0.0, begun + due - now()))
            self.deployment.start(name)
        span.ended = now()
        for name in registrars:
            self.wait_caught_up(name)

    def end_hosts(self, names, without_power):
        """All at once; of `without_power`, registrars, what was not synced is gone."""
        self.note("kill %s, power lost: %s" % (" ".join(names), " ".join(without_power) or "none"))
        for name in names:
            self.deployment.processes[name].child.kill()
        for name in names:
            self.deployment.processes[name].child.wait()
        for name in without_power:
            self.deployment.lose_power(name)

    def wait_caught_up(self, name):
        """No other registrar is lost before this one counts again. Where more registrars work than the
        log needs, one of them stays a learner."""
        begun = now()
        most_voters = 2 * self.description.losses["machines"] + 1
        while now() < begun + CATCH_UP_LIMIT_S:
            page = self.deployment.status(name)
            voters = sum(item["votes"] for item in page["registries"]) if page else 0
            if page and page["caught_up"] and (page["voter"] or voters >= most_voters):
                time.sleep(max(0.0, begun + self.description.catch_up_s - now()))
                return
            time.sleep(0.1)
        self.records.fail("registrars", "%s did not come back within %.0f s" % (name, CATCH_UP_LIMIT_S))

    def end_deployment(self, operator, with_wipe):
        """The final fault, right behind an acknowledged configuration: all processes are killed or lose
        power, and as many registrars as the deployment bears lose their disks."""
        if not operator.change():
            self.records.fail("final fault", "no acknowledgement of a configuration within 20 s")
            return
        names = [*self.deployment.registrars, *self.deployment.gateways]
        final = self.records.add(self.records.faults, Span("final", "", now(), now() + 60.0))
        is_powerless = self.description.changes_routes and self.random.random() < 0.5
        self.end_hosts(names, self.deployment.registrars if is_powerless else [])
        if with_wipe:
            for name in self.random.sample(self.deployment.registrars, self.description.losses["machines"]):
                self.note("final loss of the disk of " + name)
                self.deployment.lose_disk(name)
        time.sleep(0.95)
        for name in names:
            self.deployment.start(name)
        if self.description.changes_routes:
            final.ended = now() + self.description.seconds("contact-ms")
