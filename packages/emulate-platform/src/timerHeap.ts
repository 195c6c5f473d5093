import type { Timer } from "./timer.js";

/** Timers, of which the first is found at once however many there are. */
export class TimerHeap {
    private readonly timers: Timer[] = [];

    /** The timer that comes first. */
    getFirst(): Timer | undefined {
        return this.timers.at(0);
    }

    /** Adds a timer. */
    add(timer: Timer): void {
        let place = this.timers.length;
        this.timers.push(timer);
        while (place > 0) {
            const above = (place - 1) >> 1;
            if (!isBefore(timer, this.timers[above])) {
                break;
            }
            this.timers[place] = this.timers[above];
            place = above;
        }
        this.timers[place] = timer;
    }

    /** Removes the timer that comes first. */
    removeFirst(): void {
        const last = this.timers.pop();
        if (last === undefined || this.timers.length === 0) {
            return;
        }
        let place = 0;
        for (;;) {
            const below = this.chooseBelow(place);
            if (below === undefined || !isBefore(this.timers[below], last)) {
                break;
            }
            this.timers[place] = this.timers[below];
            place = below;
        }
        this.timers[place] = last;
    }

    private chooseBelow(place: number): number | undefined {
        const left = 2 * place + 1;
        if (left >= this.timers.length) {
            return undefined;
        }
        const right = left + 1;
        return right < this.timers.length && isBefore(this.timers[right], this.timers[left]) ? right : left;
    }
}

function isBefore(left: Timer, right: Timer): boolean {
    return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}
