"""The identity of a running gateway. Loaded with every operator file: no optional library here."""

from __future__ import annotations

from typing import NamedTuple


class GatewayId(NamedTuple):
    """One incarnation of one gateway."""

    name: str
    incarnation: int
