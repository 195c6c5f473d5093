import type { RecordCodec } from "@sardinestage/describe-ports";
import type { WorkerEntry } from "@sardinestage/describe-work";

/** Records of an emulated platform: workers' entries as JSON, and nothing from an operator. */
export const emulatedCodec: RecordCodec = {
    decodeWorker: record =>
        record.value === undefined ? undefined : JSON.parse(Buffer.from(record.value).toString()) as WorkerEntry,
    decodeOperator: () => undefined,
    encodeWaveStatus: wave => ({ key: String(wave.number), value: undefined }),
};
