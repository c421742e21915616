"""The identity of a running gateway.

Imported with every operator file, so it must not import an optional library.
"""

from __future__ import annotations

from typing import NamedTuple


class GatewayId(NamedTuple):
    """A gateway's name and its incarnation, which differs at each start."""

    name: str
    incarnation: int
