"""Tests of what the daemon's program imports and uses at its start."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path

from adapter.node import load_node_settings
from fennelhill_bench.platform_stand_ins.platform import PlatformStandIns

ROOT = Path(__file__).parents[2]
# Each takes a hundredth to a tenth of a start, and all hosts start at once after a loss
# of power.
NOT_NEEDED = {
    "aioprometheus",
    "email.mime",
    "fennelhill_core.settings",
    "fennelhilld.daemon",
    "tornado.template",
    "tornado.web",
    "tornado.websocket",
    "yaml",
}


class TestImports:
    def test_of_a_start_leave_out_what_the_first_request_does_not_need(self):
        code = "import sys, adapter.daemon; print(*sys.modules)"
        path = os.pathsep.join([str(ROOT / "platform"), *sys.path])
        result = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONPATH": path},
            capture_output=True,
            text=True,
            check=True,
        )
        assert not NOT_NEEDED & set(result.stdout.split())


class TestSettingsFile:
    def test_as_json_gives_the_same_settings_as_yaml(self, tmp_path):
        path, document = PlatformStandIns().node_file(tmp_path, "h")
        as_json = tmp_path / "node.json"
        as_json.write_text(json.dumps(document))
        assert load_node_settings(str(path)) == load_node_settings(str(as_json))


class TestProcess:
    def test_uses_no_io_uring(self, tmp_path):
        # The event loop's library would open one by default; hosts must not use it.
        path, _ = PlatformStandIns().node_file(tmp_path, "h")
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "main.py")],
            env={**os.environ, "FENNELHILL_NODE_FILE": str(path)},
            stdout=subprocess.PIPE,
        )
        try:
            assert b"daemon.started" in process.stdout.readline()
            time.sleep(0.2)
            folder = Path(f"/proc/{process.pid}/fd")
            files = [os.readlink(entry) for entry in folder.iterdir()]
        finally:
            process.terminate()
            process.wait()
        assert any("eventpoll" in file for file in files)
        assert not any("io_uring" in file for file in files)
