import type { UpkeepWave, WaveState, WorkerEntry } from "@sardinestage/describe-work";
import type { KeyedRecord } from "./keyedRecord.js";
import type { OperatorRecord } from "./operatorRecord.js";

/** Decodes and encodes the records whose format the platform defines. */
export interface RecordCodec {
    /** Decodes a worker's entry; undefined if the record is invalid. */
    decodeWorker(record: KeyedRecord): WorkerEntry | undefined;
    /** Decodes a record of the operator; undefined if the record is invalid or of an unknown kind. */
    decodeOperator(record: KeyedRecord): OperatorRecord | undefined;
    /** Encodes the status of an upkeep wave, for the operator. */
    encodeWaveStatus(wave: UpkeepWave, state: WaveState): KeyedRecord;
}
