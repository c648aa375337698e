"""Check that hosts and checkouts tell by a digest which code they are."""

import shutil

import pytest
from typer.testing import CliRunner

from burdockmill.cli.main import app
from burdockmill.code_digest import PACKAGE, code_digest


@pytest.fixture
def copied(tmp_path):
    return shutil.copytree(PACKAGE, tmp_path / "elsewhere", dirs_exist_ok=True)


def test_a_copy_of_the_code_has_its_digest(copied):
    (copied / "notes.txt").write_text("no code")
    assert code_digest(copied) == code_digest()


@pytest.mark.parametrize("change", ["edit", "rename", "remove", "add"])
def test_any_change_of_a_module_changes_the_digest(copied, change):
    module = copied / "relay" / "handover_run.py"
    if change == "edit":
        module.write_text(module.read_text() + "\n")
    elif change == "rename":
        module.rename(module.with_name("run.py"))
    elif change == "remove":
        module.unlink()
    else:
        (copied / "relay" / "added.py").touch()
    assert code_digest(copied) != code_digest()


def test_the_command_for_the_version_prints_the_digest():
    assert code_digest() in CliRunner().invoke(app, ["version"]).output
