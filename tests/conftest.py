"""Which tests run beside one another: those of the pure parts, beside one lane of sockets and processes, in
which one test follows another, as their time is real.
"""

from __future__ import annotations

import pytest
from hypothesis import settings

# What a property holds must not depend on how busy the machine is: no example has a deadline.
settings.register_profile("lupintack", deadline=None)
settings.load_profile("lupintack")

LANE = {
    "test_adapter", "test_admin", "test_cdni", "test_client", "test_closes", "test_crossings", "test_demo",
    "test_descriptors",
    "test_division", "test_gone", "test_http2",
    "test_http2_limits", "test_http2_many", "test_keys", "test_legacy", "test_lifecycle", "test_matrix",
    "test_neither",
    "test_retune", "test_rooms", "test_serving", "test_settings", "test_slow", "test_spending", "test_starts",
    "test_strain", "test_switch", "test_two_levels", "test_upgrade",
}  # fmt: skip


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """One worker has the lane, which is the longest, and so comes first."""
    for item in items:
        if item.path.stem in LANE:
            item.add_marker(pytest.mark.xdist_group("lane"))
    items.sort(key=lambda item: item.path.stem not in LANE)
