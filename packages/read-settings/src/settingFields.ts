import { z } from "zod";

const IP_ADDRESS = /^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-f:]+$/i;
const SHORT_NAME = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const MIN_KEY_LENGTH = 16;
const MAX_PORT = 65_535;

function createNumber(unit: string, initial: number, min: number, max: number, description: string) {
    return z.number().int().min(min).max(max).default(initial).meta({ unit, description });
}

/** Create the schema of one setting; the settings page lists its unit, range, default and description. */
export const settingFields = {
    createMilliseconds: (initial: number, min: number, max: number, description: string) =>
        createNumber("ms", initial, min, max, description),
    createCount: (initial: number, min: number, max: number, description: string) =>
        createNumber("count", initial, min, max, description),
    createBytes: (initial: number, min: number, max: number, description: string) =>
        createNumber("bytes", initial, min, max, description),
    createShare: (initial: number, description: string) =>
        z.number().min(0).max(1).default(initial).meta({ unit: "share", description }),
    createPort: (description: string) => z.number().int().min(1).max(MAX_PORT).meta({ unit: "port", description }),
    createName: (description: string) =>
        z.string().regex(
            SHORT_NAME,
            "must be 1 to 63 lower-case letters, digits, dots or hyphens, and start with a letter or digit",
        )
            .meta({ unit: "name", description }),
    createAddress: (description: string) =>
        z.string().regex(IP_ADDRESS, "must be an IP address").meta({ unit: "IP number", description }),
    createUrl: (description: string) => z.url({ protocol: /^https?$/ }).meta({ unit: "URL", description }),
    createKey: (description: string) =>
        z.string().min(MIN_KEY_LENGTH).max(200).meta({ unit: "secret text", description }),
};
