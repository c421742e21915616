"""``[ledger]`` of the operator file: its keys, units, defaults and bounds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from toml_schema import key


@dataclass(frozen=True, slots=True)
class LedgerTable:
    """``[ledger]``: record non-idempotent requests before they are sent."""

    state_dir: Path = key(about="a folder of its own for each gateway, on a disk that lasts")
    keyed: bool = key(False, about="keyed classes too")
    queue: int = key(
        2000, minimum=1, maximum=100_000, about="intents that wait for the disk; beyond it refused"
    )
    keep_days: float = key(90.0, minimum=0.001, maximum=36_500, about="settled entries")
    most_mb: int = key(
        512, minimum=1, maximum=1_000_000, about="beyond it the oldest settled entries go"
    )
    bodies: bool = key(False, about="keep bodies, not only their digest and length")
