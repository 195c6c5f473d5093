/** Waits for the first result that isn't undefined; undefined once all have come to nothing. */
export function waitForFirst<T>(attempts: readonly Promise<T | undefined>[]): Promise<T | undefined> {
    return new Promise(resolve => {
        let open = attempts.length;
        for (const attempt of attempts) {
            void attempt.then(result => {
                open--;
                if (result !== undefined || open === 0) {
                    resolve(result);
                }
            });
        }
    });
}
