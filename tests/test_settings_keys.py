"""Each key of the platform's file, the operator's files and the environment is read as recorded."""

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
# Fields of Config that were renamed since the recorded version; the keys of the file are unchanged.
RENAMED_FIELDS = {"board": "discovery_address", "known": "initial_log"}
# Error texts that were reworded since the recorded version.
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


def differences(expected: Any, actual: Any, path: str = "") -> list[str]:
    """Return the paths at which two configurations differ, except in `raw`, the copy of the file."""
    if isinstance(expected, dict) and isinstance(actual, dict):
        paths = [
            difference
            for key in expected
            for difference in differences(expected[key], actual.get(key), f"{path}.{key}" if path else key)
        ]
        return [difference for difference in paths if not difference.startswith("raw")]
    if isinstance(expected, list) and isinstance(actual, list) and len(expected) == len(actual):
        pairs = enumerate(zip(expected, actual, strict=True))
        return [difference for n, (a, b) in pairs for difference in differences(a, b, f"{path}[{n}]")]
    return [path] if expected != actual else []


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
    actual = config.load({"EDGE_CONFIG": str(file), **case["environ"]})
    assert plain(actual, named=True) == {
        RENAMED_FIELDS.get(name, name): case["config"][name] for name in case["config"]
    }


@pytest.mark.parametrize(
    "case", PLATFORM["single_keys"], ids=lambda case: ".".join(map(str, case["without"]))
)
def test_each_key_of_the_platform_file_sets_the_recorded_values(case: dict[str, Any]) -> None:
    complete_file = PLATFORM["cases"][0]["file"]
    expected = plain(config.parse(complete_file, {}), named=True)
    try:
        actual = plain(config.parse(without(complete_file, case["without"]), {}), named=True)
    except (ConfigError, SettingsError) as error:
        assert f"{type(error).__name__}: {error}" == REWORDED_ERRORS[case["changes"]]
        return
    assert differences(expected, actual) == [with_present_field(path) for path in case["changes"]]


def with_present_field(path: str) -> str:
    """Return a recorded path with the current name of its first field."""
    field, separator, rest = path.partition(".")
    return RENAMED_FIELDS.get(field, field) + separator + rest


def test_every_value_of_the_recorded_platform_file_is_distinct() -> None:
    """With distinct numbers, a key that is read in place of another changes the result."""
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
    actual = operator.load({"LUPINTACK_OPERATOR": str(file)})
    assert actual is not None
    assert plain(msgspec.to_builtins(actual)) == case["tables"]
    assert plain(stream_terms(actual.http2)) == case["stream_terms"]
    assert plain(membership_terms(actual.membership)) == case["membership_terms"]
    assert plain(budget_terms(actual.budgets)) == case["budget_terms"]


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
    actual = cdni_conf.parse(tomllib.loads(CDNI["text"]), "cdni.toml", tuple(CDNI["classes"]))
    assert plain(actual) == CDNI["read"] and len(fields(actual)) == len(CDNI["read"])
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
def test_environment_variable_enables_the_trace(value: str, is_on: bool) -> None:
    assert (trace.writer({"LUPINTACK_TRACE": value}) is not None) is is_on


def test_max_retry_after_is_not_read_unless_retry_after_is_allowed() -> None:
    limits = {"max-retry-after": "long", "retry-after": False}
    assert read_settings(json.dumps({"limits": limits}).encode()).max_retry_after_ms == 0.0
    with pytest.raises(SettingsError, match="max-retry-after"):
        read_settings(json.dumps({"limits": limits | {"retry-after": True}}).encode())
