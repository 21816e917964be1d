"""The gateway's program: settings checked, the deploy files in step."""

import pathlib
import re
import subprocess
import sys

from click.testing import CliRunner

from magnoliacove.commands import gateway
from tests.platform import samples

_ROOT = pathlib.Path(__file__).parents[2]


def test_settings_can_be_checked(tmp_path):
    path = samples.write_settings(tmp_path / "s.json")
    result = CliRunner().invoke(
        gateway._command, ["--settings", path, "--check"]
    )
    assert result.exit_code == 0
    assert "in order" in result.output


def test_a_mistake_is_one_friendly_line(tmp_path):
    path = samples.write_settings(tmp_path / "s.json", bounds={})
    result = CliRunner().invoke(gateway._command, ["--settings", path])
    assert result.exit_code == 2
    assert "drain_ms" in result.output
    assert "Traceback" not in result.output


def _read_pins(name):
    text = (_ROOT / name).read_text()
    return dict(re.findall(r"^([A-Za-z0-9-]+)==(\S+)$", text, re.M))


def test_deployed_libraries_have_the_versions_that_are_tested():
    deployed = _read_pins("deploy/requirements.txt")
    locked = _read_pins("requirements.lock")
    assert deployed
    assert {name: locked.get(name) for name in deployed} == deployed


def test_the_gateway_imports_only_what_is_deployed():
    """A library that only the other programs need would be missing where
    the gateway runs, and it would not start.
    """
    code = (
        "import sys, magnoliacove.commands.gateway;"
        "print('\\n'.join({m.partition('.')[0] for m in sys.modules}))"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=_ROOT,
    ).stdout.split()
    absent = {"grpc", "openai", "httpx2", "connectrpc", "pydantic", "pytest"}
    assert not absent & set(loaded)
