import * as z from 'zod';
import { HTTP_STATUS_BY_CODE } from './errors';
import { ROUTES } from './routes';
import type { JsonSchema } from '@mimosamill/core';
import type { RouteSpec } from './routes';

const ERROR_SCHEMA = {
  type: 'object',
  required: ['error'],
  properties: {
    error: {
      type: 'object',
      required: ['code', 'message'],
      properties: {
        code: { type: 'string', enum: Object.keys(HTTP_STATUS_BY_CODE) },
        message: { type: 'string' },
        details: {},
      },
    },
  },
};

/** Describes the API in OpenAPI 3.1, from the same table of routes that the server registers. */
export function createOpenApi(version: string): unknown {
  const routes: readonly RouteSpec[] = Object.values(ROUTES);
  const paths: Record<string, Record<string, unknown>> = {};
  routes.forEach((route) => {
    const path = route.path.replaceAll(/:(\w+)/g, '{$1}');
    paths[path] = { ...paths[path], [route.method]: describeRoute(route) };
  });
  return {
    openapi: '3.1.0',
    info: { title: 'mimosamill administration', version },
    security: [{ key: [] }],
    components: {
      securitySchemes: { key: { type: 'http', scheme: 'bearer' } },
      schemas: { Error: ERROR_SCHEMA },
    },
    paths,
  };
}

function describeRoute(route: RouteSpec): unknown {
  const operation = {
    operationId: route.name,
    summary: route.summary,
    description: `Permission: ${route.permission}`,
    parameters: [...pathParameters(route), ...queryParameters(route)],
    responses: {
      200: { description: 'Success', content: { 'application/json': { schema: {} } } },
      default: {
        description: 'Error',
        content: { 'application/json': { schema: { $ref: '#/components/schemas/Error' } } },
      },
    },
  };
  if (route.body === undefined) return operation;
  const schema = toSchema(route.body);
  return {
    ...operation,
    requestBody: { required: true, content: { 'application/json': { schema } } },
  };
}

function pathParameters(route: RouteSpec): unknown[] {
  return [...route.path.matchAll(/:(\w+)/g)].map(([, parameter]) => ({
    name: parameter,
    in: 'path',
    required: true,
    schema: { type: 'string' },
  }));
}

function queryParameters(route: RouteSpec): unknown[] {
  const schema = toSchema(route.query);
  const required = (schema['required'] ?? []) as string[];
  return Object.entries(schema['properties'] ?? {}).map(([parameter, parameterSchema]) => ({
    name: parameter,
    in: 'query',
    required: required.includes(parameter),
    schema: parameterSchema as unknown,
  }));
}

function toSchema(shape: z.ZodObject): JsonSchema {
  const schema: Record<string, unknown> = { ...z.toJSONSchema(shape, { io: 'input' }) };
  delete schema['$schema'];
  return schema;
}
