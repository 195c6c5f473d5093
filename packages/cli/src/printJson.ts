/** Prints an RPC message as JSON, with 64-bit integers as plain numbers. */
export function printJson(message: unknown): void {
    const convert = (key: string, value: unknown) =>
        key === "$typeName" ? undefined : typeof value === "bigint" ? Number(value) : value;
    process.stdout.write(`${JSON.stringify(message, convert, 2)}\n`);
}
