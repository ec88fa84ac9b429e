"""Settings report all faults together, each with its line and what to do."""

from __future__ import annotations

import pytest
from syrupy.assertion import SnapshotAssertion

from wharftiller.settings import SettingsErrorGroup, parse_settings

GOOD = """
// A box.
{
  box: {name: "box-1", data_centre: "hall-1"},
  platform: {address: "127.0.0.1:80"},
  keys: {current: "k1", secrets: {k1: "sixteen-letters-and-more"}},
}
"""

BAD = """{
  // Several faults at once.
  box: {name: "box-1", data_center: "hall-1"},
  platform: {address: "localhost:80", list_lag_s: "30"},
  keys: {current: "k2", secrets: {k1: "short"}},
  stewart: {},
}
"""

BAD_VALUES = """{
  box: {name: "box-1", data_centre: "hall-1"},
  platform: {address: "localhost:80"},
  keys: {current: "k2", secrets: {k1: "short"}},
  steward: {detect_s: -1, peers: ["10.0.0.1"]},
  logs: {level: "loud"},
}
"""


def faults_of(text: str) -> list[tuple[int | None, str]]:
    with pytest.raises(SettingsErrorGroup) as caught:
        parse_settings(text)
    return [(getattr(fault, "line", None), str(fault)) for fault in caught.value.exceptions]


class TestParseSettings:
    def test_good_settings_have_defaults(self) -> None:
        settings = parse_settings(GOOD)
        assert settings.proxy.listen == "127.0.0.1:7100"
        assert settings.steward.detect_s == 1.0

    @pytest.mark.parametrize("text", [BAD, BAD_VALUES, "{ box: ", "[1]"])
    def test_faults(self, text: str, snapshot: SnapshotAssertion) -> None:
        assert faults_of(text) == snapshot
