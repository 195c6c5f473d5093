import { validate, version } from "uuid";

const TIME_HEX_DIGITS = 12;

/**
 * Reads the creation time from an id.
 *
 * @param id A UUID of version 7, whose first 48 bits are Unix milliseconds.
 * @returns Unix milliseconds, or `undefined` when the id is not a UUID of version 7.
 */
export function readIdTime(id: string): number | undefined {
    if (!validate(id) || version(id) !== 7) {
        return undefined;
    }
    return Number.parseInt(id.replaceAll("-", "").slice(0, TIME_HEX_DIGITS), 16);
}
