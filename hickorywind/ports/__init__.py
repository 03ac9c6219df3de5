"""Interfaces to the wire protocol and the platform, and the data types that they exchange."""
