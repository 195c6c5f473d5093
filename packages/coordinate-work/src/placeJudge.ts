import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { PlaceView, WorkerRoom } from "@sardinestage/plan-starts";
import { HeadroomTable } from "./headroomTable.js";
import type { ImageHarms } from "./imageHarms.js";

/** A filling task that takes so much of any headroom needs a place of its own. */
const HARMFUL = 0.3;
/** Less headroom than this is all the same. */
const LEAST_HEADROOM = 0.05;
/** A place that neither suffers nor does harm. */
const NEUTRAL_PLACE: PlaceView = { strain: 0, isHarmful: false, alikeShare: 1 };

/** A filling task of a room. */
interface FillerThere {
    readonly harms: ImageHarms;
    /** Its processor as a share of the worker's. */
    readonly weight: number;
}

/** What the serving tasks of a room have left beside the filling ones there. */
interface RoomHeadroom {
    /** In the order of the room's filling tasks. */
    readonly fillers: FillerThere[];
    /** The images of the room's serving tasks, in their order. */
    readonly images: number[];
    /** In the order of the room's serving tasks. */
    readonly lefts: number[];
}

/** Tells what a task would do to the serving tasks on a worker, from what was learned of pairs of images. */
export class PlaceJudge {
    private table: HeadroomTable;
    private headrooms = new WeakMap<WorkerRoom, RoomHeadroom>();

    constructor(private readonly estimator: HeadroomEstimator) {
        this.table = new HeadroomTable(estimator);
    }

    /** Begins a round, in which nothing is learned and tasks are only added to rooms. */
    startRound(): void {
        this.table = new HeadroomTable(this.estimator);
        this.headrooms = new WeakMap();
    }

    /** What is known of a task beside those that a worker has. */
    describePlace(room: WorkerRoom, spec: StepSpec): PlaceView {
        if (spec.tailTargetMs > 0) {
            return this.describeServing(room, spec);
        }
        return spec.fillsLeftover ? this.describeFilling(room, spec) : NEUTRAL_PLACE;
    }

    private describeFilling(room: WorkerRoom, spec: StepSpec): PlaceView {
        const { images, lefts } = this.getHeadroom(room);
        const harms = this.table.resolveHarms(spec.image);
        const weight = computeWeight(room, spec);
        let worst = Infinity;
        for (let index = 0; index < lefts.length; index++) {
            worst = Math.min(worst, lefts[index] - this.table.getHarm(harms, images[index]) * weight);
        }
        return { strain: convertToStrain(worst), isHarmful: harms.worst * weight >= HARMFUL, alikeShare: 1 };
    }

    private describeServing(room: WorkerRoom, spec: StepSpec): PlaceView {
        const image = this.table.resolveImage(spec.image);
        const { images, fillers } = this.getHeadroom(room);
        const headroom = this.computeLeft(this.table.getUsual(image), image, fillers);
        let alike = 0;
        for (const other of images) {
            alike += this.isAlike(other, image) ? 1 : 0;
        }
        const alikeShare = images.length === 0 ? 1 : alike / images.length;
        return { strain: convertToStrain(headroom), isHarmful: false, alikeShare };
    }

    /** A round adds to rooms as it goes; only what was added is worked out. */
    private getHeadroom(room: WorkerRoom): RoomHeadroom {
        const known = this.headrooms.get(room);
        const headroom: RoomHeadroom = known ?? { fillers: [], images: [], lefts: [] };
        if (known === undefined) {
            this.headrooms.set(room, headroom);
        }
        const { fillers, images, lefts } = headroom;
        for (let index = fillers.length; index < room.fillers.length; index++) {
            const spec = room.fillers[index];
            const filler = { harms: this.table.resolveHarms(spec.image), weight: computeWeight(room, spec) };
            fillers.push(filler);
            for (let server = 0; server < lefts.length; server++) {
                lefts[server] -= this.table.getHarm(filler.harms, images[server]) * filler.weight;
            }
        }
        for (let index = images.length; index < room.servers.length; index++) {
            const server = room.servers[index];
            const image = this.table.resolveImage(server.step.spec.image);
            images.push(image);
            lefts.push(this.computeLeft(server.headroom ?? this.table.getUsual(image), image, fillers));
        }
        return headroom;
    }

    private computeLeft(headroom: number, serving: number, fillers: readonly FillerThere[]): number {
        let left = headroom;
        for (const { harms, weight } of fillers) {
            left -= this.table.getHarm(harms, serving) * weight;
        }
        return left;
    }

    /** Whether two serving images are the same, or are both known to suffer or both known not to. */
    private isAlike(image: number, other: number): boolean {
        const [left, right] = [this.table.isSensitive(image), this.table.isSensitive(other)];
        return image === other || (left !== undefined && right !== undefined && left === right);
    }
}

function computeWeight(room: WorkerRoom, spec: StepSpec): number {
    return spec.cpuMillis / Math.max(1, room.capacityCpuMillis);
}

function convertToStrain(headroom: number): number {
    return 1 / Math.max(LEAST_HEADROOM, headroom);
}
