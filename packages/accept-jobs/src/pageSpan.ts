/** The highest key. */
const LAST_KEY = "ffffffffffffffff";
/** Leading hexadecimal digits of a key that its position is computed from. */
const POSITION_DIGITS = 8;

/**
 * Learns which part of the keys a page holds. Keys are hexadecimal and about evenly spread; nothing is learned from
 * other keys.
 */
export class PageSpan {
    private span: number | undefined;

    /** Whether a page was seen. */
    get isKnown(): boolean {
        return this.span !== undefined;
    }

    /**
     * Notes a page.
     *
     * @param first The first key that was requested.
     * @param last The last key of the page; undefined if no key follows, so that the page could have held more.
     */
    notePage(first: string, last: string | undefined): void {
        const span = computePosition(last ?? LAST_KEY) - computePosition(first);
        const leastSpan = last === undefined ? this.span ?? 0 : 0;
        if (span > leastSpan) {
            this.span = span;
        }
    }

    /** Checks whether a page from a key on probably reaches another key; true if nothing is known. */
    isReached(first: string, key: string): boolean {
        return this.span === undefined || !(computePosition(key) - computePosition(first) > this.span);
    }
}

/** Computes a key's position among all keys; not a number if it isn't hexadecimal. */
function computePosition(key: string): number {
    return parseInt(key.slice(0, POSITION_DIGITS), 16);
}
