/** Place of a boot in the order in which boots may do a duty, by rendezvous hashing; 0 is the first in line. */
export function rankOf(boot: string, duty: string, others: readonly string[]): number {
    const own = weigh(duty, boot);
    return others.filter((other) => other !== boot && weigh(duty, other) > own).length;
}

/** FNV-1a with a final mix, so that similar names fall far apart. */
function weigh(duty: string, boot: string): number {
    let hash = 0x811c9dc5;
    const text = `${duty}\n${boot}`;
    for (let at = 0; at < text.length; at++) {
        hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
