"""The roles by name, and checks that a slope can be measured on this machine."""

from __future__ import annotations

import resource
from pathlib import Path

from lupintack.scale import (
    role_allocator,
    role_cut,
    role_discovery,
    role_membership,
    role_purge,
    role_reload,
    role_request,
)
from lupintack.scale.slope import Parameters, Role, SlopeError

ROLES: dict[str, Role] = {
    module.ROLE.name: module.ROLE
    for module in (
        role_request,
        role_purge,
        role_reload,
        role_discovery,
        role_membership,
        role_cut,
        role_allocator,
    )
}
MEMORY_SHARE = 0.5  # of the available memory: the machine is shared
MEMORY_FILE = Path("/proc/meminfo")


def role(name: str) -> Role:
    """Return a role by name; raise SlopeError if it does not exist."""
    if name not in ROLES:
        raise SlopeError(f"no role {name!r}; use one of {', '.join(ROLES)}")
    return ROLES[name]


def sizes(text: str) -> tuple[int, ...]:
    """Parse comma-separated sizes; raise SlopeError for anything but positive integers."""
    words = [word.strip() for word in text.split(",")]
    invalid = [word for word in words if not (word.isascii() and word.isdigit() and int(word) > 0)]
    if invalid:
        raise SlopeError(f"--sizes: positive integers are required, not {invalid[0]!r}")
    return tuple(int(word) for word in words)


def check(role: Role, parameters: Parameters) -> None:
    """Raise SlopeError if the size is below the role's minimum, or memory or descriptors are insufficient."""
    if parameters.size < role.min_size:
        raise SlopeError(f"--sizes: {parameters.size}: must be at least {role.min_size} for {role.name}")
    needed, spare = role.memory_bytes(parameters), available_bytes() * MEMORY_SHARE
    if needed > spare:
        raise SlopeError(
            f"--sizes: {parameters.size}: about {needed >> 20} MiB are needed, {int(spare) >> 20} can be used"
        )
    descriptors, limit = role.descriptors(parameters), resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit != resource.RLIM_INFINITY and descriptors > limit:
        raise SlopeError(
            f"--sizes: {parameters.size}: {descriptors} descriptors are needed, the limit is {limit}"
        )


def available_bytes() -> int:
    """Return the memory available without swapping; unlimited if the system does not report it."""
    try:
        lines = MEMORY_FILE.read_text().splitlines()
    except OSError:
        return 1 << 62
    available = [int(line.split()[1]) * 1024 for line in lines if line.startswith("MemAvailable:")]
    return available[0] if available else 1 << 62
