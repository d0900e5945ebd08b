/** Exports nothing: the package is used through its binary. @module */
export {};
