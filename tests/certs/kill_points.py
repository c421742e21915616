"""A gateway that kills itself (SIGKILL) at the nth step of its way to a certificate: before or after each change of the
shared folder, before or after each request to the authority. ``python -m tests.certs.kill_points N``.
"""

from __future__ import annotations

import os
import signal
import sys

from saffrongw.__main__ import main
from saffrongw.certs import certificate_store


def kill_at(number: int) -> None:
    """Every store of this process counts its steps together and dies at that one."""
    plain, left = certificate_store.CertificateSite.__init__, number

    def step(name: str) -> None:
        nonlocal left
        if name.endswith("lease.json"):  # written by the clock, not by the order
            return
        left -= 1
        if left == 0:
            print(f"killed at: {name}", file=sys.stderr, flush=True)
            os.kill(os.getpid(), signal.SIGKILL)

    def made(self, *given, **more) -> None:
        plain(self, *given, **more)
        self.folder.on_step = step

    certificate_store.CertificateSite.__init__ = made


if __name__ == "__main__":
    kill_at(int(sys.argv[1]))
    sys.exit(main())
