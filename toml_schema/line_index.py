"""The lines of the keys and tables of a TOML text, which the standard library does not give."""

from __future__ import annotations

import re

# Keys and indexes of arrays, from the top of the file.
KeyPath = tuple[str | int, ...]

_TABLE = re.compile(r"^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-.\"']+(?:\s*\.\s*[A-Za-z0-9_\-\"']+)*)\s*=")
_ARRAY_OF_TABLES = "[["


class LineIndex:
    """The line, from 1, of each key and table of a text; the first of several counts."""

    def __init__(self, text: str) -> None:
        """Look through the text once."""
        self.lines: dict[KeyPath, int] = {}
        self._last_indexes: dict[KeyPath, int] = {}
        table_path: KeyPath = ()
        for number, line in enumerate(text.splitlines(), 1):
            if table := _TABLE.match(line):
                is_array = table[1] == _ARRAY_OF_TABLES
                table_path = self._add_table(_names(table[2]), is_array, number)
            elif entry := _KEY.match(line):
                self.lines.setdefault((*table_path, *_names(entry[1])), number)

    def _add_table(self, names: tuple[str, ...], is_array: bool, number: int) -> KeyPath:
        """Note a table's line; its path, with the index of each array of tables on the way."""
        path: KeyPath = ()
        for depth, name in enumerate(names, 1):
            path += (name,)
            if is_array and depth == len(names):
                self._last_indexes[path] = self._last_indexes.get(path, -1) + 1
                self.lines.setdefault(path, number)
            if path in self._last_indexes:
                path += (self._last_indexes[path],)
        self.lines.setdefault(path, number)
        return path

    def nearest(self, path: KeyPath) -> int:
        """The line of a path, or of the nearest part of it that stands in the text; else 1."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def _names(dotted: str) -> tuple[str, ...]:
    return tuple(name.strip().strip("\"'") for name in dotted.split("."))
