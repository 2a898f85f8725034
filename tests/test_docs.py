"""The operators' pages list every error code, setting, class key and command."""

import re
import unittest
from pathlib import Path

from plantainhitch import settings
from plantainhitch.commands.main import COMMANDS
from plantainhitch.outcomes import Reason
from plantainhitch.protocol.errors import HTTP_STATUS, ErrorCode
from plantainhitch.state import class_files

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


def first_cells(text):
    """Return the text in backticks that starts each table row, with the next cell."""
    return dict(re.findall(r"^\| `([^`]+)` \| ([^|]+) \|", text, re.MULTILINE))


class DocsTests(unittest.TestCase):
    """Tables and links of the operators' pages."""

    def test_errors_page_has_every_code_and_reason(self):
        text = (DOCS / "errors.md").read_text()
        codes, reasons = text.split("## Reasons")
        statuses = {code.value: str(HTTP_STATUS[code]) for code in ErrorCode}
        self.assertEqual(first_cells(codes), statuses)
        self.assertEqual(set(first_cells(reasons)), {reason.value for reason in Reason})

    def test_settings_page_has_every_key(self):
        text = (DOCS / "settings.md").read_text()
        for table, rules in settings._RULES.items():
            self.assertIn(f"`[{table}]`", text)
            for key in rules:
                with self.subTest(key=key):
                    self.assertRegex(text, rf"(?m)^\| (`\[{table}\]` )?`{key}` \|")

    def test_classes_page_has_every_key(self):
        text = (DOCS / "classes.md").read_text()
        for key in (*class_files._CLASS_RULES, *class_files._TEAM_RULES):
            self.assertIn(f"`{key}`", text)

    def test_commands_page_has_every_command(self):
        text = (DOCS / "commands.md").read_text()
        for name in COMMANDS:
            self.assertRegex(text, rf"`{name}\b")

    def test_links_point_to_existing_files(self):
        for page in (ROOT / "README.md", *DOCS.rglob("*.md")):
            for target in LINK.findall(page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())
