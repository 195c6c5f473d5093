/** The longest line that is read, in characters; no process writes longer ones. */
const MAX_CHARACTERS = 1_000_000;

/**
 * Reads lines one at a time, so that memory doesn't grow with the file.
 *
 * @param chunks The text in pieces of any length.
 * @returns The lines without their line feeds; undefined in place of one that is too long.
 */
export async function* readLines(chunks: AsyncIterable<string>): AsyncIterable<string | undefined> {
    let rest = "";
    let isTooLong = false;
    for await (const chunk of chunks) {
        const parts = chunk.split("\n");
        const last = parts.pop() ?? "";
        for (const part of parts) {
            const line = rest + part;
            yield isTooLong || line.length > MAX_CHARACTERS ? undefined : line;
            rest = "";
            isTooLong = false;
        }
        isTooLong ||= rest.length + last.length > MAX_CHARACTERS;
        rest = isTooLong ? "" : rest + last;
    }
    if (isTooLong || rest.length > 0) {
        yield isTooLong ? undefined : rest;
    }
}
