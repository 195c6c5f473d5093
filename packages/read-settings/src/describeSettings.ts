import { z } from "zod";

/** The part of a JSON schema that the settings page shows. */
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
 * @param schema The settings of one process.
 * @returns One row a key: name, unit, range, default, meaning.
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

function convertKeys(properties: SchemaNode["properties"]): Record<string, SchemaNode> {
    return Object.fromEntries(Object.entries(properties ?? {}).map(([key, child]) => [`[].${key}`, child]));
}

function describeRow(node: SchemaNode, path: string): string {
    const range = node.enum?.join(", ") ?? (node.minimum === undefined ? "" : `${node.minimum} to ${node.maximum}`);
    const initial = node.default === undefined ? "required" : JSON.stringify(node.default);
    return `| \`${path.replace(".[].", "[].")}\` | ${node.unit} | ${range} | ${initial} | ${node.description} |`;
}
