import type { Evacuation } from "./evacuation.js";
import { EvacuationChange } from "./evacuationChange.js";
import type { EvacuationRecord } from "./evacuationRecord.js";
import type { EvacuationState } from "./evacuationState.js";
import type { EvacuationView } from "./evacuationView.js";

/**
 * The evacuated failure domains. Beside them it keeps up to which offset the operator's records are known. An evacuation
 * below that offset which isn't listed has ended, so ended ones needn't be remembered.
 */
export class EvacuationTable implements EvacuationView {
    private readonly evacuated = new Map<string, Evacuation>();
    private readUpTo: number | undefined;

    /** Whether all records up to some offset are known. */
    get isKnown(): boolean {
        return this.readUpTo !== undefined;
    }

    /** The state to tell other processes; undefined while it isn't known. */
    get state(): EvacuationState | undefined {
        return this.readUpTo === undefined ? undefined : {
            readUpTo: this.readUpTo,
            evacuated: this.list().map(({ domain, offset }) => ({ domain, offset })),
        };
    }

    /** Whether a failure domain is evacuated. */
    isEvacuated(domain: string): boolean {
        return this.evacuated.has(domain);
    }

    /** Lists the evacuated failure domains. */
    list(): readonly Evacuation[] {
        return [...this.evacuated.values()];
    }

    /** Applies a record of the operator; of several records of a failure domain the one with the highest offset wins. */
    applyRecord({ domain, isEvacuated }: EvacuationRecord, offset: number, source: string): EvacuationChange {
        const known = this.evacuated.get(domain);
        if (offset < (this.readUpTo ?? 0) || offset <= (known?.offset ?? -1)) {
            return EvacuationChange.Outdated;
        }
        if (isEvacuated) {
            this.evacuated.set(domain, { domain, offset, source: known?.source ?? source });
            return known === undefined ? EvacuationChange.Started : EvacuationChange.Repeated;
        }
        return this.evacuated.delete(domain) ? EvacuationChange.Ended : EvacuationChange.NotEvacuated;
    }

    /** Notes that all records below an offset have been applied. */
    noteRead(readUpTo: number): void {
        this.readUpTo = Math.max(readUpTo, this.readUpTo ?? 0);
    }

    /**
     * Takes over what another process knows, and what this process doesn't know itself.
     *
     * @returns The domains whose evacuation has started, and those whose evacuation has ended.
     */
    applyState(
        state: EvacuationState,
        source: string,
    ): { started: readonly Evacuation[]; ended: readonly Evacuation[] } {
        const started = state.evacuated
            .filter(({ domain, offset }) =>
                this.applyRecord({ domain, isEvacuated: true }, offset, source) === EvacuationChange.Started
            )
            .flatMap(({ domain }) => this.evacuated.get(domain) ?? []);
        const ended = this.applyListing(new Set(state.evacuated.map(({ domain }) => domain)), state.readUpTo);
        this.noteRead(state.readUpTo);
        return { started, ended };
    }

    /**
     * Applies a list of the evacuated domains that is complete for the records below an offset.
     *
     * @returns The domains whose evacuation has ended.
     */
    applyListing(listed: ReadonlySet<string>, readUpTo: number): readonly Evacuation[] {
        const ended = this.list().filter(({ domain, offset }) => offset < readUpTo && !listed.has(domain));
        ended.forEach(({ domain }) => this.evacuated.delete(domain));
        return ended;
    }
}
