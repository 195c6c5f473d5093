/** Prints a message as JSON; 64-bit numbers are printed as plain numbers. */
export function printJson(message: unknown): void {
    const convert = (key: string, value: unknown) =>
        key === "$typeName" ? undefined : typeof value === "bigint" ? Number(value) : value;
    process.stdout.write(`${JSON.stringify(message, convert, 2)}\n`);
}
