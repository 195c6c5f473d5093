import type { JobFact } from "./jobFact.js";
import { jobFactBytes } from "./jobFactBytes.js";
import { jobFactCodes } from "./jobFactCodes.js";

/** Decodes what `encodeJobFacts` wrote. Leaves out states of a later version, and a row that isn't complete. */
export function decodeJobFacts(bytes: Uint8Array): JobFact[] {
    const rows = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const facts: JobFact[] = [];
    for (let at = 0; at + jobFactBytes.total <= rows.length; at += jobFactBytes.total) {
        const state = jobFactCodes.at(rows.readUInt8(at + jobFactBytes.id));
        if (state !== undefined) {
            facts.push({ id: rows.toString("hex", at, at + jobFactBytes.id), state });
        }
    }
    return facts;
}
