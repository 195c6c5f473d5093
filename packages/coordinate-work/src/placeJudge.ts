import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { PlaceView, WorkerRoom } from "@sardinestage/plan-starts";
import { HeadroomEstimateCache } from "./headroomEstimateCache.js";
import type { ImageInterference } from "./imageInterference.js";

/** A filling task that takes so much of any headroom needs a place of its own. */
const HARMFUL_INTERFERENCE = 0.3;
/** Less headroom than this is all the same. */
const MIN_HEADROOM = 0.05;
/** A place that neither suffers nor does harm. */
const NEUTRAL_PLACEMENT: PlaceView = { strain: 0, isHarmful: false, alikeShare: 1 };

/** A filling task of a room. */
interface BestEffortTask {
    readonly harms: ImageInterference;
    /** Its processor as a share of the worker's. */
    readonly weight: number;
}

/** What the serving tasks of a room have left beside the filling ones there. */
interface WorkerHeadroom {
    /** In the order of the room's filling tasks. */
    readonly bestEffortTasks: BestEffortTask[];
    /** The images of the room's serving tasks, in their order. */
    readonly servingImages: number[];
    /** In the order of the room's serving tasks. */
    readonly remaining: number[];
}

/** Tells what a task would do to the serving tasks on a worker, from what was learned of pairs of images. */
export class PlaceJudge {
    private estimates: HeadroomEstimateCache;
    private headrooms = new WeakMap<WorkerRoom, WorkerHeadroom>();

    constructor(private readonly estimator: HeadroomEstimator) {
        this.estimates = new HeadroomEstimateCache(estimator);
    }

    /** Begins a round, in which nothing is learned and tasks are only added to rooms. */
    startRound(): void {
        this.estimates = new HeadroomEstimateCache(this.estimator);
        this.headrooms = new WeakMap();
    }

    /** What is known of a task beside those that a worker has. */
    describePlacement(room: WorkerRoom, spec: StepSpec): PlaceView {
        if (spec.tailTargetMs > 0) {
            return this.describeServing(room, spec);
        }
        return spec.fillsLeftover ? this.describeBestEffort(room, spec) : NEUTRAL_PLACEMENT;
    }

    private describeBestEffort(room: WorkerRoom, spec: StepSpec): PlaceView {
        const { servingImages: images, remaining: lefts } = this.updateHeadroom(room);
        const harms = this.estimates.resolveInterference(spec.image);
        const weight = computeWeight(room, spec);
        let worst = Infinity;
        for (let index = 0; index < lefts.length; index++) {
            worst = Math.min(worst, lefts[index] - this.estimates.getInterference(harms, images[index]) * weight);
        }
        return {
            strain: convertToStrain(worst),
            isHarmful: harms.maxInterference * weight >= HARMFUL_INTERFERENCE,
            alikeShare: 1,
        };
    }

    private describeServing(room: WorkerRoom, spec: StepSpec): PlaceView {
        const image = this.estimates.resolveImage(spec.image);
        const { servingImages: images, bestEffortTasks: fillers } = this.updateHeadroom(room);
        const headroom = this.computeRemaining(this.estimates.getUsual(image), image, fillers);
        let alike = 0;
        for (const other of images) {
            alike += this.isAlike(other, image) ? 1 : 0;
        }
        const alikeShare = images.length === 0 ? 1 : alike / images.length;
        return { strain: convertToStrain(headroom), isHarmful: false, alikeShare };
    }

    /** A round adds to rooms as it goes; only what was added is worked out. */
    private updateHeadroom(room: WorkerRoom): WorkerHeadroom {
        const known = this.headrooms.get(room);
        const headroom: WorkerHeadroom = known ?? { bestEffortTasks: [], servingImages: [], remaining: [] };
        if (known === undefined) {
            this.headrooms.set(room, headroom);
        }
        const { bestEffortTasks: fillers, servingImages: images, remaining: lefts } = headroom;
        for (let index = fillers.length; index < room.fillers.length; index++) {
            const spec = room.fillers[index];
            const filler = { harms: this.estimates.resolveInterference(spec.image), weight: computeWeight(room, spec) };
            fillers.push(filler);
            for (let server = 0; server < lefts.length; server++) {
                lefts[server] -= this.estimates.getInterference(filler.harms, images[server]) * filler.weight;
            }
        }
        for (let index = images.length; index < room.servers.length; index++) {
            const server = room.servers[index];
            const image = this.estimates.resolveImage(server.step.spec.image);
            images.push(image);
            lefts.push(this.computeRemaining(server.headroom ?? this.estimates.getUsual(image), image, fillers));
        }
        return headroom;
    }

    private computeRemaining(headroom: number, serving: number, fillers: readonly BestEffortTask[]): number {
        let left = headroom;
        for (const { harms, weight } of fillers) {
            left -= this.estimates.getInterference(harms, serving) * weight;
        }
        return left;
    }

    /** Whether two serving images are the same, or are both known to suffer or both known not to. */
    private isAlike(image: number, other: number): boolean {
        const [left, right] = [this.estimates.isSensitive(image), this.estimates.isSensitive(other)];
        return image === other || (left !== undefined && right !== undefined && left === right);
    }
}

function computeWeight(room: WorkerRoom, spec: StepSpec): number {
    return spec.cpuMillis / Math.max(1, room.capacityCpuMillis);
}

function convertToStrain(headroom: number): number {
    return 1 / Math.max(MIN_HEADROOM, headroom);
}
