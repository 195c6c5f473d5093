import type { UpkeepWave, WaveState, WorkerEntry } from "@sardinestage/describe-work";
import type { KeyedRecord } from "./keyedRecord.js";
import type { OperatorRecord } from "./operatorRecord.js";

/** Reads and writes the records whose form the platform prescribes. */
export interface RecordCodec {
    /** Undefined for an entry that can't be used. */
    decodeWorker(record: KeyedRecord): WorkerEntry | undefined;
    /** Undefined for a record that can't be used or isn't known. */
    decodeOperator(record: KeyedRecord): OperatorRecord | undefined;
    encodeWaveStatus(wave: UpkeepWave, state: WaveState): KeyedRecord;
}
