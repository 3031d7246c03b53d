"""The platform's settings, and the operator's files as typed records."""
