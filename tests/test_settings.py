"""The operator's files: typed records, bounds, one-line errors, and the commands that check the files."""

from __future__ import annotations

import json
import logging
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from lupintack import logs, operator
from lupintack.cli.main import main
from lupintack.settings.errors import ConfigError
from lupintack.settings.operator import Http2, live_keys, schema

DEPLOY = Path(__file__).parents[1] / "deploy"


def write(folder: Path, text: str, name: str = "operator.toml") -> Path:
    path = folder / name
    path.write_text(text)
    return path


def load(folder: Path, text: str) -> object:
    return operator.load({"LUPINTACK_OPERATOR": str(write(folder, text))})


def test_committed_files_are_valid_and_off() -> None:
    assert operator.load({}) is None
    for name in ("operator.toml", "cdni.toml"):
        result = CliRunner().invoke(main, ["config", "check", str(DEPLOY / name)])
        assert result.exit_code == 0 and "on: nothing" in result.output, result.output


@pytest.mark.parametrize(
    "text, expected_error",
    [
        ("[http2]\nconnections = 0", "[http2] connections: 0: expected int >= 1"),
        ("[http2]\nstreams = 1001", "[http2] streams: 1001: expected int <= 1000"),
        ("[http2]\nenabeld = true", "[http2] enabeld: True: no such key"),
        ("[http2]\nenabled = 'yes'", "[http2] enabled: 'yes': expected bool"),
        ("[htp2]\nenabled = true", "htp2: {'enabled': True}: no such table"),
        ("[http2]\nlisten = 'everywhere'", "[http2] listen: 'everywhere': expected host:port"),
        ("[http2]\nlisten = 'h:70000'", "[http2] listen: expected host:port, not 'h:70000'"),
        ("http2 = 3", "http2: 3: expected object"),
        ("[http2", "Expected ']'"),
    ],
)
def test_errors_name_table_key_value_and_expectation(tmp_path: Path, text: str, expected_error: str) -> None:
    with pytest.raises(ConfigError) as error:
        load(tmp_path, text)
    assert str(error.value).startswith("operator.toml: ")
    assert expected_error in str(error.value) and "\n" not in str(error.value)


def test_file_with_all_tables_off_loads_as_none_and_others_are_read(tmp_path: Path) -> None:
    assert load(tmp_path, "[http2]\nenabled = false") is None
    settings = load(tmp_path, "[http2]\nenabled = true\nstreams = 7")
    assert isinstance(settings, operator.parse({}, "").__class__) and settings.http2.streams == 7
    with pytest.raises(ConfigError, match="no file"):
        operator.load({"LUPINTACK_OPERATOR": str(tmp_path / "none.toml")})


def test_schema_has_bounds_and_live_keys() -> None:
    table = schema()["$defs"]["Http2"]
    assert table["additionalProperties"] is False
    assert table["properties"]["streams"]["maximum"] == 1000
    assert "share_percent" in live_keys(Http2) and "listen" not in live_keys(Http2)


def test_check_reports_invalid_files_with_exit_code_2(tmp_path: Path) -> None:
    file = write(tmp_path, "[http2]\nenabled = false\nstreams = 0")
    result = CliRunner().invoke(main, ["config", "check", str(file), "--json"])
    report = json.loads(result.output)
    assert result.exit_code == 2 and report["ok"] is False and "streams: 0" in report["error"]
    assert CliRunner().invoke(main, ["config", "check", str(tmp_path / "no.toml")]).exit_code == 2
    cdni = write(tmp_path, "enabled = false\n[[host]]\nname = 'h'\ngroup = 300", "cdni.toml")
    result = CliRunner().invoke(main, ["config", "check", str(cdni)])
    assert result.exit_code == 2 and "[host[0]] group: 300: expected int <= 255" in result.output
    assert CliRunner().invoke(main, ["config", "check", str(write(tmp_path, "{", "c.json"))]).exit_code == 2
    assert json.loads(CliRunner().invoke(main, ["config", "schema"]).output) == schema()


def test_invalid_file_ends_the_process_with_one_line_and_exit_code_2(tmp_path: Path) -> None:
    file = write(tmp_path, "[http2]\nenabled = 3")
    environ = {"LUPINTACK_OPERATOR": str(file), "EDGE_CONFIG": "/nowhere"}
    result = subprocess.run([sys.executable, "-m", "lupintack"], env=environ, capture_output=True, text=True)
    assert result.returncode == 2 and result.stderr.count("\n") == 1 and "Traceback" not in result.stderr


def test_log_lines_are_key_value() -> None:
    record = logging.LogRecord("core", logging.INFO, "", 0, "two words", (), None)
    record.kv = {"member": 's"1', "n": 3, "text": ""}
    line = logs.formatter().format(record)
    assert line.startswith("ts=") and ' level=info part=core event="two words" member="s\\"1" n=3' in line
