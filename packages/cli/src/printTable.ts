/**
 * Prints rows as a table with aligned columns.
 *
 * @param headings One heading per column.
 * @param rows One array of cells per row.
 */
export function printTable(
    headings: readonly string[],
    rows: readonly (readonly (string | number | boolean)[])[],
): void {
    const lines = [headings, ...rows.map(row => row.map(String))];
    const widths = headings.map((_, column) => Math.max(...lines.map(line => String(line[column]).length)));
    for (const line of lines) {
        process.stdout.write(
            `${line.map((cell, column) => String(cell).padEnd(widths[column])).join("  ").trimEnd()}\n`,
        );
    }
}
