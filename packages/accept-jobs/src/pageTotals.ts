/** What has been read from the store. */
export interface PageTotals {
    readonly pages: number;
    readonly bytes: number;
}
