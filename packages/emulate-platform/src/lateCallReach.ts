/** Which lives of a worker apply a call that is carried out late. */
export enum LateCallReach {
    /** Only the life that the call was sent to. */
    SameLife = "same-life",
    /** Also the next life, two seconds after the first renewal of a lease has reached it. */
    RenewedLife = "renewed-life",
    /** Also the next life from its first moment. */
    AnyLife = "any-life",
}
