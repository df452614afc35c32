"""A short soak: seeds that once showed a fault, and one more, each a few seconds long."""

import argparse
import os
import socket
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "tool")]
from soak.proxy import Proxy  # noqa: E402
from soak.run import run_seed, summary  # noqa: E402

STANDARD_SEED = 1
SECONDS = 8.0


def kept_seeds():
    """Seeds of `soak/kept_seeds.txt`: a number a line, and the cause of the fault that it showed."""
    with open(os.path.join(HERE, "soak", "kept_seeds.txt")) as file:
        return [int(line.split()[0]) for line in file if line.strip() and line[0] != "#"]


class ProxySession(unittest.TestCase):
    def test_a_reset_reaches_both_ends_at_once(self):
        """Guards against a rig whose reset shows only once an end sends something."""
        listener = socket.create_server(("127.0.0.1", 0))
        proxy = Proxy(listener.getsockname()[1], 1)
        client = socket.create_connection(("127.0.0.1", proxy.port))
        server = listener.accept()[0]
        client.sendall(b"request")
        self.assertEqual(server.recv(100), b"request")
        time.sleep(0.1)  # the proxy's threads wait for bytes again
        proxy.reset_all()
        for end in (client, server):
            end.settimeout(2.0)
            with self.assertRaises(ConnectionResetError):
                end.recv(100)
            end.close()
        proxy.close()
        listener.close()


class SoakSession(unittest.TestCase):
    def test_seeds_break_no_promise(self):
        for seed in [STANDARD_SEED, *kept_seeds()]:
            with self.subTest(seed=seed):
                result = run_seed(OPTIONS.bin, seed, SECONDS)
                print(summary(result))
                self.assertEqual(result["broken"], [], "\n".join(result["faults"]))


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
