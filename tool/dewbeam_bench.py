"""Runs the benches behind tool/bench. The decision benches run in virtual time with fixed seeds, so
their figures repeat; `path` and `failover` measure real processes on the loopback."""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

from dewbeam_plots import bar_plot
from dewbeam_site import STANDARD_CONFIGURATION, Site

DECISIONS = ["routing", "fairness", "overload", "admission", "poison", "experts", "moves", "stall", "orders",
             "scale", "membership", "consensus", "group_map"]
PROCESSES = ["path", "failover"]
ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")


def decision_bench(bin_folder, name):
    result = subprocess.run([os.path.join(bin_folder, name + "_bench")], check=True,
                            stdout=subprocess.PIPE, text=True)
    return json.loads(result.stdout.strip().splitlines()[-1])


def small_site(bin_folder, work, upstreams, **engine):
    """One control host, one entry, and upstreams of one model."""
    site = Site(bin_folder, work, common={"log": {"level": "warning"},
                                          "stop": {"notice_ms": 0, "drain_ms": 5000}})
    site.control_links = site.control_links[:1]
    site.entry_links = site.entry_links[:1]
    site.add_control(0)
    site.add_entry(0)
    for index in range(upstreams):
        site.add_upstream("chat-%d" % index, "d1", ["ad-copy"], "pool=ad-copy", **engine)
    site.start_all()
    site.wait_for_upstreams("e1", upstreams)
    status, answer = site.apply(STANDARD_CONFIGURATION, "bench")
    assert status == 200, answer
    site.wait_for_number(1)
    return site


def processor_seconds(process):
    with open("/proc/%d/stat" % process.child.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process):
    with open("/proc/%d/status" % process.child.pid) as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024.0
    return 0.0


def load(site, target, rate, seconds, tokens):
    """Open-loop load of streamed requests; gives dewbeam-load's figures."""
    experiment = {
        "entries": ["127.0.0.1:1"], "seed": 1, "most_requests": 100000, "time_limit_ms": 30000,
        "most_resends": 0,
        "arrivals": {"kind": "poisson", "rate": rate, "duration_ms": seconds * 1000},
        "work": [{"name": "chat", "share": 1, "model": "ad-copy",
                  "workspaces": [{"name": "arusha"}], "labels": "", "prompt_words": [8, 8],
                  "output_tokens": [tokens, tokens], "stream": True}]}
    path = os.path.join(site.work, "experiment.json")
    with open(path, "w") as file:
        json.dump(experiment, file)
    result = subprocess.run(
        [os.path.join(site.bin, "dewbeam-load"), path,
         "--entry=127.0.0.1:%d" % site.processes[target].http_port()],
        stdout=subprocess.PIPE, text=True, check=True)
    return json.loads(result.stdout)["work"][0]


def quantiles(figures):
    return {"answered": figures["answered"], "failed": figures["failed"],
            "first_byte_p50_ms": round(figures["first_byte"]["p50_ms"], 3),
            "first_byte_p99_ms": round(figures["first_byte"]["p99_ms"], 3),
            "whole_p50_ms": round(figures["whole"]["p50_ms"], 3),
            "whole_p99_ms": round(figures["whole"]["p99_ms"], 3)}


def open_streams_memory(bin_folder, count):
    """Memory of an entry with `count` open streams, and before them."""
    with tempfile.TemporaryDirectory() as work:
        site = small_site(bin_folder, work, 1, slots=count, step_us=200000)
        with site:
            entry = site.processes["e1"]
            before = resident_megabytes(entry)
            connections = []
            body = json.dumps({"model": "ad-copy", "stream": True, "max_tokens": 1000,
                               "prompt": "hold"})
            for _ in range(count):
                connection = site.connection("e1", 60.0)
                connection.request("POST", "/v1/completions", body,
                                   {"Content-Type": "application/json"})
                connections.append(connection)
            site.wait_for(lambda: json.loads(site.call("e1", "GET", "/v1/status")[2])["in_flight"]
                          >= count, "%d open streams" % count)
            time.sleep(2.0)
            during = resident_megabytes(entry)
            for connection in connections:
                connection.close()
            return {"open_streams": count, "before_mb": round(before, 1),
                    "during_mb": round(during, 1)}


def bench_path(bin_folder):
    """What the entry and the agent add to an engine that is called directly."""
    result = {"bench": "path",
              "aim": "added p50 <= 1 ms, p99 <= 3 ms; 50,000 streamed tokens a second on one core;"
                     " 64 MB with 1,000 open streams"}
    with tempfile.TemporaryDirectory() as work:
        site = small_site(bin_folder, work, 1, slots=256, step_us=1000, prefill_us_per_token=0)
        with site:
            load(site, "e1", 100, 1, 4)  # warm
            direct = quantiles(load(site, "chat-0-engine", 100, 10, 4))
            through = quantiles(load(site, "e1", 100, 10, 4))
    result["direct"] = direct
    result["through_dewbeam"] = through
    result["added"] = {key: round(through[key] - direct[key], 3)
                       for key in direct if key.endswith("_ms")}
    with tempfile.TemporaryDirectory() as work:
        site = small_site(bin_folder, work, 2, slots=512, step_us=2000, prefill_us_per_token=0)
        with site:
            entry = site.processes["e1"]
            agents = [site.processes["chat-0"], site.processes["chat-1"]]
            before = processor_seconds(entry)
            agents_before = sum(processor_seconds(agent) for agent in agents)
            begun = time.monotonic()
            figures = load(site, "e1", 100, 10, 200)
            spent = processor_seconds(entry) - before
            agents_spent = sum(processor_seconds(agent) for agent in agents) - agents_before
            tokens = figures["answered"] * 200
            result["tokens"] = {
                "streamed": tokens, "seconds": round(time.monotonic() - begun, 1),
                "entry_processor_s": round(spent, 2),
                "entry_tokens_per_core_second": round(tokens / spent),
                "agent_tokens_per_core_second": round(tokens / agents_spent),
                "failed": figures["failed"]}
    result["memory"] = open_streams_memory(bin_folder, 1000)
    result["met"] = {
        "added_p50": result["added"]["first_byte_p50_ms"] <= 1.0,
        "added_p99": result["added"]["first_byte_p99_ms"] <= 3.0,
        "tokens": result["tokens"]["entry_tokens_per_core_second"] >= 50000,
        "memory": result["memory"]["during_mb"] <= 64.0}
    return result


def watch_stream(site, number, tokens, gaps, wrong):
    """Streams one answer; notes its longest silence, and whether its words are whole and once."""
    connection = site.connection("e1", 60.0)
    try:
        connection.request("POST", "/v1/completions",
                           json.dumps({"model": "ad-copy", "stream": True, "max_tokens": tokens,
                                       "prompt": "watch %d" % number}),
                           {"Content-Type": "application/json"})
        answer = connection.getresponse()
        last, longest, body = time.monotonic(), 0.0, b""
        while True:
            piece = answer.read1(65536)
            if not piece:
                break
            now = time.monotonic()
            longest, last = max(longest, now - last), now
            body += piece
        words = [json.loads(event[6:])["choices"][0]["text"].split("-")[0]
                 for event in body.decode().split("\n\n")[:-1] if event != "data: [DONE]"]
        gaps.append(longest)
        if words != ["w%d" % index for index in range(tokens)] or b"[DONE]" not in body:
            wrong.append(len(words))
    except (OSError, ValueError) as error:
        wrong.append(str(error))
    finally:
        connection.close()


def failover(bin_folder, fault):
    """The longest silence that callers see when an agent meets `fault` under 16 streams."""
    with tempfile.TemporaryDirectory() as work:
        site = small_site(bin_folder, work, 3, slots=32, step_us=5000)
        with site:
            gaps, wrong = [], []
            threads = [threading.Thread(target=watch_stream, args=(site, number, 600, gaps, wrong))
                       for number in range(16)]
            for thread in threads:
                thread.start()
            time.sleep(1.0)
            site.processes["chat-0"].send(fault)
            for thread in threads:
                thread.join()
            if fault == signal.SIGSTOP:
                site.processes["chat-0"].send(signal.SIGCONT)
            return {"streams": len(threads), "whole_and_once": len(threads) - len(wrong),
                    "longest_silence_s": round(max(gaps), 3),
                    "median_silence_s": round(sorted(gaps)[len(gaps) // 2], 3)}


def bench_failover(bin_folder):
    """Time without progress when an agent dies or freezes; every stream must end whole, once."""
    killed = failover(bin_folder, signal.SIGKILL)
    frozen = failover(bin_folder, signal.SIGSTOP)
    return {"bench": "failover", "aim": "requests lost 0, runs doubled 0",
            "agent_killed": killed, "agent_frozen": frozen,
            "is_met": all(one["whole_and_once"] == one["streams"] for one in (killed, frozen))}


def run(bin_folder, name):
    if name in DECISIONS:
        return decision_bench(bin_folder, name)
    return {"path": bench_path, "failover": bench_failover}[name](bin_folder)


def flatten(value, path=""):
    """Leaves of a JSON value as (path, text)."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flatten(item, path + ("." if path else "") + key)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from flatten(item, "%s[%d]" % (path, index))
    else:
        yield path, "%.4g" % value if isinstance(value, float) else str(value)


def plots(results, folder):
    """Draws what a person looks at first; gives the file names."""
    drawn = []

    def draw(name, title, unit, bars):
        path = os.path.join(folder, name + ".svg")
        with open(path, "w") as file:
            file.write(bar_plot(title, unit, bars))
        drawn.append((title, "plots/%s.svg" % name))

    if "routing" in results:
        busy = results["routing"]["busy_with_reuse"]
        draw("routing", "Routing, busy, with reuse: p95 to the first token", "ms",
             [(key, value["ttft_p95_ms"]) for key, value in busy.items()
              if isinstance(value, dict)])
    if "overload" in results:
        draw("overload", "Overload at three times the capacity: goodput", "share of capacity",
             [(key, value["load_3.0"]["goodput_of_capacity"])
              for key, value in results["overload"].items()
              if isinstance(value, dict) and "load_3.0" in value])
    if "poison" in results:
        draw("poison", "Upstreams lost for each crashing request", "upstreams",
             [(key, value["upstreams_lost_per_poison"])
              for key, value in results["poison"].items() if isinstance(value, dict)])
    if "experts" in results:
        rows = results["experts"]["balance_skew"]
        names = ["dewbeam", "never", "full", "threshold"]
        draw("experts-skew", "Expert balance: mean of slowest rank / mean rank", "ratio",
             [(name, sum(row[name]["skew"] for row in rows) / len(rows)) for name in names])
        draw("experts-bytes", "Expert balance: weights moved", "GB a run",
             [(name, sum(row[name]["gigabytes"] for row in rows) / len(rows)) for name in names])
    return drawn


def commit():
    result = subprocess.run(["git", "-C", ROOT, "rev-parse", "--short", "HEAD"],
                            stdout=subprocess.PIPE, text=True, check=False)
    return result.stdout.strip() or "unknown"


def met_text(result):
    """Whether a bench met its aim, in its own words."""
    met = result.get("is_met", result.get("met"))
    if isinstance(met, dict):
        return ", ".join("%s: %s" % (key, "met" if value else "not met")
                         for key, value in met.items())
    return {True: "met", False: "not met", None: "see its page"}[met]


def write_figures(name, result):
    """docs/figures/NAME.md: every figure of one bench."""
    folder = os.path.join(ROOT, "docs", "figures")
    os.makedirs(folder, exist_ok=True)
    lines = ["# %s" % name, "", "Aim: %s" % result.get("aim", "slopes, no aim"), "",
             "| figure | value |", "|---|---|"]
    lines += ["| %s | %s |" % leaf for leaf in flatten(result) if leaf[0] not in ("aim", "bench")]
    with open(os.path.join(folder, name + ".md"), "w") as file:
        file.write("\n".join(lines) + "\n")


def write_page(results):
    """docs/MEASUREMENTS.md between its markers; text around them is kept."""
    folder = os.path.join(ROOT, "docs", "plots")
    os.makedirs(folder, exist_ok=True)
    lines = ["Measured at commit `%s` by `tool/bench all`.\n" % commit(),
             "| bench | aim | outcome | all figures |", "|---|---|---|---|"]
    for name, result in results.items():
        write_figures(name, result)
        lines.append("| %s | %s | %s | [figures](figures/%s.md) |"
                     % (name, result.get("aim", "slopes, no aim"), met_text(result), name))
    lines.append("")
    lines += ["![%s](%s)\n" % drawn for drawn in plots(results, folder)]
    page = os.path.join(ROOT, "docs", "MEASUREMENTS.md")
    begin, end = "<!-- figures begin -->", "<!-- figures end -->"
    with open(page) as file:
        text = file.read()
    head, tail = text.split(begin)[0], text.split(end)[1]
    with open(page, "w") as file:
        file.write(head + begin + "\n" + "\n".join(lines) + "\n" + end + tail)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("name", choices=["all", *DECISIONS, *PROCESSES])
    options = parser.parse_args()
    if options.name != "all":
        print(json.dumps(run(options.bin, options.name)))
        return
    results = {}
    for name in DECISIONS + PROCESSES:
        begun = time.monotonic()
        results[name] = run(options.bin, name)
        print(json.dumps(results[name]), flush=True)
        sys.stderr.write("%s took %.1f s\n" % (name, time.monotonic() - begun))
    write_page(results)


if __name__ == "__main__":
    main()
