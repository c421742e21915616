"""Gateway processes: their ports, their command line, and their end together with the testbed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from testbed.runner.processes import PORTS, free_port, run_line

ROOT = Path(__file__).parent.parent.parent


def test_no_port_is_returned_twice_before_it_is_bound():
    """Two gateways of one run once got the same port, and the first one answered the PING meant for the second."""
    ports = [free_port() for _ in range(40)]
    assert len(set(ports)) == 40
    assert all(port in PORTS for port in ports)


def test_gateways_are_started_by_the_line_of_the_deploy_file():
    assert run_line() == f"exec {sys.executable} -m saffrongw"


def test_a_gateway_ends_with_the_testbed_even_if_that_is_killed():
    code = (
        "import os, signal, subprocess, sys\n"
        "from testbed.runner.processes import die_with_parent\n"
        "child = subprocess.Popen(['sleep', '60'], preexec_fn=die_with_parent)\n"
        "print(child.pid, flush=True)\n"
        "os.kill(os.getpid(), signal.SIGKILL)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    child = Path(f"/proc/{int(done.stdout)}/stat")
    for _ in range(100):
        if not child.exists() or child.read_text().rsplit(")", 1)[1].split()[0] == "Z":
            break
        subprocess.run(["sleep", "0.05"], check=True)
    else:
        raise AssertionError("the child process outlived its parent")
