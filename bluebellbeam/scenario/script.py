"""Parser and interpreter of scenario scripts."""

from importlib import resources

import lark
from msgspec import Struct

from bluebellbeam.examples import read_example
from bluebellbeam.exception import ScenarioError
from bluebellbeam.scenario.simulation import make_simulation
from bluebellbeam.scenario.steps import STEPS, ScriptRun

__all__ = ["Step", "parse_script", "read_script", "run_script", "script_names"]


class Step(Struct, frozen=True):
    """One step of a script.

    Parameters
    ----------
    name : str
        A key of :data:`~bluebellbeam.scenario.steps.STEPS`.
    values : tuple
        Arguments of the step's function, after the :class:`ScriptRun`.
    line : int
        Line number in the script.
    """

    name: str
    values: tuple
    line: int


class _StepTransformer(lark.Transformer):
    def names(self, items):
        return tuple(str(item) for item in items)

    def time(self, items):
        scale = 1 if items[1] == "ms" else 1000
        return int(items[0]) * scale

    def tokens(self, items):
        return ("tokens", int(items[0]), int(items[1]))

    def operation(self, items):
        return ("operation", str(items[0]))

    def issued_by(self, items):
        return ("issued_by", str(items[0]))

    def prefix(self, items):
        return ("prefix", int(items[0]))

    def INT(self, token):  # noqa: N802
        return int(token)

    def start(self, items):
        return list(items)

    def __default__(self, data, children, meta):
        line = meta.line if not meta.empty else 0
        return Step(str(data), tuple(_plain_value(item) for item in children), line)


def _plain_value(item):
    return str(item) if isinstance(item, lark.Token) else item


def _make_parser():
    grammar = resources.files("bluebellbeam.scenario") / "grammar.lark"
    return lark.Lark(
        grammar.read_text(),
        parser="lalr",
        propagate_positions=True,
        maybe_placeholders=False,
    )


_PARSER = _make_parser()


def parse_script(text):
    """Parse a script and return its steps.

    Raises
    ------
    ScenarioError
        If a line is not a valid step.
    """
    try:
        return _StepTransformer().transform(_PARSER.parse(text))
    except lark.exceptions.UnexpectedInput as error:
        raise ScenarioError(
            f"line {error.line}, column {error.column}: not a valid step"
        ) from error


def script_names():
    """Return the names of the scripts in the package, sorted."""
    folder = resources.files("bluebellbeam.scenario") / "scripts"
    return sorted(
        item.name.removesuffix(".scenario")
        for item in folder.iterdir()
        if item.name.endswith(".scenario")
    )


def read_script(name):
    """Return the text of a script in the package."""
    folder = resources.files("bluebellbeam.scenario") / "scripts"
    return (folder / f"{name}.scenario").read_text()


def run_script(text):
    """Run a script and return the finished :class:`ScriptRun`.

    Raises
    ------
    ScenarioError
        If a line is not a valid step or an expectation does not hold.
    """
    steps = parse_script(text)
    if not steps or steps[0].name != "deployment":
        raise ScenarioError("a script begins with its deployment step")
    name, seed = steps[0].values
    base, overlays = read_example(name)
    sim = make_simulation(base, overlays, seed)
    sim.trace = []
    run = ScriptRun(sim)
    sim.start()
    for step in steps[1:]:
        try:
            STEPS[step.name](run, *step.values)
        except ScenarioError as error:
            raise ScenarioError(f"line {step.line}: {error}") from error
    return run
