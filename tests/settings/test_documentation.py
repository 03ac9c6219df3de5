import re
import unittest
from pathlib import Path

import msgspec

from hickorywind.configuration.model import Configuration
from hickorywind.settings.schema import DaemonSettings
from hickorywind.ui.program import build_parser
from tests.ui.test_program import walk

DOCS = Path(__file__).parents[2] / "docs"


def settings_keys(type_, prefix=""):
    """Yield the dotted keys of a settings struct."""
    for field in msgspec.structs.fields(type_):
        inner = struct_of(field.type)
        if inner is None:
            yield prefix + field.name
        else:
            yield from settings_keys(inner, f"{prefix}{field.name}.")


def struct_of(type_):
    """Return the struct in an annotation such as ``Section | None``, None if there is none."""
    candidates = (type_, *getattr(type_, "__args__", ()))
    return next((item for item in candidates if is_struct(item)), None)


def is_struct(item):
    return isinstance(item, type) and issubclass(item, msgspec.Struct)


def keys_in_table(text, header):
    """Return the names between backquotes in the first column of the table with ``header``."""
    table = text.split(header, 1)[1].split("\n\n", 1)[0]
    cells = [line.split("|")[1] for line in table.splitlines() if line.startswith("|")]
    return {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}


class DocumentationTest(unittest.TestCase):
    def test_operators_guide_names_each_setting(self):
        text = (DOCS / "operators.md").read_text()
        documented = keys_in_table(text, "| key | default | meaning |\n")
        self.assertEqual(documented, set(settings_keys(DaemonSettings)))

    def test_configuration_page_names_each_key(self):
        text = (DOCS / "configuration.md").read_text()
        documented = keys_in_table(text, "| key | default | meaning |\n")
        documented = {name.rsplit(".", 1)[-1] for name in documented}
        defined = {name.rsplit(".", 1)[-1] for name in settings_keys(Configuration)}
        self.assertEqual(documented, defined)


class ExamplesInDocsTest(unittest.TestCase):
    def test_commands_named_in_the_guides_exist(self):
        known = {" ".join(words) for words, _ in walk(build_parser())}
        for name in ("operators.md", "configuration.md"):
            text = (DOCS / name).read_text()
            for words in re.findall(r"^hickorywind ((?:config |report )?\w+)", text, re.MULTILINE):
                with self.subTest(words):
                    self.assertIn(words, known)
