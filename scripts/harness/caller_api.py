"""Runs every command of docs/caller-api.md against a real entry and updates its output in the page.

Runs each block marked ```sh and replaces the block marked ```text after it with the output. Usage:
PYTHONPATH=scripts python3 -B -m harness.caller_api, with the base port that the page uses.
"""

import os
import re
import subprocess
import sys

from harness.cluster import ROOT, HarnessError, note
from harness.quickstart import make_cluster

PAGE = os.path.join(ROOT, "docs", "caller-api.md")
BLOCK = re.compile(r"```sh\n(.*?)```\n\n```text\n.*?```\n", re.DOTALL)


def run(command):
    done = subprocess.run(["bash", "-c", command], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                          text=True, timeout=60, check=False)
    if done.returncode != 0:
        raise HarnessError(f"{command}: exit code {done.returncode}: {done.stdout}")
    return done.stdout.replace("\r", "").rstrip("\n") + "\n"


def main():
    with open(PAGE, encoding="utf-8") as file:
        page = file.read()
    cluster = make_cluster()
    try:
        cluster.start()
        page = BLOCK.sub(lambda it: f"```sh\n{it[1]}```\n\n```text\n{run(it[1])}```\n", page)
    except HarnessError as failure:
        note(f"caller_api: {failure}")
        return 1
    finally:
        cluster.stop()
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
