"""Line numbers of the keys and tables in a TOML text, which ``tomllib`` does not provide."""

from __future__ import annotations

import re

# Keys and array indexes that lead to a value, from the top of the file.
KeyPath = tuple[str | int, ...]

_TABLE = re.compile(r"^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-.\"']+(?:\s*\.\s*[A-Za-z0-9_\-\"']+)*)\s*=")
_ARRAY_OF_TABLES = "[["


class LineIndex:
    """Line numbers of keys and tables, from 1; of duplicates the first."""

    def __init__(self, text: str) -> None:
        """Index the text."""
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
        """Index a table header; return its path, with the index in each array of tables."""
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
        """Return the line of a path, else of its nearest enclosing table in the text, else 1."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def _names(dotted: str) -> tuple[str, ...]:
    return tuple(name.strip().strip("\"'") for name in dotted.split("."))
