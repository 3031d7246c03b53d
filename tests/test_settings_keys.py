"""Each key of the platform's settings, of the operator's files and of the environment is read as before."""

from __future__ import annotations

import ast
import json
import re
import tomllib
from dataclasses import fields
from pathlib import Path
from typing import Any

import msgspec
import pytest

import lupintack
from lupintack import config, operator
from lupintack.core import trace
from lupintack.fronts.cdni import conf as cdni_conf
from lupintack.settings.cdni import File as CdniFile
from lupintack.settings.errors import ConfigError, SettingsError
from lupintack.settings.instance import read_settings
from lupintack.settings.operator import Budgets, Http2, Membership, live_keys, schema
from lupintack.settings.terms import budget_terms, membership_terms, stream_terms
from tests.recordings import plain, recorded

PLATFORM = recorded("settings/platform.json")
OPERATOR = recorded("settings/operator.json")
CDNI = recorded("settings/cdni.json")
PACKAGE = Path(lupintack.__file__).parent
NOT_PRODUCT = ("standins", "scale", "lab", "cli", "client")
ENVIRONMENT = {
    "EDGE_CONFIG", "EDGE_NAME", "EDGE_LISTEN", "EDGE_ADMIN_ADDR", "TMPDIR",
    "LUPINTACK_OPERATOR", "LUPINTACK_CDNI", "LUPINTACK_TRACE",
}  # fmt: skip
# Fields of Config that have another name than in the recorded version; the keys of the file are as they were.
RENAMED_FIELDS = {"board": "discovery_address", "known": "initial_log"}
# Errors that have another text than in the recorded version.
REWORDED_ERRORS = {
    "ConfigError: listen: host:port is wanted, not ''": "ConfigError: listen: expected host:port, not ''",
    "SettingsError: setting services[0].deadline: 0.0: above 0 is wanted": (
        "SettingsError: setting services[0].deadline: 0.0: expected a value above 0"
    ),
}
ENVIRONMENT_NAME = re.compile(r"(EDGE|LUPINTACK)_[A-Z_]+|TMPDIR")


def without_descriptions(value: Any) -> Any:
    """Return a JSON Schema without its help texts."""
    if isinstance(value, dict):
        return {
            key: without_descriptions(item)
            for key, item in value.items()
            if key != "description" or not isinstance(item, str)
        }
    return [without_descriptions(item) for item in value] if isinstance(value, list) else value


def differences(one: Any, other: Any, path: str = "") -> list[str]:
    """Return the paths at which two configurations differ, but for the copy of the file."""
    if isinstance(one, dict) and isinstance(other, dict):
        paths = [
            found
            for key in one
            for found in differences(one[key], other.get(key), f"{path}.{key}" if path else key)
        ]
        return [found for found in paths if not found.startswith("raw")]
    if isinstance(one, list) and isinstance(other, list) and len(one) == len(other):
        pairs = enumerate(zip(one, other, strict=True))
        return [found for n, (a, b) in pairs for found in differences(a, b, f"{path}[{n}]")]
    return [path] if one != other else []


def without(data: Any, path: list[Any]) -> Any:
    """Return a copy of JSON data without the value at a path."""
    copy = json.loads(json.dumps(data))
    table = copy
    for key in path[:-1]:
        table = table[key]
    del table[path[-1]]
    return copy


@pytest.mark.parametrize("case", PLATFORM["cases"], ids=lambda case: str(case["name"]))
def test_platform_file_is_read_as_before(case: dict[str, Any], tmp_path: Path) -> None:
    file = tmp_path / "edge.json"
    file.write_text(json.dumps(case["file"]))
    found = config.load({"EDGE_CONFIG": str(file), **case["environ"]})
    assert plain(found, named=True) == {
        RENAMED_FIELDS.get(name, name): case["config"][name] for name in case["config"]
    }


@pytest.mark.parametrize(
    "case", PLATFORM["single_keys"], ids=lambda case: ".".join(map(str, case["without"]))
)
def test_each_key_of_the_platform_file_sets_what_it_set(case: dict[str, Any]) -> None:
    whole = PLATFORM["cases"][0]["file"]
    expected = plain(config.parse(whole, {}), named=True)
    try:
        found = plain(config.parse(without(whole, case["without"]), {}), named=True)
    except (ConfigError, SettingsError) as error:
        assert f"{type(error).__name__}: {error}" == REWORDED_ERRORS[case["changes"]]
        return
    assert differences(expected, found) == [with_present_field(path) for path in case["changes"]]


def with_present_field(path: str) -> str:
    """Return a recorded path with the present name of its first field."""
    field, separator, rest = path.partition(".")
    return RENAMED_FIELDS.get(field, field) + separator + rest


def test_every_value_of_the_recorded_platform_file_is_distinct() -> None:
    """No key could be mistaken for another: but for flags and names of classes, no two have one value."""
    numbers: list[float] = []

    def collect(value: Any) -> None:
        if isinstance(value, dict):
            for item in value.values():
                collect(item)
        elif isinstance(value, list):
            for item in value:
                collect(item)
        elif isinstance(value, (int, float)) and not isinstance(value, bool):
            numbers.append(float(value))

    collect(PLATFORM["cases"][0]["file"]["settings"])
    assert len(numbers) > 40 and len(numbers) == len(set(numbers))


@pytest.mark.parametrize("case", OPERATOR["cases"], ids=lambda case: str(case["name"]))
def test_operator_file_is_read_as_before(case: dict[str, Any], tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(case["text"])
    found = operator.load({"LUPINTACK_OPERATOR": str(file)})
    assert found is not None
    assert plain(msgspec.to_builtins(found)) == case["tables"]
    assert plain(stream_terms(found.http2)) == case["stream_terms"]
    assert plain(membership_terms(found.membership)) == case["membership_terms"]
    assert plain(budget_terms(found.budgets)) == case["budget_terms"]


def test_operator_schema_has_the_same_keys_and_bounds() -> None:
    assert without_descriptions(schema()) == OPERATOR["schema"]
    for kind in (Http2, Membership, Budgets):
        assert sorted(live_keys(kind)) == OPERATOR["live"][kind.__name__]


def test_recorded_operator_file_has_every_key_of_the_schema() -> None:
    tables = tomllib.loads(OPERATOR["cases"][0]["text"])
    for name, kind in (("http2", "Http2"), ("membership", "Membership"), ("budgets", "Budgets")):
        keys = set(OPERATOR["schema"]["$defs"][kind]["properties"])
        assert keys - set(tables[name]) <= {"regions"}, "regions are in the second file"
    assert "regions" in tomllib.loads(OPERATOR["cases"][1]["text"])["budgets"]


def test_cdni_file_is_read_as_before() -> None:
    found = cdni_conf.parse(tomllib.loads(CDNI["text"]), "cdni.toml", tuple(CDNI["classes"]))
    assert plain(found) == CDNI["read"] and len(fields(found)) == len(CDNI["read"])
    found_schema = msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(CdniFile)))
    assert without_descriptions(found_schema) == CDNI["schema"]


def test_environment_variables_have_the_same_names() -> None:
    names = set()
    for path in PACKAGE.rglob("*.py"):
        if path.relative_to(PACKAGE).parts[0] in NOT_PRODUCT:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                if ENVIRONMENT_NAME.fullmatch(node.value):
                    names.add(node.value)
    assert names == ENVIRONMENT


@pytest.mark.parametrize("value, is_on", [("1", True), ("0", False), ("", False), ("yes", False)])
def test_the_environment_switches_the_trace_on(value: str, is_on: bool) -> None:
    assert (trace.writer({"LUPINTACK_TRACE": value}) is not None) is is_on


def test_the_longest_advice_to_wait_is_not_looked_at_where_none_is_allowed() -> None:
    limits = {"max-retry-after": "long", "retry-after": False}
    assert read_settings(json.dumps({"limits": limits}).encode()).max_retry_after_ms == 0.0
    with pytest.raises(SettingsError, match="max-retry-after"):
        read_settings(json.dumps({"limits": limits | {"retry-after": True}}).encode())
