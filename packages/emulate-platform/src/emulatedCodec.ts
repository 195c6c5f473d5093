import type { RecordCodec } from "@sardinestage/describe-ports";
import type { WorkerEntry } from "@sardinestage/describe-work";

/** Codec for records of the emulated platform: worker entries are JSON, and operator records are not supported. */
export const emulatedCodec: RecordCodec = {
    decodeWorker: record =>
        record.value === undefined ? undefined : JSON.parse(Buffer.from(record.value).toString()) as WorkerEntry,
    decodeOperator: () => undefined,
    encodeWaveStatus: wave => ({ key: String(wave.number), value: undefined }),
};
