import type { CapacityForecast } from "@sardinestage/plan-capacity";
import { isFitting, planReservations } from "@sardinestage/plan-capacity";
import type { StepRun } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import { countReservable } from "./countReservable.js";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { describeForecast } from "./describeForecast.js";
import { describeNeed } from "./describeNeed.js";
import { hasCapacity } from "./hasCapacity.js";
import type { HeldReservation } from "./heldReservation.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import type { PlannedStart } from "./plannedStart.js";
import { ReservationOutcome } from "./reservationOutcome.js";
import type { StartRules } from "./startRules.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Room that comes free only after this time isn't reserved, in milliseconds: expected ends are too uncertain by then. */
const HORIZON_MS = 60_000;
/** A reservation is given up so long after its expected start at the earliest, in milliseconds. */
const MIN_MARGIN_MS = 2000;
/** A task that uses room ahead of a reservation may take this many times as long as expected. */
const BACKFILL_SAFETY = 1.25;
/** The most reservations of one worker, gangs aside: later ones would follow on too uncertain ends. */
const MAX_PER_WORKER = 4;
/** The most demands in a round for which planning finds no room; it looks at every worker. */
const MAX_VAIN_PLANS_PER_ROUND = 8;
/** A demand for which planning has found no room isn't planned again before this, in milliseconds. */
const RETRY_MS = 500;
/** How long room that preemption frees is kept for the demand, in milliseconds, as far as other work is concerned. */
const PREEMPTION_MS = 2000;

/** Dependencies of a reservation planner. */
interface ReservationPlannerParts {
    /** Estimates the duration of a step's tasks, in milliseconds. */
    readonly estimateDuration: (step: StepRun) => number;
    readonly noteOutcome: (outcome: ReservationOutcome, reservation: HeldReservation) => void;
}

/**
 * Keeps reservations over planning rounds: where and when waiting tasks that need much room will start. Smaller tasks
 * start on their workers only if they are expected to end before or use none of the reserved capacity. Reservations hold
 * back neither work of higher priority nor long-running tasks, and lapse if there is no room at the expected time.
 */
export class ReservationPlanner {
    private readonly held = new Map<StepRun, readonly HeldReservation[]>();
    private readonly lapsedWorkerIds = new WeakMap<StepRun, Set<string>>();
    private nowMs = 0;
    private vainPlans = 0;
    private readonly vainAtMs = new WeakMap<StepRun, number>();

    constructor(private readonly parts: ReservationPlannerParts) {}

    /** Number of present reservations. */
    get count(): number {
        return [...this.held.values()].reduce((sum, held) => sum + held.length, 0);
    }

    /** Copies the planner for a plan that isn't carried out: what the copy reserves or gives up isn't reported. */
    createCopy(): ReservationPlanner {
        const copy = new ReservationPlanner({ ...this.parts, noteOutcome: () => undefined });
        this.held.forEach((held, step) => copy.held.set(step, held));
        return copy;
    }

    /**
     * Starts a round: gives up reservations that have lapsed or whose worker gets no start now.
     *
     * @param workers Free capacity of the workers, to which the other reservations are added.
     * @param nowMs Steady milliseconds.
     */
    startRound(workers: readonly WorkerCapacity[], nowMs: number): void {
        this.nowMs = nowMs;
        this.vainPlans = 0;
        for (const worker of workers) {
            if (worker.ahead !== undefined && worker.ahead.reservations.length > 0) {
                setReservations(worker, []);
            }
        }
        if (this.held.size === 0) {
            return;
        }
        const byId = new Map(workers.map(worker => [worker.workerId, worker]));
        for (const [step, held] of this.held) {
            const isWaiting = step.waitingCount > 0 && !step.occurrence.job.isFinished;
            const kept = held.filter(reservation => isWaiting && this.isValid(reservation, byId));
            held.filter(reservation => !kept.includes(reservation)).forEach(each => this.drop(each, isWaiting));
            const present = kept.map(reservation => extendToNow(reservation, nowMs));
            this.setHeld(step, present);
            present.forEach(reservation => addReservation(byId.get(reservation.workerId), reservation));
        }
    }

    /** Whether capacity is reserved for a step. */
    has(step: StepRun): boolean {
        return this.held.has(step);
    }

    /**
     * Whether tasks of a demand may start on a worker without delaying a reservation that they have to respect.
     *
     * @param count Number of tasks that would start there at once.
     */
    checkStart(worker: WorkerCapacity, demand: StepDemand, count = 1): boolean {
        const { spec, occurrence } = demand.step;
        const { priority } = occurrence.job.queue;
        if (spec.longRunning || worker.ahead === undefined || worker.ahead.reservations.length === 0) {
            return true;
        }
        // Of two reservations on a worker, the later one waits for the earlier one.
        const ownMs = worker.ahead.reservations.find(({ step }) => step === demand.step)?.plannedMs ?? Infinity;
        const respected = worker.ahead.reservations.filter(({ step, plannedMs }) =>
            step !== demand.step && plannedMs <= ownMs && step.occurrence.job.queue.priority <= priority
        );
        const durationMs = this.parts.estimateDuration(demand.step) * BACKFILL_SAFETY;
        return respected.length === 0
            || isFitting(describeForecast(worker, respected), describeNeed(spec, count), durationMs, this.nowMs);
    }

    /** Whether a worker has room for a demand, but keeps it for others, so that other demands of its size may fit there. */
    isHeldBack(demand: StepDemand, workers: readonly WorkerCapacity[]): boolean {
        return workers.some(worker =>
            worker.ahead !== undefined && worker.ahead.reservations.length > 0 && isAllowedOn(demand.step, worker)
            && hasCapacity(worker, demand.step.spec, false) && !this.checkStart(worker, demand)
        );
    }

    /** Notes that a task of a step is planned on a worker, so that its end is expected. */
    notePlanned(worker: WorkerCapacity, step: StepRun): void {
        if (!step.spec.longRunning) {
            const atMs = this.nowMs + this.parts.estimateDuration(step);
            worker.ahead?.plannedEnds.push({ ...describeNeed(step.spec), atMs });
        }
    }

    /** Ends reservations of a demand for tasks that start now, or of one that has nothing to wait for. */
    releaseStarted(demand: StepDemand, placed: readonly PlannedStart[], ledger: CapacityLedger): void {
        const held = this.held.get(demand.step);
        if (held === undefined || placed.length === 0) {
            return;
        }
        const startedIds = new Set(placed.map(({ workerId }) => workerId));
        const ordered = [...held].sort((left, right) =>
            Number(startedIds.has(right.workerId)) - Number(startedIds.has(left.workerId)) || left.fromMs - right.fromMs
        );
        const released = ordered.slice(0, placed.length);
        released.forEach(reservation => this.parts.noteOutcome(ReservationOutcome.Kept, reservation));
        this.setHeld(demand.step, ordered.slice(placed.length));
        removeReservations(ledger, released);
    }

    /**
     * Drops the latest reservations of a demand that no task would use, because some of its tasks wait only for trusted
     * workers.
     *
     * @param neededCount Number of tasks that wait for room.
     */
    dropUnneeded(demand: StepDemand, neededCount: number, ledger: CapacityLedger): void {
        const held = [...this.held.get(demand.step) ?? []].sort((left, right) => left.fromMs - right.fromMs);
        const dropped = held.slice(neededCount);
        dropped.forEach(reservation => this.parts.noteOutcome(ReservationOutcome.Dropped, reservation));
        this.setHeld(demand.step, held.slice(0, neededCount));
        removeReservations(ledger, dropped);
    }

    /**
     * Reserves capacity for the tasks of a demand that didn't fit.
     *
     * @param demand The demand whose tasks wait.
     * @param placed Starts of the demand's tasks in this round.
     * @param ledger Free capacity of the workers.
     * @param rules Limits of the planning round.
     * @param heldBackCount Number of the demand's tasks that wait only for a trusted worker and get no reservation.
     */
    reserve(
        demand: StepDemand,
        placed: readonly PlannedStart[],
        ledger: CapacityLedger,
        rules: Pick<StartRules, "isAdvised">,
        heldBackCount = 0,
    ): void {
        const { step, waiting } = demand;
        const preemptedIds = this.reservePreempted(demand, ledger);
        const held = this.held.get(step) ?? [];
        const missingCount = waiting.length - heldBackCount - placed.length - held.length - preemptedIds.length;
        const isTried = this.vainPlans >= MAX_VAIN_PLANS_PER_ROUND
            || this.nowMs - (this.vainAtMs.get(step) ?? -Infinity) < RETRY_MS;
        if (missingCount <= 0 || isTried || (step.spec.gang && held.length > 0)) {
            return;
        }
        const mostCount = countReservable(demand, ledger);
        if (mostCount === undefined || (step.spec.gang && mostCount < missingCount)) {
            return;
        }
        const takenIds = [...placed, ...held].map(({ workerId }) => workerId).concat(preemptedIds);
        const forecasts = this.listForecasts(demand, ledger, takenIds, rules, mostCount > 0);
        const made: HeldReservation[] = [];
        let count = mostCount;
        let added: HeldReservation[];
        do {
            added = this.addSoonest(demand, Math.min(missingCount - made.length, count), forecasts, ledger);
            made.push(...added);
            // Several starts on one worker leave others to reserve.
            count = countReservable(demand, ledger) ?? 0;
        }
        while (added.length > 0 && made.length < missingCount);
        if (!step.spec.gang && made.length < missingCount) {
            // Workers that are reserved anyway may take more tasks, so that these don't wait for each other.
            const reserved = forecasts.map(forecast => forecast?.reservations.length === 0 ? undefined : forecast);
            made.push(...this.addSoonest(demand, missingCount - made.length, reserved, ledger));
        }
        if (made.length < missingCount) {
            this.vainPlans++;
            this.vainAtMs.set(step, this.nowMs);
        }
        if (made.length === 0) {
            this.lapsedWorkerIds.delete(step);
        }
        this.setHeld(step, [...held, ...made]);
    }

    /** Reserves the soonest starts for a number of a demand's tasks. */
    private addSoonest(
        { step }: StepDemand,
        count: number,
        forecasts: (CapacityForecast | undefined)[],
        ledger: CapacityLedger,
    ): HeldReservation[] {
        const { spec } = step;
        const durationMs = spec.longRunning ? Infinity : this.parts.estimateDuration(step);
        const request = {
            need: describeNeed(spec),
            durationMs,
            count,
            maxPerWorker: spec.gang ? spec.maxTasksPerWorker : computeMostPerWorker(spec.maxTasksPerWorker),
            isGang: spec.gang,
        };
        const planned = count === 0 ? [] : planReservations(request, forecasts, this.nowMs, this.nowMs + HORIZON_MS);
        return planned.map(({ index, ...reservation }) => {
            const lapsesAtMs = reservation.fromMs + Math.max(MIN_MARGIN_MS, reservation.fromMs - this.nowMs);
            const worker = ledger.workers[index];
            const { workerId } = worker;
            const added = { ...reservation, step, workerId, plannedMs: reservation.fromMs, lapsesAtMs };
            addReservation(worker, added);
            ledger.noteChange(index);
            // A further plan for the demand sees it.
            forecasts[index] = describeForecast(worker, worker.ahead?.reservations ?? []);
            this.parts.noteOutcome(ReservationOutcome.Made, added);
            return added;
        });
    }

    /** Keeps the room that preemption frees for the demand, and returns the workers, one entry a task. */
    private reservePreempted(demand: StepDemand, ledger: CapacityLedger): readonly string[] {
        const { step } = demand;
        const ids = demand.reservedWorkerIds ?? [];
        if (ids.length === 0) {
            return ids;
        }
        ledger.workers.forEach((worker, index) => {
            const count = ids.filter(id => id === worker.workerId).length;
            if (count > 0 && step.spec.longRunning) {
                ledger.close(index);
            }
            else if (count > 0) {
                const [plannedMs, lapsesAtMs] = [this.nowMs, this.nowMs + PREEMPTION_MS];
                const reservation = { ...describeNeed(step.spec, count), fromMs: plannedMs, untilMs: lapsesAtMs };
                addReservation(worker, { ...reservation, step, workerId: worker.workerId, plannedMs, lapsesAtMs });
                ledger.noteChange(index);
            }
        });
        return ids;
    }

    private listForecasts(
        demand: StepDemand,
        ledger: CapacityLedger,
        takenIds: readonly string[],
        rules: Pick<StartRules, "isAdvised">,
        mayUseUnreserved: boolean,
    ): (CapacityForecast | undefined)[] {
        const { step } = demand;
        const perWorker = countTasksPerWorker(step, takenIds);
        const lapsedIds = this.lapsedWorkerIds.get(step);
        return ledger.workers.map(worker => {
            const reservedCount = worker.ahead?.reservations.length ?? 0;
            const isUsable = (reservedCount === 0 ? mayUseUnreserved : reservedCount < MAX_PER_WORKER)
                && worker.startsLeft > 0 && worker.trial === undefined && isAllowedOn(step, worker)
                && lapsedIds?.has(worker.workerId) !== true
                && !isStepLimitReached(step.spec, perWorker.get(worker.workerId))
                && rules.isAdvised(demand.waiting[0], worker.workerId);
            return isUsable ? describeForecast(worker, worker.ahead?.reservations ?? []) : undefined;
        });
    }

    private isValid(reservation: HeldReservation, workers: ReadonlyMap<string, WorkerCapacity>): boolean {
        return this.nowMs < reservation.lapsesAtMs && workers.has(reservation.workerId);
    }

    private drop(reservation: HeldReservation, isWaiting: boolean): void {
        const isMissed = isWaiting && this.nowMs >= reservation.lapsesAtMs;
        if (isMissed) {
            const lapsedIds = this.lapsedWorkerIds.get(reservation.step) ?? new Set();
            this.lapsedWorkerIds.set(reservation.step, lapsedIds.add(reservation.workerId));
        }
        this.parts.noteOutcome(isMissed ? ReservationOutcome.Missed : ReservationOutcome.Dropped, reservation);
    }

    private setHeld(step: StepRun, held: readonly HeldReservation[]): void {
        if (held.length > 0) {
            this.held.set(step, held);
        }
        else {
            this.held.delete(step);
        }
    }
}

/** An overdue reservation is for the present time on, for as long as the task is expected to take. */
function extendToNow(reservation: HeldReservation, nowMs: number): HeldReservation {
    const { fromMs, untilMs } = reservation;
    return fromMs >= nowMs ? reservation : { ...reservation, fromMs: nowMs, untilMs: untilMs + nowMs - fromMs };
}

function computeMostPerWorker(maxTasksPerWorker: number): number {
    return maxTasksPerWorker === 0 ? MAX_PER_WORKER : Math.min(MAX_PER_WORKER, maxTasksPerWorker);
}

function removeReservations(ledger: CapacityLedger, removed: readonly HeldReservation[]): void {
    ledger.workers.forEach((worker, index) => {
        const { reservations } = worker.ahead ?? { reservations: [] };
        if (reservations.some(reservation => removed.includes(reservation))) {
            setReservations(worker, reservations.filter(reservation => !removed.includes(reservation)));
            ledger.noteChange(index);
        }
    });
}

function addReservation(worker: WorkerCapacity | undefined, reservation: HeldReservation): void {
    setReservations(worker, [...worker?.ahead?.reservations ?? [], reservation]);
}

function setReservations(worker: WorkerCapacity | undefined, reservations: readonly HeldReservation[]): void {
    if (worker?.ahead !== undefined) {
        worker.ahead.reservations = reservations;
    }
}
