"""Stand-ins and helpers of the second review's scripts; only the standard library is used."""
