"""The OpenAPI document of the resource interface, from the models."""

from typing import Any

from ..resources import models_by_kind

NAME = {"name": "name", "in": "path", "required": True, "schema": {"type": "string"}}
IF_MATCH = {
    "name": "If-Match",
    "in": "header",
    "schema": {"type": "string"},
    "description": "the resourceVersion that the change is based on",
}
OPERATION = {
    "name": "X-Operation-Id",
    "in": "header",
    "schema": {"type": "string"},
    "description": "an id of yours; a change with the same id counts once",
}


def document() -> dict[str, Any]:
    """Return the OpenAPI document."""
    paths: dict[str, Any] = {}
    schemas: dict[str, Any] = {}
    for kind, model in models_by_kind.items():
        schema = model.model_json_schema(ref_template="#/components/schemas/{model}")
        schemas.update(schema.pop("$defs", {}))
        schemas[model.__name__] = schema
        paths.update(_paths(kind, model.__name__))
    paths["/apis/v1/status"] = {"get": _operation("what is in force where")}
    paths["/apis/v1/operations/{operation}"] = {
        "get": _operation("the verdict on a change, by its operation id")
    }
    return {
        "openapi": "3.1.0",
        "info": {"title": "ashhoist resources", "version": "v1"},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"token": []}],
    }


def _paths(kind: str, model: str) -> dict[str, Any]:
    reference = {"$ref": f"#/components/schemas/{model}"}
    one = {
        "get": _operation("one resource"),
        "put": _operation("create or replace", reference, [IF_MATCH, OPERATION]),
        "patch": _operation("JSON merge patch", reference, [IF_MATCH, OPERATION]),
        "delete": _operation("delete", None, [IF_MATCH, OPERATION]),
        "parameters": [NAME],
    }
    many = {
        "get": _operation("list; with ?watch=true&after=N a stream of events"),
        "post": _operation("create", reference, [OPERATION]),
    }
    return {f"/apis/v1/{kind}": many, f"/apis/v1/{kind}/{{name}}": one}


def _operation(
    summary: str,
    spec: dict[str, Any] | None = None,
    parameters: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "summary": summary,
        "responses": {"200": {"description": "done"}},
    }
    if parameters:
        operation["parameters"] = parameters
    if spec is not None:
        body = {
            "type": "object",
            "properties": {"name": {"type": "string"}, "spec": spec},
        }
        operation["requestBody"] = {"content": {"application/json": {"schema": body}}}
    return operation
