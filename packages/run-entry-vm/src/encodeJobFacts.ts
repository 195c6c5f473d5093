import type { JobFact } from "./jobFact.js";
import { jobFactBytes } from "./jobFactBytes.js";
import { jobFactCodes } from "./jobFactCodes.js";

/** Encodes facts about jobs, whose ids have 16 hexadecimal digits, into 9 bytes each. */
export function encodeJobFacts(facts: readonly JobFact[]): Uint8Array {
    const bytes = Buffer.alloc(facts.length * jobFactBytes.total);
    facts.forEach(({ id, state }, index) => {
        const at = index * jobFactBytes.total;
        bytes.write(id, at, "hex");
        bytes.writeUInt8(jobFactCodes.indexOf(state), at + jobFactBytes.id);
    });
    return bytes;
}
