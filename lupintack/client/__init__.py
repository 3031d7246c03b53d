"""The client library for apps: HTTP/2 and HTTP/1.1, typed results, retries within a budget."""

from lupintack.client.api import Call, Client
from lupintack.client.results import Failed, Holds, Refused, Result, Served, Unknown
from lupintack.limits.retries import RetryTerms

__all__ = ["Call", "Client", "Failed", "Holds", "Refused", "Result", "RetryTerms", "Served", "Unknown"]
