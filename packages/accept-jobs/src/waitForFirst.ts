/** Resolves to the first result that isn't undefined, or to undefined once all attempts have resolved to it. */
export function waitForFirst<T>(attempts: readonly Promise<T | undefined>[]): Promise<T | undefined> {
    return new Promise(resolve => {
        let pending = attempts.length;
        for (const attempt of attempts) {
            void attempt.then(result => {
                pending--;
                if (result !== undefined || pending === 0) {
                    resolve(result);
                }
            });
        }
    });
}
