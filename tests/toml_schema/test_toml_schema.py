"""TOML files become typed values, or an error of one line with position, key and cause."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

import toml_schema
from toml_schema import SchemaError, key


@dataclass(frozen=True, slots=True)
class Inner:
    size: int = key(3, minimum=1, maximum=9)
    kind: str = key("a", choices=("a", "b"))


@dataclass(frozen=True, slots=True)
class Outer:
    name: str = key(form="[a-z]+")
    rate: float = key(1.0, minimum=0)
    on: bool = key(False)
    span: tuple[float, float] = key((0.0, 1.0))
    inner: Inner = key(Inner())
    many: tuple[Inner, ...] = key(())

    def __post_init__(self) -> None:
        if self.span[0] > self.span[1]:
            raise ValueError("span runs backwards")


def test_a_valid_file_is_typed_and_keeps_its_defaults():
    loaded = toml_schema.loads(
        Outer, 'name = "x"\nrate = 2\nspan = [1, 2]\n[[many]]\nsize = 4\n[[many]]\nkind = "b"\n'
    )
    assert loaded == Outer("x", 2.0, False, (1.0, 2.0), Inner(), (Inner(4), Inner(3, "b")))
    assert isinstance(loaded.rate, float)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("rate = 1\n", "f:1: the key 'name' is missing"),
        ('name = "x"\nrat = 1\n', "f:2: rat: unknown key; did you mean 'rate'?"),
        ('name = "x"\nrate = -1\n', "f:2: rate: -1 is out of range (0 to any)"),
        ('name = "x"\nrate = nan\n', "f:2: rate: a finite number is needed"),
        ('name = "x"\nrate = true\n', "f:2: rate: a number is needed, not True"),
        ('name = "X"\n', "f:1: name: 'X' does not have the form [a-z]+"),
        ('name = "x"\n[inner]\nsize = 0\n', "f:3: inner.size: 0 is out of range (1 to 9)"),
        ('name = "x"\n[inner]\nkind = "c"\n', "f:3: inner.kind: 'c' is not one of a, b"),
        (
            'name = "x"\n[[many]]\nsize = 1\n[[many]]\nsize = 1.5\n',
            "f:5: many[1].size: a whole number is needed",
        ),
        ('name = "x"\nmany = 1\n', "f:2: many: a list is needed, not 1"),
        ('name = "x"\ninner = []\n', "f:2: inner: a table is needed, not a list"),
        ('name = "x"\nspan = [1]\n', "f:2: span: 2 values are needed, not 1"),
        ('name = "x"\nspan = [2, 1]\n', "f:1: span runs backwards"),
        ('name = "x"\nname = "y"\n', "f:2: not TOML:"),
        ('name = "x\n', "f:1: not TOML:"),
    ],
)
def test_each_malformed_file_gets_one_line_with_position_and_cause(text, expected):
    with pytest.raises(SchemaError) as raised:
        toml_schema.loads(Outer, text, "f")
    assert str(raised.value).startswith(expected)
    assert "\n" not in str(raised.value)


def test_files_that_cannot_be_read_raise_an_error_that_says_why(tmp_path):
    (tmp_path / "bytes").write_bytes(b"a = 1\n\xff")
    (tmp_path / "long").write_bytes(b"#" * (1 << 21))
    for name, cause in (
        ("none", "can't be read"),
        ("bytes", "bytes:2: not UTF-8"),
        ("long", "longer than"),
    ):
        with pytest.raises(SchemaError, match=cause):
            toml_schema.load(Outer, tmp_path / name)


@given(st.text(max_size=200))
def test_any_text_gives_an_instance_or_a_schema_error_of_one_line(text):
    try:
        loaded = toml_schema.loads(Outer, text)
    except SchemaError as error:
        outcome = str(error)
    else:
        outcome = loaded
    assert isinstance(outcome, Outer) or "\n" not in outcome
