"""Check the pages of the documentation against the code."""

import re
from pathlib import Path

import pytest
from typer.testing import CliRunner

from burdockmill import errors, metrics
from burdockmill.cli import app
from burdockmill.errors import BurdockmillError

ROOT = Path(__file__).parent.parent
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()
DECISION = re.compile(r'(?:LogDecision\(\s*|Decision\(\s*at_ms,\s*)"([a-z]+)"')
LOG_CALL = re.compile(r'logger\.[a-z]+\(\s*f?"([a-z]+):')
QUOTED = re.compile(r"`([^`\n]+)`")
QUOTED_PATH = re.compile(r"[\w./-]+\.py\b")
QUOTED_NAME = re.compile(
    r"\b(?:test_\w+|[A-Z][a-z]+(?:[A-Z][a-z0-9]+)+|[A-Z]+(?:_[A-Z]+)+)\b"
)
PREFIX_CONSTANTS = re.compile(r'^[A-Z, ]+ = ((?:"[a-z]+"(?:, )?)+)$', re.MULTILINE)


def prefixes_in_code():
    found = set()
    for path in (ROOT / "burdockmill").rglob("*.py"):
        text = path.read_text()
        found.update(DECISION.findall(text), LOG_CALL.findall(text))
        if re.search(r"LogDecision\(\s*part,", text):
            for values in PREFIX_CONSTANTS.findall(text):
                found.update(re.findall(r'"([a-z]+)"', values))
    return found


def test_table_of_log_prefixes_agrees_with_the_code():
    table = OPERATIONS.partition("| prefix |")[2].partition("\n\n")[0]
    listed = set(re.findall(r"^\| `([a-z]+)` \|", table, re.MULTILINE))
    assert listed == prefixes_in_code()


def test_alerts_name_metrics_and_kinds_that_exist():
    names = {metric.name for metric in metrics.METRICS}
    assert set(re.findall(r"`(burdockmill_[a-z_]+)", OPERATIONS)) <= names
    kinds = {
        error.kind
        for error in vars(errors).values()
        if isinstance(error, type) and issubclass(error, BurdockmillError)
    }
    assert set(re.findall(r'kind="([a-z_]+)"', OPERATIONS)) <= kinds
    code = "".join(path.read_text() for path in (ROOT / "burdockmill").rglob("*.py"))
    for name in re.findall(r'name="([a-z_]+)"', OPERATIONS):
        assert f'"{name}"' in code, name


def test_examples_pass_the_checks():
    examples = ROOT / "examples"
    words = ["check", "--rules", str(examples / "rules.txt")]
    result = CliRunner().invoke(
        app, [*words, "--settings", str(examples / "node.json")]
    )
    assert result.exit_code == 0, result.stdout


@pytest.mark.parametrize(
    "page",
    [
        "README.md",
        "CONTRIBUTING.md",
        *(f"docs/{p.name}" for p in ROOT.glob("docs/*.md")),
    ],
)
def test_links_of_pages_point_to_existing_files(page):
    path = ROOT / page
    for link in re.findall(r"\]\(([^)#:]+)\)", path.read_text()):
        assert (path.parent / link).exists(), link


def test_commands_that_pages_name_exist():
    known = CliRunner().invoke(app, ["--help"]).stdout
    for page in (ROOT / "README.md", ROOT / "docs" / "OPERATIONS.md"):
        lines = re.findall(
            r"^    (?:\$ )?.*?burdockmill ([a-z]+)", page.read_text(), re.M
        )
        assert lines
        for name in lines:
            assert name in known, name


@pytest.mark.parametrize(
    "page",
    [
        "README.md",
        "CONTRIBUTING.md",
        *(str(path.relative_to(ROOT)) for path in sorted(ROOT.glob("docs/**/*.md"))),
    ],
)
def test_code_that_pages_quote_exists(page):
    folders = ("burdockmill", "measure", "soak", "tests")
    paths = [path for name in folders for path in (ROOT / name).rglob("*.py")]
    code = "\n".join(path.read_text() for path in paths)
    files = {f"/{path.relative_to(ROOT)}" for path in paths}
    for quoted in QUOTED.findall((ROOT / page).read_text()):
        for name in QUOTED_PATH.findall(quoted):
            assert name.endswith("NAME.py") or any(
                file.endswith(f"/{name.removeprefix('/')}") for file in files
            ), name
        for name in QUOTED_NAME.findall(QUOTED_PATH.sub("", quoted)):
            assert re.search(rf"\b{name}", code), name
