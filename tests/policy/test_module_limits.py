"""The operators' limits on the policy's modules, and the example in the README."""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SOURCES = sorted((ROOT / "saffrongw" / "policy").glob("*.py"))


def test_no_policy_module_exceeds_400_lines():
    too_long = {p.name: n for p in SOURCES if (n := len(p.read_text().splitlines())) > 400}
    assert too_long == {}


def test_no_line_exceeds_100_characters():
    long = [
        (p.name, n)
        for p in SOURCES
        for n, x in enumerate(p.read_text().splitlines(), 1)
        if len(x) > 100
    ]
    assert SOURCES
    assert long == []


def test_the_first_line_of_the_gateway_names_the_modules_of_its_types():
    first_line = (ROOT / "saffrongw" / "policy" / "gateway.py").read_text().splitlines()[0]
    assert "events.py" in first_line
    assert "actions.py" in first_line


def test_no_policy_module_reads_a_clock_or_shared_randomness():
    pattern = r"\bimport (time|datetime|os)\b|\brandom\.(random|choice|sample)\(|\bglobal\b"
    for source in SOURCES:
        text = source.read_text().replace("self.random.", "")
        assert not re.search(pattern, text), source


def test_the_policy_imports_the_standard_library_and_itself_alone():
    allowed = sys.stdlib_module_names - {
        "asyncio",
        "os",
        "pathlib",
        "socket",
        "subprocess",
        "threading",
        "time",
    }
    for source in SOURCES:
        for node in ast.walk(ast.parse(source.read_text())):
            if isinstance(node, ast.Import):
                assert {alias.name.split(".")[0] for alias in node.names} <= allowed, source
            elif isinstance(node, ast.ImportFrom):
                assert node.level == 1 or (
                    node.level == 0 and node.module.split(".")[0] in allowed
                ), source


def test_the_example_of_the_readme_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    scope: dict = {}
    exec(code, scope)
    assert scope["sent"] == [scope["endpoint_id"]]
