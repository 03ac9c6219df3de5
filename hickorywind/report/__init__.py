"""Report how fast services spend the errors that their objectives allow."""
