"""One api gateway: ``python -m saffrongw`` with LB_CONFIG naming its configuration."""

from __future__ import annotations

import os
import sys

from .gateway import signals  # first, to note when the process began

if __name__ == "__main__":
    signals.block_sighup()  # loading the rest takes its time

from .gateway.bootstrap import run  # isort: skip


def main() -> int:
    """Run the gateway, with what the operator file of SAFFRONGW_OPERATOR switches on, if set."""
    if os.environ.get("SAFFRONGW_OPERATOR"):
        from .admin.cli import serve  # only here: without an operator file nothing of it is loaded

        return serve()
    return run()


if __name__ == "__main__":
    sys.exit(main())
