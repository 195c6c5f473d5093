/**
 * An active run in an encoded report. The slot identifies the run among those of its worker. A run that the session
 * hasn't reported before has all values; after that, the checkpoint is sent only when it has changed.
 */
export type RunRow =
    | [slot: number, percent: number, measurement: number]
    | [slot: number, percent: number, measurement: number, checkpoint: string]
    | [
        slot: number,
        percent: number,
        measurement: number,
        checkpoint: string,
        run: number,
        jobId: string,
        occurrence: number,
        step: number,
        index: number,
    ];
