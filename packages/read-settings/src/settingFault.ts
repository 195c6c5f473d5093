/** One fault in a settings file. */
export interface SettingFault {
    /** The key with its section, such as `leases.renewMs`. */
    readonly key: string;
    /** 1-based line of the key, or of its section when the key is missing; absent when the section is missing too. */
    readonly line?: number;
    /** The fault and its remedy, worded to follow the key. */
    readonly problem: string;
}
