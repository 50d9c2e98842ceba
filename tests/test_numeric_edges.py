"""Numbers at the edges of what settings, clients, executors and discovery may give: each request is answered.

Guards against arithmetic errors inside decisions, which once closed connections with no answer (review/7).
"""

import pytest
from helpers import OFFERINGS, Fake, post, request_class
from test_service import play

# The smallest numbers of a float make a product with the work of a request underflow to 0.
TINY_IMPORTANCES = [0, 0.0, 5e-324, 1e-320, 1e-300]


def offerings(*importances):
    return [OFFERINGS[0] | {"name": f"c{n}", "importance": value} for n, value in enumerate(importances)]


# Guards against a division by a mean value of 0: the first requests of a process were closed with no answer.
@pytest.mark.parametrize("importance", TINY_IMPORTANCES)
def test_requests_of_tiny_importance_are_served_before_any_others(importance):
    async def scenario(world):
        for number in range(4):
            assert await world.ask(post("/c0/k", f"t{number}")) == (200, f"made of t{number}".encode())
        assert await world.ask(post("/c1/k", "u")) == (200, b"made of u")

    settings = {"offerings": offerings(importance, 5.0), "importance-by": "work"}
    play(scenario, None, settings=settings)


# Guards against the same division after ordinary requests, once their mean has faded away.
@pytest.mark.parametrize("importance", TINY_IMPORTANCES)
def test_requests_of_tiny_importance_are_sent_after_the_mean_value_has_faded(importance):
    f = Fake(request_classes=[request_class(), request_class()])
    f.hear("A", "B")
    f.node.request_classes[0].priority_weight = importance
    f.request("ordinary", kind=1)
    for _ in range(60_000):
        f.node.selection.record_arrival(0.1, 0.0)
    f.request("worthless", 0.009)
    assert f.lines[-1].endswith("send worthless#0 to A") or f.lines[-1].endswith("send worthless#0 to B")
