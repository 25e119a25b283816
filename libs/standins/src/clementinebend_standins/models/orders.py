"""Pure model of an engine's orders: models loaded, role, fencing numbers."""

from typing import NamedTuple


class EngineOrder(NamedTuple):
    """One order; ``action`` is ``load``, ``unload`` or ``role``.

    ``subject`` is the model or the role.
    """

    fencing: int
    action: str
    subject: str


class OrdersState(NamedTuple):
    """What the engine serves, and all orders that it executed."""

    fenced: bool
    models: tuple[str, ...]
    role: str = "both"
    fencing: int = -1
    executed: tuple[EngineOrder, ...] = ()


class OldFencing(NamedTuple):
    """The order was refused: ``newest`` has been seen already."""

    newest: int


class UnknownAction(NamedTuple):
    """The order was refused: its action is none of ``ACTIONS``."""


ACTIONS = ("load", "unload", "role")


def execute_order(
    state: OrdersState, order: EngineOrder
) -> tuple[OrdersState, OldFencing | UnknownAction | None]:
    """Execute an order, or say why not; unfenced engines ignore the number."""
    if order.action not in ACTIONS:
        return state, UnknownAction()
    if state.fenced and order.fencing < state.fencing:
        return state, OldFencing(state.fencing)
    return (
        state._replace(
            models=_models_after(state.models, order),
            role=order.subject if order.action == "role" else state.role,
            fencing=max(state.fencing, order.fencing),
            executed=(*state.executed, order),
        ),
        None,
    )


def _models_after(models: tuple[str, ...], order: EngineOrder) -> tuple[str, ...]:
    if order.action == "role":
        return models
    others = tuple(model for model in models if model != order.subject)
    return (*others, order.subject) if order.action == "load" else others
