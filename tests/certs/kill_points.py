"""A gateway that kills itself (SIGKILL) at the nth step of an order. A step is the time before or after
a change of the shared folder or a request to the authority. ``python -m tests.certs.kill_points N``.
"""

from __future__ import annotations

import os
import signal
import sys

from saffrongw.__main__ import main
from saffrongw.certs import certificate_store


def kill_at(number: int) -> None:
    """Kill this process at the step with this number, counted over all of its stores."""
    plain, left = certificate_store.CertificateSite.__init__, number

    def step(name: str) -> None:
        nonlocal left
        if name.endswith("lease.json"):  # written at intervals, not by the order
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
