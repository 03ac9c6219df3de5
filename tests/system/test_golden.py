import difflib

from tests.system.goldensessions import (
    COMPARABLE,
    GOLDEN_FOLDER,
    SESSIONS,
    SessionTarget,
    run_session,
)
from tests.system.site import SharedSiteTest

# Entries and backend servers report different parameters.
OWN_PARAMETER = "< ParameterStatus "


class GoldenTest(SharedSiteTest):
    """Transcripts of sessions equal the golden files, which goldensessions.py can rewrite."""

    def assert_same_lines(self, expected, seen, name):
        difference = difflib.unified_diff(
            expected.splitlines(), seen.splitlines(), f"{name} expected", f"{name} seen", "", "", 2
        )
        self.assertEqual(expected, seen, "\n" + "\n".join(difference))

    async def check(self, name):
        seen = await run_session(
            SESSIONS[name], SessionTarget(self.cluster.entries, self.service.name)
        )
        self.assert_same_lines((GOLDEN_FOLDER / f"{name}.txt").read_text(), seen, name)
        if name in COMPARABLE:
            await self.check_against_backend(name, seen)

    async def check_against_backend(self, name, seen):
        """Check that the transcript is the same when connected directly to a backend server."""
        primary = (await self.primary()).backend
        instance = next(item for item in self.service.instances if item.backend == primary)
        direct_target = SessionTarget((instance.endpoint,), self.service.name)
        expected = await run_session(SESSIONS[name], direct_target)
        self.assert_same_lines(without_parameters(expected), without_parameters(seen), name)

    async def test_simple(self):
        await self.check("simple")

    async def test_extended(self):
        await self.check("extended")

    async def test_transaction(self):
        await self.check("transaction")

    async def test_refusals(self):
        await self.check("refusals")

    async def test_roaming(self):
        await self.check("roaming")

    async def test_at_most_once(self):
        await self.check("at_most_once")


def without_parameters(text):
    lines = text.splitlines(keepends=True)
    return "".join(line for line in lines if not line.startswith(OWN_PARAMETER))
