const tokenPattern = /"fencingToken":(\d+)/;

/** Finds the fencing token in the bytes of a call; `undefined` if it has none. */
export function findFencingToken(data: Buffer): number | undefined {
    const token = tokenPattern.exec(data.toString())?.[1];
    return token === undefined ? undefined : Number(token);
}
