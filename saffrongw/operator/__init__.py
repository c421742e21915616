"""The operator file: a typed, validated table for each subsystem, which is off without it."""

from __future__ import annotations

from .file import OperatorFile, load

__all__ = ["OperatorFile", "load"]
