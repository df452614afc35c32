"""What the soak's power loss leaves of a program's files."""

import argparse
import os
import subprocess
import sys
import tempfile
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
from soak.deployed import synced_files  # noqa: E402

PROGRAM = """
import os, sys
os.makedirs(sys.argv[1], exist_ok=True)
os.chdir(sys.argv[1])
def write(name, text, is_synced=True):
    with open(name, "a") as file:
        file.write(text)
        file.flush()
        if is_synced:
            os.fdatasync(file.fileno())
def sync_folder():
    folder = os.open(".", os.O_RDONLY)
    os.fsync(folder)
    os.close(folder)
"""


class PowerLoss(unittest.TestCase):
    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.library = synced_files.build(holder.name)
        self.folder = os.path.join(os.path.realpath(holder.name), "data")

    def play(self, script):
        """A life of a program."""
        subprocess.run([sys.executable, "-c", PROGRAM + script, self.folder], check=True,
                       env=synced_files.environment(self.library, self.folder))

    def left(self):
        synced_files.lose_power(self.folder)
        result = {}
        for name in os.listdir(self.folder):
            with open(os.path.join(self.folder, name)) as file:
                result[name] = file.read()
        return result

    def test_what_was_written_behind_the_last_sync_is_gone(self):
        self.play('write("a", "1"); write("a", "2", False); write("b", "3", False)')
        self.assertEqual(self.left(), {"a": "1"})

    def test_each_sync_keeps_what_was_written_before_it(self):
        self.play('write("a", "1"); write("a", "2"); write("b", "3"); write("a", "4")')
        self.assertEqual(self.left(), {"a": "124", "b": "3"})

    def test_a_new_length_without_a_sync_is_gone(self):
        self.play('write("a", "123"); os.truncate("a", 1)')
        self.assertEqual(self.left(), {"a": "123"})

    def test_a_name_is_changed_by_a_sync_of_the_folder(self):
        self.play('write("a", "1"); write("a.new", "2"); os.rename("a.new", "a")')
        self.assertEqual(self.left(), {"a": "1", "a.new": "2"})
        self.play('os.rename("a.new", "a"); sync_folder()')
        self.assertEqual(self.left(), {"a": "2"})

    def test_a_removed_file_comes_back_without_a_sync_of_the_folder(self):
        self.play('write("a", "1"); write("b", "2"); os.remove("a"); write("c", "3")')
        self.assertEqual(self.left(), {"a": "1", "b": "2", "c": "3"})
        self.play('os.remove("a"); sync_folder()')
        self.assertEqual(self.left(), {"b": "2", "c": "3"})

    def test_a_file_that_was_never_synced_is_empty_behind_a_sync_of_the_folder(self):
        self.play('write("a", "1", False); sync_folder()')
        self.assertEqual(self.left(), {"a": ""})

    def test_a_process_that_ends_syncs_nothing(self):
        self.play('write("a", "1"); write("a", "2", False)')
        self.play('write("b", "3")')
        self.assertEqual(self.left(), {"a": "1", "b": "3"})

    def test_what_a_power_loss_left_is_there_after_the_next(self):
        self.play('write("a", "1"); write("b", "2")')
        self.assertEqual(self.left(), {"a": "1", "b": "2"})
        self.play('write("a", "3", False)')
        self.assertEqual(self.left(), {"a": "1", "b": "2"})


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin")
    unittest.main(argv=[sys.argv[0], *PARSER.parse_known_args()[1]], verbosity=2)
