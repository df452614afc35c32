"""Golden sessions: scripted sessions over the real programs, compared with test/golden/NAME.txt.

A transcript holds what a caller or an operator sends and sees. Only ids, times and ports are
replaced. `tool/golden --rewrite` writes the files anew; otherwise a difference fails.
"""

import argparse
import difflib
import http.client
import json
import os
import re
import subprocess
import sys
import tempfile
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tool"))
from dewbeam_site import DOMAINS, Site  # noqa: E402

GOLDEN = os.path.join(HERE, "golden")
CHAT = {"model": "ad-copy", "max_tokens": 4,
        "messages": [{"role": "user", "content": "Two lines for a flight"}]}
RULES = {
    "workspaces": {"arusha": {"labels": {"tier": "gold"}}},
    "selectors": {
        "briefs": {"when": "model=ad-copy", "upstreams": "pool=ad-copy"},
        "alerts": {"when": "service=bay", "upstreams": "service=bay", "class": "urgent",
                   "idempotent": False},
    },
}


class Session:
    """A small site and the transcript of what happens to it."""

    def __init__(self, site, bin_folder):
        self.site = site
        self.bin = bin_folder
        self.lines = []
        self.ids = {}

    def start(self, rules=RULES):
        for index in range(len(DOMAINS)):
            self.site.add_control(index)
            self.site.add_entry(index)
        self.site.add_upstream("copy-1", "d1", ["ad-copy"], "pool=ad-copy")
        self.site.add_upstream("bay-1", "d1", [], "service=bay,bay=1")
        self.site.add_upstream("bay-2", "d1", [], "service=bay,bay=2")
        self.site.start_all()
        for entry in ("e1", "e2", "e3"):
            self.site.wait_for_upstreams(entry, self.site.upstream_count())
        if rules is not None:
            self.run_ctl("apply", "-", "--time-limit=30000", given=rules).check_returncode()
            self.site.wait_for_number(1)

    def note(self, text):
        self.lines.append("# " + text)

    def call(self, name, method, path, body=None, fields=None):
        """One request and its whole answer, both written down."""
        self.lines.append("> %s %s %s" % (name, method, path))
        self.lines += ["> %s: %s" % item for item in (fields or {}).items()]
        if body is not None:
            self.lines.append("> " + (body if isinstance(body, str) else json.dumps(body)))
        status, head, text = self.site.call(name, method, path, body, fields)
        self.lines.append("< %d" % status)
        self.lines += ["< %s: %s" % item for item in sorted(head.items())]
        self.lines += ["< " + line for line in text.splitlines()] + [""]
        return status, head, text

    def ctl(self, *arguments, given=None):
        """One command of the operator's tool, written down with its exit code."""
        self.lines.append("$ dewbeamctl " + " ".join(arguments))
        if given is not None:
            self.lines.append("$ " + json.dumps(given))
        result = self.run_ctl(*arguments, given=given)
        for text in (result.stdout, result.stderr):
            self.lines += ["| " + line if line else "|" for line in text.rstrip().splitlines()]
        self.lines += ["= %d" % result.returncode, ""]
        return result

    def run_ctl(self, *arguments, given=None):
        return subprocess.run(
            [os.path.join(self.bin, "dewbeamctl"), *arguments,
             "--control", ",".join(self.addresses("dewbeam-control")),
             "--entry", ",".join(self.addresses("dewbeam-entry"))],
            input=None if given is None else json.dumps(given), capture_output=True, text=True,
            timeout=60, check=False)

    def addresses(self, program):
        return ["127.0.0.1:%d" % process.http_port()
                for process in self.site.processes.values() if process.program == program]

    def runs(self, engine):
        return json.loads(self.site.call(engine, "GET", "/runs")[2])["runs"]

    def running(self, engine):
        return json.loads(self.site.call(engine, "GET", "/load")[2])["running"]

    def text(self):
        return "\n".join(self.normalise(line) for line in self.lines).rstrip() + "\n"

    def normalise(self, line):
        """Replaces ids by their order of appearance, and times and ports by names."""
        line = re.sub(r"127\.0\.0\.1:\d+", "IP:PORT", line)
        line = re.sub(r"< Date: .*", "< Date: TIME", line)
        line = re.sub(r"change-[0-9a-f]{16}", "CHANGE", line)
        line = re.sub(r"version \d+\.\d+", "version TERM.INDEX", line)
        head = re.match(r"< X-Request-Id: (\S+)", line)
        if head:
            self.ids.setdefault(head[1], "ID-%d" % (len(self.ids) + 1))
        for found, name in self.ids.items():
            line = line.replace(found, name)
        return line


def whole_answer(session):
    session.start()
    session.call("e1", "POST", "/v1/chat/completions", CHAT, {"X-Dewbeam-Workspace": "arusha"})
    session.call("e2", "POST", "/v1/completions",
                 {"model": "ad-copy", "prompt": "One line", "max_tokens": 2})
    session.call("e3", "GET", "/v1/models")


def streamed_answer(session):
    session.start()
    session.call("e1", "POST", "/v1/chat/completions", {**CHAT, "stream": True},
                 {"X-Dewbeam-Workspace": "arusha"})


def cancelled(session):
    session.start()
    body = {**CHAT, "stream": True, "max_tokens": 30000}
    session.lines.append("> e1 POST /v1/chat/completions\n> " + json.dumps(body))
    connection = http.client.HTTPConnection(
        "127.0.0.1", session.site.processes["e1"].http_port(), timeout=30)
    connection.request("POST", "/v1/chat/completions", json.dumps(body))
    answer = connection.getresponse()
    session.lines += ["< %d" % answer.status, "< " + answer.readline().decode().rstrip()]
    session.note("running on the engine: %d" % session.running("copy-1-engine"))
    answer.close()
    connection.close()
    session.note("the caller hangs up")
    session.site.wait_for(lambda: session.running("copy-1-engine") == 0, "the engine to be idle")
    session.note("running on the engine: 0")
    session.note("the next request finds the upstream free")
    session.call("e1", "POST", "/v1/chat/completions", CHAT)


def bad_inputs(session):
    session.start()
    path = "/v1/chat/completions"
    session.call("e1", "POST", path, "{")
    session.call("e1", "POST", path, "[1]")
    session.call("e1", "POST", path, {**CHAT, "model": 7})
    session.call("e1", "POST", path, {**CHAT, "max_tokens": "many"})
    session.call("e1", "POST", path, {**CHAT, "messages": "hello"})
    session.call("e1", "POST", path, CHAT, {"X-Dewbeam-Labels": "a b"})
    session.call("e1", "POST", path, CHAT, {"X-Dewbeam-Labels": "model=other"})
    session.call("e1", "POST", path, CHAT, {"X-Dewbeam-Workspace": "nobody"})
    session.call("e1", "POST", path, CHAT, {"Idempotency-Key": "k" * 300})
    session.call("e1", "GET", path)
    session.call("e1", "POST", "/v1/nothing", CHAT)
    session.call("c1", "POST", "/v1/changes", {"id": "", "base": -1, "patch": 5})


def no_selector_matches(session):
    session.start()
    session.call("e1", "POST", "/v1/chat/completions", {**CHAT, "model": "unheard-of"})
    session.call("e1", "POST", "/services/unheard-of/call", {})
    session.note("under no configuration at all")
    session.ctl("apply", "-", "--replace", given={})
    session.site.wait_for_number(2)
    session.call("e1", "POST", "/v1/chat/completions", CHAT)


def configuration_change(session):
    session.start(rules=None)
    session.note("a wrong batch is refused whole, with every mistake by its path")
    session.ctl("apply", "-", given={"selectors": {
        "briefs": {"when": "model in", "upstreams": "pool=ad-copy", "class": "fast"},
        "alerts": {"when": "service=bay", "upstreams": "service=bay"}}})
    session.ctl("get")
    session.note("the dry run, the change, and the change in force")
    session.ctl("plan", "-", given=RULES)
    session.ctl("apply", "-", given=RULES)
    session.site.wait_for_number(1)
    session.call("e2", "POST", "/v1/chat/completions", CHAT, {"X-Dewbeam-Workspace": "arusha"})
    change = {"selectors": {"alerts": {"key_required": True, "upstreams": "bay=2"}}}
    session.ctl("plan", "-", given=change)
    session.ctl("apply", "-", given=change)
    session.site.wait_for_number(2)
    session.call("e2", "POST", "/services/bay/unlock", {"bay": 2})
    session.call("e2", "POST", "/services/bay/unlock", {"bay": 2}, {"Idempotency-Key": "two"})
    session.note("a change that would strand requests, found by the dry run")
    session.ctl("plan", "-", given={"selectors": {"briefs": {"upstreams": "pool=nowhere"}}})


def drain(session):
    session.start()
    session.ctl("drain", "bay=1")
    session.site.wait_for_number(2)
    for bay in range(4):
        session.site.call("e%d" % (bay % 3 + 1), "POST", "/services/bay/unlock", {"bay": bay})
    session.note("runs on bay-1: %d, on bay-2: %d" %
                 (session.runs("bay-1-engine"), session.runs("bay-2-engine")))
    session.note("draining the last one warns; calls are then refused at once")
    session.ctl("drain", "bay=2")
    session.site.wait_for_number(3)
    session.call("e1", "POST", "/services/bay/unlock", {"bay": 9})
    session.ctl("drain", "bay=1", "--undo")
    session.site.wait_for_number(4)
    session.site.wait_for(lambda: session.site.try_call("e1", "POST", "/services/bay/probe")[0]
                          == 200, "bay-1 to take work again")
    session.call("e1", "GET", "/services/bay/state")
    session.ctl("drain", "bay=1", "--undo")


def operator_race(session):
    session.start()
    first = {"workspaces": {"mwanza": {"weight": 2}}}
    second = {"workspaces": {"mwanza": {"weight": 3}}}
    session.note("two operators build on number 1")
    session.ctl("apply", "-", "--id=first", "--base=1", given=first)
    session.ctl("apply", "-", "--id=second", "--base=1", given=second)
    session.note("a resend after a lost answer gets the same answer")
    session.ctl("apply", "-", "--id=first", "--base=1", given=first)
    session.note("the same id with other content")
    session.ctl("apply", "-", "--id=first", "--base=1", given=second)
    session.ctl("get")
    session.note("eight at once on number 2")
    results = []
    threads = [threading.Thread(target=lambda n=n: results.append(session.run_ctl(
        "apply", "-", "--id=racer-%d" % n, "--base=2", "--output=json",
        given={"workspaces": {"racer-%d" % n: {}}}))) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    answers = [json.loads(result.stdout) for result in results]
    accepted = [a["id"] for a in answers if a["status"] == "accepted"]
    losers = [a for a in answers if a["status"] == "conflict" and [a["winner"]] == accepted]
    session.note("accepted: %d, in conflict and told the winner: %d" %
                 (len(accepted), len(losers)))
    session.note("exit codes: %s" % sorted(result.returncode for result in results))


def same_key(session):
    session.start({"selectors": {**RULES["selectors"],
                                 "alerts": {**RULES["selectors"]["alerts"],
                                            "upstreams": "bay=1"}}})
    head = {"Idempotency-Key": "unlock-7"}
    session.call("e1", "POST", "/services/bay/unlock", {"bay": 7}, head)
    session.note("the same again, through another entry")
    session.call("e2", "POST", "/services/bay/unlock", {"bay": 7}, head)
    session.note("runs on bay-1: %d" % session.runs("bay-1-engine"))


def burn_report(session):
    session.start()
    for index in range(6):
        session.site.call("e%d" % (index % 3 + 1), "POST", "/v1/chat/completions", CHAT,
                          {"X-Dewbeam-Workspace": "arusha"})
    session.call("e1", "POST", "/v1/chat/completions", "{")
    session.note("six answers and a mistake of the caller's own, which doesn't count")
    session.ctl("burn")
    session.site.processes["e3"].kill()
    session.note("entry e3 was killed: it is missing, and its requests are in no figure")
    report = json.loads(session.run_ctl("burn", "--output=json").stdout)
    window = report["series"][0]["objectives"][0]["windows"]["1h"]
    # The missing one is named by its host or, once its lease is over, by its address.
    session.note("counted: %s, missing: %d, requests in the last hour: %d" %
                 (report["hosts"], len(report["missing"]), window["requests"]))


def load_run(session):
    session.start()
    work = [{"name": "briefs", "share": 3, "model": "ad-copy", "prompt_words": [2, 20]},
            {"name": "whole", "path": "/v1/completions", "model": "ad-copy", "stream": False},
            {"name": "unlocks", "path": "/services/bay/unlock", "stream": False, "key": True}]
    experiment = {"entries": session.addresses("dewbeam-entry"), "seed": 3, "most_requests": 60,
                  "time_limit_ms": 60000, "most_resends": 5, "work": work,
                  "arrivals": {"kind": "poisson", "rate": 60, "duration_ms": 5000}}
    path = os.path.join(session.site.work, "experiment.json")
    with open(path, "w") as file:
        json.dump(experiment, file)
    result = subprocess.run([os.path.join(session.bin, "dewbeam-load"), path],
                            capture_output=True, text=True, timeout=120, check=False)
    for item in json.loads(result.stdout)["work"]:
        session.note("%s: %d answered, %d wrong, %d refused, %d failed, %d timed out" % (
            item["name"], item["answered"], item["wrong"], item["refused"], item["failed"],
            item["timed_out"]))
    session.note("exit code of dewbeam-load: %d" % result.returncode)
    session.note("runs of the bay service: %d" %
                 (session.runs("bay-1-engine") + session.runs("bay-2-engine")))


SESSIONS = [whole_answer, streamed_answer, cancelled, bad_inputs, no_selector_matches,
            configuration_change, drain, operator_race, same_key, burn_report, load_run]


def transcript(script, bin_folder):
    with tempfile.TemporaryDirectory(prefix="dewbeam-golden-") as work:
        with Site(bin_folder, work) as site:
            session = Session(site, bin_folder)
            script(session)
            codes = site.stop_all()
            bad = {name: code for name, code in codes.items() if code != 0}
            session.note("planned stop of everything: %s" % (bad or "every exit code is 0"))
            for name in bad:
                sys.stderr.write("--- %s\n%s" % (name, site.processes[name].log()[-1500:]))
            return session.text()


def compare(script, bin_folder, rewrites):
    """True where the transcript is the golden one, or was written."""
    path = os.path.join(GOLDEN, script.__name__ + ".txt")
    found = transcript(script, bin_folder)
    if rewrites:
        with open(path, "w") as file:
            file.write(found)
        return True
    expected = ""
    if os.path.exists(path):
        with open(path) as file:
            expected = file.read()
    sys.stdout.writelines(difflib.unified_diff(
        expected.splitlines(True), found.splitlines(True), "golden", "found"))
    return expected == found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--rewrite", action="store_true")
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    failed = []
    for script in SESSIONS:
        if options.names and script.__name__ not in options.names:
            continue
        try:
            is_right = compare(script, options.bin, options.rewrite)
        except (TimeoutError, OSError, subprocess.TimeoutExpired) as error:
            print(error)
            is_right = False
        print("%s %s" % ("ok    " if is_right else "FAILED", script.__name__), flush=True)
        if not is_right:
            failed.append(script.__name__)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
