"""What is learnt goes from one process of a node to the next, or not at all."""
import copy

import orjson
import pytest
from test_facade import Play

from firwalk import learnt
from firwalk.host import Outcome


def taught():
    p = Play()
    for _ in range(4):
        errand = p.take()
        p.now += 0.04
        p.desk.report_outcome(errand, 0, Outcome.FINISHED)
    p.desk.node.executors[1].errors = 0.3
    return p


def state(p):
    return orjson.loads(orjson.dumps(learnt.told(p.desk)))


def test_the_next_process_knows_what_this_one_has_learnt():
    old, new = taught(), Play()
    told = state(old)
    assert state(new) != told
    learnt.take(new.desk, told)
    assert state(new) == told
    assert new.desk.node.executors[1].errors == 0.3 and new.desk.node.offerings[0].finished == 4
    assert new.desk.node.executors[0].work == 0.0 and new.desk.node.executors[0].held == 0.0
    new.desk.report_outcome(new.take(), 0, Outcome.FINISHED)


def test_who_is_not_known_is_passed_over():
    old, new = taught(), Play(1)
    learnt.take(new.desk, state(old))
    assert len(new.desk.places) == 1


@pytest.mark.parametrize("word, name, place, value", [
    ("executors", "e0", 0, 0.0), ("executors", "e0", 0, -1), ("executors", "e0", 3, 0),
    ("executors", "e1", 9, "x"),
    ("executors", "e1", 5, None), ("executors", "e1", 5, float("inf")), ("node", "", 0, 0),
    ("offerings", "read", 7, 0.0), ("kinds", "", 0, [])])
def test_a_figure_that_cannot_be_used_leaves_all_as_it_is(word, name, place, value):
    old, new = taught(), Play()
    told, before = state(old), state(new)
    told[word][name][place] = value
    with pytest.raises((ValueError, TypeError)):
        learnt.take(new.desk, told)
    assert state(new) == before


@pytest.mark.parametrize("spoil", [dict.clear, lambda told: told["executors"].update(e0=[1.0]),
                                   lambda told: told.update(kinds=7)])
def test_a_state_of_another_shape_is_none(spoil):
    new, told = Play(), state(taught())
    before = copy.deepcopy(state(new))
    spoil(told)
    with pytest.raises((KeyError, ValueError, TypeError, AttributeError)):
        learnt.take(new.desk, told)
    assert state(new) == before
