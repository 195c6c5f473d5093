import type { Timer } from "./timer.js";

/** A binary min-heap of timers, ordered by due time and then by sequence number. */
export class TimerHeap {
    private readonly timers: Timer[] = [];

    /** Returns the timer that is due first. */
    getFirst(): Timer | undefined {
        return this.timers.at(0);
    }

    /** Adds a timer in O(log n). */
    add(timer: Timer): void {
        let index = this.timers.length;
        this.timers.push(timer);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(timer, this.timers[parent])) {
                break;
            }
            this.timers[index] = this.timers[parent];
            index = parent;
        }
        this.timers[index] = timer;
    }

    /** Removes the timer that is due first. */
    removeFirst(): void {
        const last = this.timers.pop();
        if (last === undefined || this.timers.length === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            const child = this.chooseEarlierChild(index);
            if (child === undefined || !isBefore(this.timers[child], last)) {
                break;
            }
            this.timers[index] = this.timers[child];
            index = child;
        }
        this.timers[index] = last;
    }

    private chooseEarlierChild(index: number): number | undefined {
        const left = 2 * index + 1;
        if (left >= this.timers.length) {
            return undefined;
        }
        const right = left + 1;
        return right < this.timers.length && isBefore(this.timers[right], this.timers[left]) ? right : left;
    }
}

function isBefore(left: Timer, right: Timer): boolean {
    return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequenceNumber < right.sequenceNumber);
}
