import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { PlaceView, WorkerRoom } from "@sardinestage/plan-starts";
import { HeadroomTable } from "./headroomTable.js";

/** A filling task that takes so much of any headroom needs a place of its own. */
const HARMFUL = 0.3;
/** Less headroom than this is all the same. */
const LEAST_HEADROOM = 0.05;
/** A place that neither suffers nor does harm. */
const NEUTRAL_PLACE: PlaceView = { strain: 0, isHarmful: false, alikeShare: 1 };

/** What the serving tasks of a room have left beside the filling ones there. */
interface RoomHeadroom {
    /** How many filling tasks it was worked out with. */
    fillers: number;
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
        const weight = spec.cpuMillis / Math.max(1, room.capacityCpuMillis);
        let worst = Infinity;
        for (let index = 0; index < lefts.length; index++) {
            worst = Math.min(worst, lefts[index] - this.table.getHarm(spec.image, harms, images[index]) * weight);
        }
        return { strain: convertToStrain(worst), isHarmful: harms.worst * weight >= HARMFUL, alikeShare: 1 };
    }

    private describeServing(room: WorkerRoom, spec: StepSpec): PlaceView {
        const image = this.table.resolveImage(spec.image);
        const { images } = this.getHeadroom(room);
        let headroom = this.table.getUsual(image);
        for (const filler of room.fillers) {
            headroom -= this.computeTaken(room, filler, image);
        }
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
        const headroom: RoomHeadroom = known ?? { fillers: 0, images: [], lefts: [] };
        if (known === undefined) {
            this.headrooms.set(room, headroom);
        }
        const { images, lefts } = headroom;
        for (; headroom.fillers < room.fillers.length; headroom.fillers++) {
            for (let index = 0; index < lefts.length; index++) {
                lefts[index] -= this.computeTaken(room, room.fillers[headroom.fillers], images[index]);
            }
        }
        for (let index = images.length; index < room.servers.length; index++) {
            const server = room.servers[index];
            const image = this.table.resolveImage(server.step.spec.image);
            let left = server.headroom ?? this.table.getUsual(image);
            for (const filler of room.fillers) {
                left -= this.computeTaken(room, filler, image);
            }
            images.push(image);
            lefts.push(left);
        }
        return headroom;
    }

    private computeTaken(room: WorkerRoom, filler: StepSpec, serving: number): number {
        const harms = this.table.resolveHarms(filler.image);
        return this.table.getHarm(filler.image, harms, serving) * filler.cpuMillis
            / Math.max(1, room.capacityCpuMillis);
    }

    /** Whether two serving images are the same, or are both known to suffer or both known not to. */
    private isAlike(image: number, other: number): boolean {
        const [left, right] = [this.table.isSensitive(image), this.table.isSensitive(other)];
        return image === other || (left !== undefined && right !== undefined && left === right);
    }
}

function convertToStrain(headroom: number): number {
    return 1 / Math.max(LEAST_HEADROOM, headroom);
}
