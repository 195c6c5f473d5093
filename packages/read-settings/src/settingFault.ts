/** One thing wrong in a settings file. */
export interface SettingFault {
    /** The key with its section, such as `leases.renewMs`. */
    readonly key: string;
    /** 1-based, absent when the key isn't in the file. */
    readonly line?: number;
    readonly problem: string;
}
