/**
 * Divides a total by max-min fairness: nobody gets more than its need, and what the smaller needs leave is shared equally
 * by the larger ones. The shares are in the order of the needs and not rounded. Their sum is the lesser of the total and the
 * sum of the needs.
 */
export function divideMaxMin(total: number, needs: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const shares = new Map<string, number>([...needs.keys()].map((name) => [name, 0]));
    const ascending = [...needs].sort(([, a], [, b]) => a - b);
    let left = Math.max(0, total);
    ascending.forEach(([name, need], at) => {
        const share = Math.min(Math.max(0, need), left / (ascending.length - at));
        shares.set(name, share);
        left -= share;
    });
    return shares;
}
