"""The division of a process's descriptors; the figures date from before it had its own module."""

from __future__ import annotations

import pytest

from lupintack.process.descriptor_plan import DescriptorPlan, plan_descriptors


@pytest.mark.parametrize(
    ("sockets", "features", "plan"),
    [
        (256, (False, 0, 0, False), DescriptorPlan(117, 0, 0, 0, 115)),
        (256, (True, 100, 2, True), DescriptorPlan(117, 16, 64, 16, 8)),
        (4096, (True, 512, 1, True), DescriptorPlan(1429, 48, 512, 32, 2051)),
        (60, (False, 0, 0, True), DescriptorPlan(27, 0, 0, 8, 8)),
    ],
)
def test_descriptors_are_divided_by_feature(
    sockets: int, features: tuple[bool, int, int, bool], plan: DescriptorPlan
) -> None:
    assert plan_descriptors(sockets, *features) == plan
    assert plan.process_descriptors == plan.admin + 24
