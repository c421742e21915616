"""Runs one API gateway: ``python -m saffrongw``, with its configuration file in ``LB_CONFIG``."""

from __future__ import annotations

import os
import sys

from .gateway import signals  # first: it records when the process started

if __name__ == "__main__":
    signals.block_sighup()  # a SIGHUP during the slow imports below would end the process

from .gateway.bootstrap import run  # isort: skip


def main() -> int:
    """Run the gateway, with the components of the operator file in SAFFRONGW_OPERATOR, if set."""
    if os.environ.get("SAFFRONGW_OPERATOR"):
        from .admin.cli import serve  # imported here: loaded only with an operator file

        return serve()
    return run()


if __name__ == "__main__":
    sys.exit(main())
