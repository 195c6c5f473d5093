import type { RecordCodec } from "@sardinestage/describe-ports";
import type { WorkerEntry } from "@sardinestage/describe-work";

const EVACUATION_KEY_PREFIX = "evacuation/";

/**
 * Codec for records of the emulated platform: worker entries are JSON. Of the operator's records only evacuations are
 * supported, whose key is `evacuation/` and the failure domain.
 */
export const emulatedCodec: RecordCodec = {
    decodeWorker: record =>
        record.value === undefined ? undefined : JSON.parse(Buffer.from(record.value).toString()) as WorkerEntry,
    decodeOperator: ({ key, value }) =>
        key.startsWith(EVACUATION_KEY_PREFIX)
            ? { evacuation: { domain: key.slice(EVACUATION_KEY_PREFIX.length), isEvacuated: value !== undefined } }
            : undefined,
    encodeWaveStatus: wave => ({ key: String(wave.number), value: undefined }),
};
