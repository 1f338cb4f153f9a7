"""The operator's own file: its decoded values, and the diagnostics of invalid files."""

import pathlib

import pytest
from helper import assert_trace_matches

from garnetpaddle import operator as op
from garnetpaddle.net import configuration

ROOT = pathlib.Path(__file__).parent.parent
PLATFORM = configuration.read(ROOT / "examples" / "assigner.json", {})
VALID = """
limits {
  connections = 10 # of 1024
}
group "status" { route = "read" }
follower "lb" {
  calls_per_second = 4e1
  groups  = ["status",
             "status"]
  retries = "on proof"
}
sasp { listen = "127.0.0.1:0" }
"""

GROUP, FOLLOWER = (
    'group "g" { route = "read" }\n',
    'follower "x" {\n  calls_per_second = 1\n  groups = ["g"]\n}\n',
)
INVALID_FILES = {
    "not_hcl": "limits {\n  connections =\n}\n",
    "unclosed_block": 'group "a" {\n  route = "read"\n',
    "expression": "limits {\n  connections = 1 + 2\n}\n",
    "variable": 'group "a" {\n  route = "${var.route}"\n}\n',
    "attribute_outside_block": "connections = 5\n",
    "nested_block": 'group "a" {\n  route = "read"\n  limits {\n  }\n}\n',
    "attribute_set_twice": "limits {\n  connections = 1\n  connections = 2\n}\n",
    "two_blocks_of_one_name": 'group "a" {\n  route = "read"\n}\ngroup "a" {\n  route = "read"\n}\n',
    "unknown_block_and_field": 'grup "a" {\n}\ngroup "a" {\n  route = "read"\n  rout = "read"\n}\n',
    "missing_fields": 'group "a" {\n}\nfollower "x" {\n  uid = "u"\n}\n',
    "wrong_labels": 'group {\n  route = "read"\n}\nlimits "x" {\n}\n',
    "wrong_types": 'limits {\n  connections = "many"\n  members = 0\n}\n'
    'follower "x" {\n  calls_per_second = -1\n  groups = []\n  retries = "sometimes"\n}\n',
    "unknown_names": FOLLOWER.replace('"g"', '"a"')
    + 'dfp "d" {\n  listen = "nowhere"\n  follower = "y"\n  group = "a"\n}\n',
    "uid_used_twice": GROUP
    + FOLLOWER
    + 'follower "y" {\n  uid = "x"\n  calls_per_second = 1\n  groups = ["g"]\n}\n',
    "address_used_twice": 'sasp {\n  listen = "127.0.0.1:5"\n}\nsasp "two" {\n  listen = "127.0.0.1:5"\n}\n',
    "dfp_follower_takes_answers": GROUP
    + FOLLOWER
    + 'dfp "d" {\n  listen = "127.0.0.1:5"\n  follower = "x"\n  group = "g"\n}\n',
    "not_in_the_platform": "limits {\n  connections = 900\n}\n"
    + GROUP.replace("read", "reed")
    + FOLLOWER.replace("{\n", '{\n  zone = "south"\n'),
}


def diagnostics(text, path):
    path.write_text(text)
    try:
        found = op.check_against_platform(op.read(str(path)), PLATFORM)
    except op.InvalidFileError as error:
        found = error.diagnostics
    return [str(diagnostic).removeprefix(str(path.parent) + "/") for diagnostic in found]


def test_diagnostics_name_line_field_and_expected_value(tmp_path):
    trace = []
    for name, text in INVALID_FILES.items():
        trace += [f"{name}:", *diagnostics(text, tmp_path / "operator.hcl")]
    assert_trace_matches("operator_diagnostics", trace)


def test_a_valid_file_and_the_example_are_accepted(tmp_path):
    path = tmp_path / "operator.hcl"
    path.write_text(VALID)
    decoded = op.read(str(path))
    assert decoded.followers[0].calls_per_second == 40 and decoded.followers[0].retries == "on proof"
    assert decoded.limits.connections == 10 and not op.check_against_platform(decoded, PLATFORM)
    assert not op.check_against_platform(op.read(str(ROOT / "deploy" / "operator.hcl")), PLATFORM)


@pytest.mark.parametrize("content, why", [(b"\xff\xfe", "UTF-8"), (b"#" * (1 << 20) + b"##", "1 MiB")])
def test_files_that_are_not_text_too_long_or_missing_are_refused(content, why, tmp_path):
    path = tmp_path / "operator.hcl"
    path.write_bytes(content)
    with pytest.raises(op.InvalidFileError, match=why):
        op.read(str(path))
    with pytest.raises(op.InvalidFileError, match="No such file"):
        op.read(str(tmp_path / "none"))
