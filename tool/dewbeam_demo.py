"""The demo behind tool/demo: a loopback site, a streamed chat request, an urgent call that must
run at most once, the site's status, and a graceful stop. Exits with 1 if anything failed."""

import argparse
import json
import os
import subprocess
import sys
import tempfile

from dewbeam_site import STANDARD_CONFIGURATION, Site


def make_keys(work, bin_folder):
    """A certificate for callers and operators, and link keys for own processes."""
    certificate = os.path.join(work, "certificate.pem")
    key = os.path.join(work, "certificate-key.pem")
    subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2",
                    "-subj", "/CN=dewbeam demo", "-addext", "subjectAltName=IP:127.0.0.1",
                    "-keyout", key, "-out", certificate], check=True, capture_output=True)
    link_keys = os.path.join(work, "link-keys.json")
    made = subprocess.run([os.path.join(bin_folder, "dewbeamctl"), "keys"], check=True,
                          capture_output=True, text=True)
    with open(link_keys, "w") as file:
        file.write(made.stdout)
    return {"certificate_file": certificate, "certificate_key_file": key}, link_keys


def check(condition, what):
    print(("ok    " if condition else "FAILED  ") + what)
    return condition


def run(site):
    site.start_all()
    for entry in ("e1", "e2", "e3"):
        site.wait_for_upstreams(entry, site.upstream_count())
    fine = check(True, "%d processes are ready" % len(site.processes))

    status, answer = site.apply(STANDARD_CONFIGURATION, "demo-1")
    fine &= check(status == 200, "configuration accepted: %s" % answer)
    site.wait_for_number(1)
    fine &= check(True, "configuration 1 is in force on every entry and agent")

    print("\nA streamed chat request through entry e1:")
    chat = {"model": "ad-copy", "stream": True, "max_tokens": 5,
            "messages": [{"role": "user", "content": "Three lines for a flight in Arusha"}]}
    status, fields, body = site.call("e1", "POST", "/v1/chat/completions", chat,
                                     {"X-Dewbeam-Workspace": "arusha"})
    print("\n".join("  " + line for line in body.splitlines() if line))
    fine &= check(status == 200 and body.endswith("data: [DONE]\n\n"), "the stream is whole")

    print("\nAn urgent call that must run at most once, sent twice with one key:")
    head = {"X-Dewbeam-Workspace": "houston", "Idempotency-Key": "unlock-7"}
    answers = [site.call(entry, "POST", "/services/bay/unlock", {"bay": 7}, head)
               for entry in ("e2", "e3")]
    for status, _, body in answers:
        print("  %d %s" % (status, body))
    runs = sum(json.loads(site.call(name, "GET", "/runs")[2])["runs"]
               for name in site.processes if name.startswith("bay") and name.endswith("-engine"))
    fine &= check(runs == 1, "the bay was unlocked once (runs: %d)" % runs)
    fine &= check(answers[0][2] == answers[1][2], "both senders got the same answer")
    return fine


def show_status(site, bin_folder):
    controls = ",".join("127.0.0.1:%d" % site.processes[name].http_port()
                        for name in ("c1", "c2", "c3"))
    entries = ",".join("127.0.0.1:%d" % site.processes[name].http_port()
                       for name in ("e1", "e2", "e3"))
    command = [os.path.join(bin_folder, "dewbeamctl"), "status", "--control", controls,
               "--entry", entries]
    if site.tls:
        command += ["--ca", site.tls["certificate_file"]]
    print("\ndewbeamctl status:", flush=True)
    result = subprocess.run(command, check=False)
    return check(result.returncode == 0, "status (exit code %d)" % result.returncode)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--no-keys", action="store_true", help="run without TLS and link keys")
    options = parser.parse_args()
    fine = False
    with tempfile.TemporaryDirectory(prefix="dewbeam-demo-") as work:
        tls, keys = (None, None) if options.no_keys else make_keys(work, options.bin)
        with Site(options.bin, work, tls=tls, keys=keys) as site:
            try:
                fine = run(site) and show_status(site, options.bin)
                codes = site.stop_all()
                fine &= check(set(codes.values()) == {0}, "every program stopped with code 0")
            except (TimeoutError, OSError) as error:
                check(False, str(error))
                fine = False
            if not fine:
                for process in site.processes.values():
                    sys.stderr.write("--- %s\n%s" % (process.name, process.log()[-2000:]))
    print("\nThe demo " + ("passed." if fine else "FAILED."))
    return 0 if fine else 1


if __name__ == "__main__":
    sys.exit(main())
