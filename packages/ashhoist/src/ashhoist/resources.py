"""The resources that operators declare, as validated models.

A kind of resource is a model that the `kind` decorator registers. The border
checks a spec with `validate`; inside, a spec is the plain data of
`model_dump`, so that the configuration's fold does not depend on these models.
"""

from collections.abc import Callable
from typing import Annotated, Any, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from .ini import NAME_PATTERN, Url

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
VersionName = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
PriorityName = Literal["low", "normal", "high", "urgent"]

models_by_kind: dict[str, type["Spec"]] = {}
M = TypeVar("M", bound=type["Spec"])


class Spec(BaseModel):
    """Base of all specs: unknown fields are errors."""

    model_config = ConfigDict(extra="forbid")


def kind(name: str) -> Callable[[M], M]:
    """Register a spec model under the name of its kind."""

    def decorate(model: M) -> M:
        models_by_kind[name] = model
        return model

    return decorate


@kind("base-models")
class BaseModelSpec(Spec):
    """A base model that engines can run."""

    description: str = Field(default="", max_length=1000)


class VersionSpec(Spec):
    """One version of an adapter. It cannot change once it is accepted."""

    weights: str = Field(min_length=1, max_length=512)


@kind("adapters")
class AdapterSpec(Spec):
    """An adapter, its versions and its priority."""

    base_model: Name
    versions: dict[VersionName, VersionSpec] = Field(min_length=1, max_length=32)
    default_version: VersionName
    priority: PriorityName = "normal"
    team: Name = "default"

    @model_validator(mode="after")
    def _default_exists(self) -> "AdapterSpec":
        if self.default_version not in self.versions:
            raise ValueError("default_version must be one of versions")
        return self


@kind("upstreams")
class UpstreamSpec(Spec):
    """A model engine or a plain service."""

    type: Literal["engine", "service"]
    address: Url
    availability_zone: Name
    region: Name = "region"
    base_model: Name | None = None
    service: Name | None = None
    slots: int = Field(default=4, ge=1, le=1024)
    max_batch: int = Field(default=16, ge=1, le=4096)
    checks_fence: bool = False

    @model_validator(mode="after")
    def _type_matches(self) -> "UpstreamSpec":
        if self.type == "engine" and not self.base_model:
            raise ValueError("an engine needs base_model")
        if self.type == "service" and not self.service:
            raise ValueError("a service needs service, the name that callers use")
        return self


@kind("policies")
class PolicySpec(Spec):
    """How the scarce things are shared out. The one in force is ``default``."""

    policy: Literal["weighted", "naive"] = "weighted"
    stall_weight: float = Field(default=0.5, ge=0, le=1)
    priority_weights: dict[PriorityName, float] = Field(
        default={"low": 1.0, "normal": 2.0, "high": 6.0, "urgent": 20.0}
    )
    team_shares: dict[Name, float] = Field(default={})
    queue_length: int = Field(default=256, ge=1, le=100_000)


def validate(kind_name: str, spec: Any) -> dict[str, Any] | list[str]:
    """Check a spec at the border.

    Returns
    -------
    dict or list of str
        The spec as plain data with its defaults, or one line per problem.
    """
    model = models_by_kind.get(kind_name)
    if model is None:
        return [f"unknown kind {kind_name!r}; known are {', '.join(models_by_kind)}"]
    try:
        return model.model_validate(spec).model_dump(mode="json")
    except ValidationError as error:
        return [
            f"{'.'.join(str(part) for part in problem['loc']) or 'spec'}: "
            f"{problem['msg'].removeprefix('Value error, ')}"
            for problem in error.errors()
        ]
