"""The steps that ACME generators yield, and the type of such a generator."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any, TypeVar

from .documents import CertNote

JOSE_CONTENT_TYPE = "application/jose+json"


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTPS request; ``read`` names the requested resource in error messages."""

    method: str
    url: str
    read: str
    body: bytes = b""
    type: str = JOSE_CONTENT_TYPE


@dataclass(frozen=True, slots=True)
class SaveNote:
    """Store this note durably before the next step."""

    note: CertNote


@dataclass(frozen=True, slots=True)
class PublishChallenge:
    """Enable every gateway to answer this challenge before the next step."""

    name: str
    type: str
    token: str
    authorisation: str


@dataclass(frozen=True, slots=True)
class WithdrawChallenges:
    """Stop answering these challenges."""

    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Sleep:
    """Wait for this many seconds."""

    seconds: float


Step = HttpRequest | SaveNote | PublishChallenge | WithdrawChallenges | Sleep


R = TypeVar("R")


Flow = Generator[Step, Any, R]
