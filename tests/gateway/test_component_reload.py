"""A reload of the operator file changes all components or none."""

from __future__ import annotations

from saffrongw.extension_registry import OperatorFileReloader
from saffrongw.gateway.components import BuildContext, Component, ComponentError, PreparedReload
from saffrongw.operator import load

TEXT = """
[authz]
authorisers = ["h:1"]
[channel]
name = "a"
listen = "h:2"
keys = ["k"]
"""


class FakeComponent:
    """Records the steps of a reload that it takes part in."""

    def __init__(self, error: Exception | None = None) -> None:
        self.error = error
        self.steps: list[str] = []

    def prepare(self, _table: object) -> PreparedReload:
        self.steps.append("prepare")
        if self.error:
            raise self.error
        return PreparedReload(
            lambda: self.steps.append("commit"), lambda: self.steps.append("abort")
        )


def reloader(tmp_path, **fakes: FakeComponent) -> OperatorFileReloader:
    """Return the reloader of an operator file with two tables, for these running components."""
    path = tmp_path / "o.toml"
    path.write_text(TEXT)
    running = {name: Component(fake, prepare=fake.prepare) for name, fake in fakes.items()}
    return OperatorFileReloader(str(path), load(path), BuildContext(None, running))


def test_all_components_commit_if_all_can_prepare(tmp_path, caplog):
    authz, channel = FakeComponent(), FakeComponent()
    reloading = reloader(tmp_path, authz=authz, channel=channel)
    (tmp_path / "o.toml").write_text(TEXT.replace('"h:1"', '"h:9"'))
    reloading.reload()
    assert authz.steps == channel.steps == ["prepare", "commit"]
    assert reloading.file.authz.authorisers == ("h:9",)
    assert caplog.text == ""


def test_all_components_abort_if_one_cannot_prepare(tmp_path, caplog):
    authz, channel = FakeComponent(), FakeComponent(ComponentError("channel.keys: k: unreadable"))
    reloading = reloader(tmp_path, authz=authz, channel=channel)
    (tmp_path / "o.toml").write_text(TEXT.replace('"h:1"', '"h:9"'))
    reloading.reload()
    assert authz.steps == ["prepare", "abort"]
    assert channel.steps == ["prepare"]
    assert reloading.file.authz.authorisers == ("h:1",)
    logged = "operator_file: reload failed: action=keep cause=channel.keys: k: unreadable"
    assert logged in caplog.text


def test_a_malformed_file_prepares_nothing(tmp_path, caplog):
    authz = FakeComponent()
    reloading = reloader(tmp_path, authz=authz, channel=FakeComponent())
    (tmp_path / "o.toml").write_text("[authz]\nauthorisers = 3\n")
    reloading.reload()
    assert authz.steps == []
    assert "operator_file: reload failed" in caplog.text


def test_change_that_needs_a_restart_is_logged(tmp_path, caplog):
    reloading = reloader(tmp_path, authz=FakeComponent(), channel=FakeComponent())
    (tmp_path / "o.toml").write_text(TEXT + "[stages]\ntime_share = 0.5\n")
    reloading.reload()
    assert "operator_file: change waits for restart" in caplog.text
