"""Settings and class files: all errors are reported at once, each with its line."""

import tempfile
import unittest
from pathlib import Path

from returns.result import Success

from plantainhitch.settings import Settings, SettingsError
from plantainhitch.state import class_files
from plantainhitch.transport.addresses import Address

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"

BAD_SETTINGS = """\
[process]
name = "entry 1"
region = 7

[listen]
http = "localhost:8080"
link = "127.0.0.1:70000"
advertise_link = "127.0.0.1:0"

[platform]
adress = "127.0.0.1:1"
timeout_ms = 0

[log]
level = "loud"

[limits]
body_bytes = true

[lmits]
drain_ms = 1
"""
BAD_CLASSES = """\
[classes.render]
answers_within_ms = 0
quantile = 1
claims_at_least = 0.8
weight = 3
team = "widgts"

[classes."two words"]
answers_within_ms = 100
claims_at_least = 0.3
timeout_ms = 50
repeatable = "yes"

[classes.sync]
answer_within_ms = 500

[teams.widgets]
holds_at_most = 1.5
"""
SETTINGS_ERROR_LINES = {
    "lmits": 20,
    "process.name": 2,
    "process.region": 3,
    "process.zone": 1,
    "listen.http": 6,
    "listen.link": 7,
    "listen.advertise_link": 8,
    "platform.adress": 11,
    "platform.timeout_ms": 12,
    "platform.address": 10,
    "log.level": 15,
    "limits.body_bytes": 18,
}
CLASS_ERROR_LINES = {
    "classes.two words": 8,
    "classes.render.answers_within_ms": 2,
    "classes.render.quantile": 3,
    "classes.render.weight": 5,
    "classes.two words.repeatable": 12,
    "classes.sync.answer_within_ms": 15,
    "classes.sync.answers_within_ms": 14,
    "teams.widgets.holds_at_most": 18,
    "classes.*.claims_at_least": 0,
    "classes.render.team": 6,
    "classes.two words.timeout_ms": 11,
}


class SettingsTests(unittest.TestCase):
    """Checks of settings files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entry.toml"

    def test_all_errors_are_reported_at_once(self):
        self.path.write_text(BAD_SETTINGS)
        with self.assertRaises(SettingsError) as raised:
            Settings.from_file(self.path)
        problems = raised.exception.problems
        self.assertEqual({p.key: p.line for p in problems}, SETTINGS_ERROR_LINES)
        shown = str(raised.exception)
        self.assertIn(f"{self.path}:15: log.level = 'loud': one of debug,", shown)
        self.assertIn("did you mean 'address'?", shown)
        self.assertIn("did you mean 'limits'?", shown)

    def test_unreadable_files(self):
        # A missing file, one that is not UTF-8 and one that is not TOML.
        for content in (None, b"\xff\xfe", b"[process\n"):
            with self.subTest(content=content):
                if content is not None:
                    self.path.write_bytes(content)
                with self.assertRaises(SettingsError) as raised:
                    Settings.from_file(self.path)
                self.assertEqual(len(raised.exception.problems), 1)

    def test_held_bodies_have_room_for_the_largest_body(self):
        # Otherwise a body within ``body_bytes`` could never be held, and so would be
        # refused at any load. The second case takes the default of ``body_bytes``.
        for limits in (
            {"body_bytes": 2_000, "held_body_bytes": 1_999},
            {"held_body_bytes": 2_000},
        ):
            problems = Settings.from_tables({"limits": limits}).failure()
            self.assertIn("limits.held_body_bytes", [p.key for p in problems])

    def test_values_in_place_of_tables(self):
        problems = Settings.from_tables({"process": 1, "listen": [], "platform": ""})
        self.assertEqual(
            [p.key for p in problems.failure()], ["process", "listen", "platform"]
        )

    def test_examples(self):
        for path in sorted(EXAMPLES.glob("*/entry.toml")):
            with self.subTest(path=path.parent.name):
                settings = Settings.from_file(path)
                self.assertEqual(settings.platform, Address("127.0.0.1", 8000))
                self.assertEqual(settings.limits.retention_ms, 600_000)
        agent = Settings.from_file(EXAMPLES / "tickmark" / "agent.toml")
        self.assertIsNone(agent.advertise_link)
        self.assertEqual(agent.limits.drain_ms, 75_000)


class ClassFileTests(unittest.TestCase):
    """Checks of class files."""

    def test_all_errors_are_reported_at_once(self):
        problems = class_files.from_text(BAD_CLASSES, "c.toml").failure()
        self.assertEqual({p.key: p.line for p in problems}, CLASS_ERROR_LINES)
        shown = {p.key: str(p) for p in problems}
        self.assertIn("operators set targets only", shown["classes.render.weight"])
        self.assertIn("did you mean 'widgets'?", shown["classes.render.team"])
        self.assertIn("answers_within_ms'?", shown["classes.sync.answer_within_ms"])
        self.assertIn("1.1: the claims", shown["classes.*.claims_at_least"])

    def test_shares_may_sum_to_one(self):
        # Sums of decimals miss 1 by rounding; both of these are slightly below it.
        for shares in ([0.1] * 10, [0.7, 0.2, 0.1]):
            tables = {
                f"c{number}": {"answers_within_ms": 1, "claims_at_least": share}
                for number, share in enumerate(shares)
            }
            result = class_files.from_tables({"classes": tables})
            self.assertIsInstance(result, Success)

    def test_default_timeout_below_the_target(self):
        # A class without ``timeout_ms`` gets the default, which must not be below its
        # target either.
        text = "[classes.a]\nanswers_within_ms = 70_000\n"
        (problem,) = class_files.from_text(text).failure()
        self.assertEqual(problem.key, "classes.a.timeout_ms")

    def test_share_that_is_nan(self):
        # NaN is a TOML float and makes every comparison false, so a check of the form
        # "value < 0 or value > 1" would accept it.
        text = "[classes.a]\nanswers_within_ms = 1\nclaims_at_least = nan\n"
        (problem,) = class_files.from_text(text).failure()
        self.assertEqual(problem.key, "classes.a.claims_at_least")

    def test_examples(self):
        names = {"tickmark": "render sync ping", "canegrove": "quote stock booking"}
        for folder, expected in names.items():
            content = class_files.read(EXAMPLES / folder / "classes.toml").unwrap()
            self.assertEqual(" ".join(content.classes), expected)
        self.assertFalse(content.classes["booking"].repeatable)
