/**
 * Divides a total by max-min fairness: whoever needs less than an equal share gets all of it, and the others share the rest
 * equally. The order of the needs does not matter.
 */
export function divideMaxMin(total: number, needs: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const shares = new Map<string, number>([...needs.keys()].map((name) => [name, 0]));
    const ascending = [...needs].sort(([, a], [, b]) => a - b);
    let left = Math.max(0, total);
    ascending.forEach(([name, need], index) => {
        const share = Math.min(Math.max(0, need), left / (ascending.length - index));
        shares.set(name, share);
        left -= share;
    });
    return shares;
}
