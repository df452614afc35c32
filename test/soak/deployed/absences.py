"""Hosts that are away while all registrars are replaced, hosts that are added, and settings files that
change: whoever comes back must be in touch within the bound, whatever it missed."""

import json
import os
import random
import signal
import threading
import time

from soak.deployed.hosts import LINKS
from soak.promises import now

LONG_S = 30.0  # after which a host that came back is judged again
INVALID = ["", "{", '{"registries": {"seeds": ["nowhere"]}}']
CATCH_UP_LIMIT_S = 20.0
REFUSAL_S = 4.0  # within which a program must have refused an invalid file


class Absences:
    def __init__(self, faults):
        self.faults, self.deployment, self.records = faults, faults.deployment, faults.records
        self.contact_s = faults.description.seconds("contact-ms")
        self.added = 0

    def draw(self, draws):
        """Begins up to two series beside the other faults."""
        series = [self.replace_all_while_away, self.change_settings, self.add_gateways]
        for action in draws.sample(series, draws.randint(0, 2)):
            self.faults.begin(action, random.Random(draws.randrange(1 << 30)))

    def replace_all_while_away(self, draws):
        """Gateways, and sometimes a rank, miss the replacement of all registrars as a whole."""
        if not self.faults.pause(draws.uniform(1.0, 3.0)):
            return
        gateways = draws.sample(self.deployment.gateways, min(2, len(self.deployment.gateways)))
        ranks = [name for name in self.deployment.processes if name.startswith("s-")]
        ranks = draws.sample(ranks, min(len(ranks), draws.randint(0, 1)))
        kind = draws.choice(["freeze", "hold", "silent", "dropped", "killed"])
        with self.faults.registrar_lock:
            held = [name for name in gateways if self.faults.held[name].acquire(timeout=10.0)]
            try:
                self.miss_replacement(held, ranks, kind)
            finally:
                for name in held:
                    self.faults.held[name].release()

    def miss_replacement(self, gateways, ranks, kind):
        names = gateways + ranks
        self.faults.note("away (%s) while all registrars are replaced: %s" % (kind, " ".join(names)))
        spans = [self.faults.span("away", name) for name in names]
        come_back = [self.leave(name, kind) for name in names]
        for registrar in list(self.deployment.registrars):
            self.faults.replace_one(registrar)
            self.wait_for_voters()
        for action in come_back:
            action()
        for span in spans:
            span.ended = now()
            self.faults.note("back: " + span.host)
        for name in gateways:
            self.judge_later(name, kind == "killed")

    def wait_for_voters(self):
        """Until no registrar that is gone has a vote, so that another one may be lost."""
        begun = now()
        while now() < begun + CATCH_UP_LIMIT_S:
            living = {"tcp://" + self.deployment.address(name, LINKS[0])
                      for name in self.deployment.registrars}
            for name in self.deployment.registrars:
                page = self.deployment.status(name)
                voters = {item["address"] for item in page["registries"] if item["votes"]} if page else set()
                if page and page["quorum"] and len(voters) >= len(living) and voters <= living:
                    return
            time.sleep(0.1)
        self.records.fail("registrars", "a registrar that is gone kept its vote for %.0f s" %
                          CATCH_UP_LIMIT_S)

    def leave(self, name, kind):
        """Takes a host away. Gives what brings it back."""
        process, links = self.deployment.processes[name], self.deployment.links
        is_gateway = name in self.deployment.gateways
        if kind == "freeze" or not is_gateway:
            process.send(signal.SIGSTOP)
            return lambda: process.send(signal.SIGCONT)
        if kind == "killed":
            old_seeds = process.settings["registries"]["seeds"]
            process.kill()

            def start():
                self.deployment.fields[name]["seeds"] = old_seeds
                self.deployment.start(name)
            return start
        registrars = self.deployment.all_registrars()
        pairs = [pair for other in registrars for pair in ((name, other), (other, name))]
        links.cut(pairs, "hold" if kind == "hold" else "silent")
        if kind == "dropped":
            links.drop_new([name], True)

        def join():
            if kind == "dropped":
                links.drop_new([name], False)
            links.cut(pairs, None)
        return join

    def judge_later(self, name, is_start):
        """`is_start`: the bound counts from when the process hears a registrar that it did not know."""
        back_at, lives = now(), self.lives_of(name)

        def judge():
            for due in (2 * self.contact_s if is_start else self.contact_s, LONG_S):
                if self.faults.is_over.wait(max(0.0, back_at + due - now())):
                    return
                if self.is_undisturbed(name, back_at, lives):
                    self.judge(name, due)
        threading.Thread(target=judge, daemon=True).start()

    def lives_of(self, name):
        return sum(host == name for host, _ in list(self.records.starts))

    def is_undisturbed(self, name, since, lives):
        """Whether nothing happened to the host or to the registrars since then."""
        begun = max(since, now() - self.contact_s)
        return lives == self.lives_of(name) and not any(
            span.host in (name, "") and span.ended > since or
            span.host.startswith("r-") and span.ended > begun
            for span in list(self.records.faults) if span.begun > since or span.ended == float("inf"))

    def judge(self, name, after_s):
        bound = now() - self.faults.description.seconds("config-apply-ms")
        needed = max((number for number, item in list(self.records.versions.items())
                      if item.acknowledged_at <= bound), default=0)
        page = self.deployment.status(name)
        if page and (page["registries"] == 0 or page["revision"] < needed):
            self.records.fail("contact", "%s has revision %d of %d and hears %d registrars, %.0f s after "
                              "its return" % (name, page["revision"], needed, page["registries"], after_s))

    def change_settings(self, draws):
        """Files of gateways get the seeds of the operator's list, with or without a signal; sometimes
        invalid ones, which must change nothing."""
        while self.faults.pause(draws.uniform(0.5, 2.0)):
            name = draws.choice(self.deployment.gateways)
            if not self.faults.held[name].acquire(blocking=False):
                continue
            try:
                process = self.deployment.processes[name]
                settings = json.loads(json.dumps(process.settings))
                settings["registries"]["seeds"] = self.deployment.seeds()
                is_signalled = draws.random() < 0.5
                if draws.random() < 0.3:
                    self.write_invalid(process, draws.choice(INVALID), is_signalled)
                self.faults.note("settings of " + name)
                self.write(process, json.dumps(settings), is_signalled)
            finally:
                self.faults.held[name].release()

    def write(self, process, content, is_signalled):
        with open(os.path.join(self.deployment.work, process.name + ".json"), "w") as file:
            file.write(content)
        if is_signalled:
            process.send(signal.SIGHUP)

    def write_invalid(self, process, content, is_signalled):
        refusals = process.log().count("event=settings_refused")
        self.faults.note("invalid settings of " + process.name)
        self.write(process, content, is_signalled)
        deadline = now() + REFUSAL_S
        while process.log().count("event=settings_refused") == refusals:
            if now() > deadline or not self.faults.pause(0.1):
                break
        else:
            return
        if not self.faults.is_over.is_set() and not self.records.is_slowed:
            self.records.fail("settings", "%s did not refuse invalid ones" % process.name)

    def add_gateways(self, draws):
        """Gateways that the registrars have not seen before; nobody calls them."""
        while self.faults.pause(draws.uniform(1.0, 5.0)):
            self.added += 1
            name = "g%d" % (90 + self.added)
            self.faults.note("add " + name)
            self.deployment.add_gateway(name, draws.choice(self.faults.description.domains))
            begun = now()
            if not self.faults.pause(2 * self.contact_s):
                return
            if self.is_undisturbed(name, begun, self.lives_of(name)):
                self.judge(name, 2 * self.contact_s)
            self.deployment.processes[name].kill()
            self.deployment.release_host(name)
