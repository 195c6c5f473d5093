import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { PlaceView, WorkerRoom } from "@sardinestage/plan-starts";
import { estimateInterference } from "../estimateInterference.js";

/** A filling task that takes so much of any headroom needs a place of its own. */
const HARMFUL_INTERFERENCE = 0.3;
/** Headroom of a serving task of which nothing is known. */
const DEFAULT_HEADROOM = 2.5;
/** A serving image from which some neighbour would take so much on a whole worker suffers easily. */
const SENSITIVE_ABOVE = 3;
/** Less headroom than this is all the same. */
const MIN_HEADROOM = 0.05;
/** A place that neither suffers nor does harm. */
const NEUTRAL_PLACEMENT: PlaceView = { strain: 0, isHarmful: false, alikeShare: 1 };

/** The plain way to judge places: remembers nothing. */
export class ReferencePlacementScorer {
    constructor(private readonly estimator: HeadroomEstimator) {}

    /** What is known of a task beside those that a worker has. */
    describePlacement(room: WorkerRoom, spec: StepSpec): PlaceView {
        if (spec.tailTargetMs > 0) {
            return this.describeServing(room, spec);
        }
        return spec.fillsLeftover ? this.describeBestEffort(room, spec) : NEUTRAL_PLACEMENT;
    }

    private describeBestEffort(room: WorkerRoom, spec: StepSpec): PlaceView {
        const lefts = this.listRemaining(room);
        let worst = Infinity;
        room.servers.forEach((server, index) => {
            const taken = estimateInterference(this.estimator, server.step.spec.image, spec, room.capacityCpuMillis);
            worst = Math.min(worst, lefts[index] - taken);
        });
        const weight = spec.cpuMillis / Math.max(1, room.capacityCpuMillis);
        const isHarmful = this.estimator.estimateWorstHarm(spec.image) * weight >= HARMFUL_INTERFERENCE;
        return { strain: convertToStrain(worst), isHarmful, alikeShare: 1 };
    }

    private describeServing(room: WorkerRoom, spec: StepSpec): PlaceView {
        let headroom = this.estimateUsual(spec.image);
        for (const filler of room.fillers) {
            headroom -= estimateInterference(this.estimator, spec.image, filler, room.capacityCpuMillis);
        }
        const alike = room.servers.filter(server => this.isAlike(server.step.spec.image, spec.image)).length;
        const alikeShare = room.servers.length === 0 ? 1 : alike / room.servers.length;
        return { strain: convertToStrain(headroom), isHarmful: false, alikeShare };
    }

    private listRemaining(room: WorkerRoom): readonly number[] {
        return room.servers.map(server => {
            const own = server.headroom ?? this.estimateUsual(server.step.spec.image);
            return room.fillers.reduce(
                (left, filler) =>
                    left - estimateInterference(this.estimator, server.step.spec.image, filler, room.capacityCpuMillis),
                own,
            );
        });
    }

    private estimateUsual(image: string): number {
        return this.estimator.estimateUsual(image) ?? DEFAULT_HEADROOM;
    }

    /** Whether two serving images are the same, or are both known to suffer or both known not to. */
    private isAlike(image: string, other: string): boolean {
        if (image === other) {
            return true;
        }
        const [left, right] = [this.estimator.estimateSensitivity(image), this.estimator.estimateSensitivity(other)];
        return left !== undefined && right !== undefined && (left > SENSITIVE_ABOVE) === (right > SENSITIVE_ABOVE);
    }
}

function convertToStrain(headroom: number): number {
    return 1 / Math.max(MIN_HEADROOM, headroom);
}
