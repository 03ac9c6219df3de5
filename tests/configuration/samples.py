"""Builders of a small example configuration for tests."""

from datetime import timedelta

from hickorywind.configuration.builder import ConfigurationBuilder
from hickorywind.ids import Rank


def make_builders():
    """Return the builders of a configuration and of its one service, which spans two zones."""
    system = ConfigurationBuilder("Test").zone("b", "r").zone("a", "r")
    service = system.service("ledger")
    service.instance("ledger-b", "b", "127.0.0.1:2001", 3, 20)
    service.instance("ledger-a", "a", "127.0.0.1:2000", 3, 20)
    service.rank(Rank.BACKGROUND, 10).rank(Rank.URGENT, 30).rank(Rank.STANDARD, 30)
    service.read_kind("views", timedelta(seconds=1), timedelta(seconds=5))
    service.objective(Rank.URGENT, 99.9, timedelta(milliseconds=200))
    return system, service


def make_account_configuration():
    """Return the same configuration with two client accounts, one of them without a quota."""
    system, _ = make_builders()
    system.account("workshop", ["office", "Crew"], Rank.URGENT, rate_per_s=50, burst=100)
    system.account("archive", ["reader"], Rank.BACKGROUND)
    return system.build()


def make_configuration():
    """Return the configuration that ``make_builders`` describes."""
    return make_builders()[0].build()
