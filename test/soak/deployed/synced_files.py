"""Power loss: what a program has not synced is gone. `synced_files.c`, preloaded, keeps a shadow of what was."""

import os
import shutil
import subprocess

SOURCE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "synced_files.c")


def build(folder):
    """Gives the path of the library."""
    library = os.path.join(folder, "synced_files.so")
    subprocess.run(["cc", "-O1", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC", "-pthread", "-o", library,
                    SOURCE], check=True)
    return library


def shadow_of(folder):
    return folder + ".synced"


def environment(library, folder):
    """Of a program that writes into the folder."""
    return {**os.environ, "LD_PRELOAD": library, "SYNCED_FOLDER": os.path.realpath(folder),
            "SYNCED_SHADOW": shadow_of(folder)}


def lose_power(folder):
    """Leaves what was synced, after the program's end. Without names in the shadow, the program has written
    nothing since its disk was whole."""
    shadow = shadow_of(folder)
    names = os.path.join(shadow, "names")
    if not os.path.exists(names):
        return
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    with open(names) as file:
        contents = {name: content for content, name in (line.rstrip("\n").split(" ", 1) for line in file)}
    for name, content in contents.items():
        shutil.copyfile(os.path.join(shadow, content), os.path.join(folder, name))
    shutil.rmtree(shadow)


def lose_disk(folder):
    for lost in (folder, shadow_of(folder)):
        shutil.rmtree(lost, ignore_errors=True)
