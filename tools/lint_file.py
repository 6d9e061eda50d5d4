"""Runs clang-tidy over one file unless it is unchanged since it was clean."""

import hashlib
import json
import os
import shlex
import subprocess
import sys

BUILD = os.environ["BUILD_DIR"]
STAMPS = os.path.join(BUILD, "lint-stamps")


def compile_command(path):
    """The compiler's words for the file, without its output."""
    with open(os.path.join(BUILD, "compile_commands.json")) as file:
        commands = json.load(file)
    wanted = os.path.abspath(path)
    for entry in commands:
        if entry["file"] == wanted:
            words = shlex.split(entry["command"])
            if words and words[0].endswith("ccache"):
                words = words[1:]
            return entry["directory"], words[: words.index("-o")]
    return None


def fingerprint(path):
    """A digest of all that decides whether the file is clean, or None."""
    found = compile_command(path)
    if found is None:
        return None
    directory, words = found
    # Comments stay: some of them turn a rule off. A library's header names the
    # time of the build, which would make every digest a new one.
    fixed_time = [
        "-Wno-builtin-macro-redefined",
        '-D__DATE__=""',
        '-D__TIME__=""',
    ]
    text = subprocess.run(
        words + fixed_time + ["-E", "-C", os.path.abspath(path)],
        cwd=directory,
        capture_output=True,
        check=False,
    )
    if text.returncode != 0:
        return None
    digest = hashlib.sha256(text.stdout)
    digest.update(" ".join(words).encode())
    with open(".clang-tidy", "rb") as rules:
        digest.update(rules.read())
    return digest.hexdigest()


def main():
    path = sys.argv[1]
    digest = fingerprint(path)
    stamp = os.path.join(STAMPS, path.replace("/", "+"))
    if digest and os.path.exists(stamp):
        with open(stamp) as file:
            if file.read() == digest:
                return 0
    done = subprocess.run(
        [
            "clang-tidy",
            "--quiet",
            "-p",
            BUILD,
            "--extra-arg=-Wno-unknown-warning-option",
            path,
        ],
        stderr=subprocess.DEVNULL,
        check=False,
    )
    if done.returncode == 0 and digest:
        os.makedirs(STAMPS, exist_ok=True)
        with open(stamp, "w") as file:
            file.write(digest)
    # xargs takes 255 for "stop at once".
    return min(done.returncode, 1)


sys.exit(main())
