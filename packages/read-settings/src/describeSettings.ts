import { z } from "zod";

/** The fields of a JSON schema from which the settings page is written. */
interface SchemaNode {
    readonly type?: string;
    readonly unit?: string;
    readonly description?: string;
    readonly minimum?: number;
    readonly maximum?: number;
    readonly default?: unknown;
    readonly enum?: readonly string[];
    readonly properties?: Readonly<Record<string, SchemaNode>>;
    readonly items?: SchemaNode;
}

/**
 * Describes every key of a schema as rows of a Markdown table.
 *
 * @param schema Settings schema of one process.
 * @returns One row per key: name, unit, range, default and description.
 */
export function describeSettings(schema: z.ZodType): string[] {
    return describeNode(z.toJSONSchema(schema, { io: "input" }) as SchemaNode, "");
}

function describeNode(node: SchemaNode, path: string): string[] {
    const rows = node.unit === undefined ? [] : [describeRow(node, path)];
    const children = { ...node.properties, ...convertKeys(node.items?.properties) };
    return [
        ...rows,
        ...Object.entries(children).flatMap(([key, child]) =>
            describeNode(child, path === "" ? key : `${path}.${key}`)
        ),
    ];
}

/** Puts `[].` before the keys of a list's items. */
function convertKeys(properties: SchemaNode["properties"]): Record<string, SchemaNode> {
    return Object.fromEntries(Object.entries(properties ?? {}).map(([key, child]) => [`[].${key}`, child]));
}

function describeRow(node: SchemaNode, path: string): string {
    const range = node.enum?.join(", ") ?? (node.minimum === undefined ? "" : `${node.minimum} to ${node.maximum}`);
    const initial = node.default === undefined ? "required" : JSON.stringify(node.default);
    return `| \`${path.replace(".[].", "[].")}\` | ${node.unit} | ${range} | ${initial} | ${node.description} |`;
}
