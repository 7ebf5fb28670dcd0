import type { FleetState, Instance } from "./state";

type Instances = FleetState["instances"];

interface Index {
    readonly byPool: Map<string, readonly Instance[]>;
    readonly byUrl: Map<string, string>;
}

const indexes = new WeakMap<Instances, Index>();
/** Copies that only one batch has seen; they are changed in place. */
const drafts = new WeakSet<Instances>();

/**
 * Runs a batch of changes on one copy of the instances.
 * A copy for each change would take seconds where a fleet of thousands is added at once.
 */
export function inBatch<T>(state: FleetState, run: (draft: FleetState) => T): T {
    const instances = { ...state.instances };
    drafts.add(instances);
    try {
        return run({ ...state, instances });
    }
    finally {
        drafts.delete(instances);
    }
}

/** Instances by pool; made once for each state of the instances. */
export function indexMembers(instances: Instances): ReadonlyMap<string, readonly Instance[]> {
    return readIndex(instances).byPool;
}

/** Name of the instance that has this address. */
export function findByUrl(instances: Instances, url: string): string | undefined {
    return readIndex(instances).byUrl.get(url);
}

/** Adds or replaces an instance. */
export function putInstance(state: FleetState, instance: Instance): FleetState {
    if (!drafts.has(state.instances)) {
        return { ...state, instances: { ...state.instances, [instance.name]: instance } };
    }
    const old = state.instances[instance.name];
    (state.instances as Record<string, Instance>)[instance.name] = instance;
    updateIndex(state.instances, old, instance);
    return { ...state };
}

export function removeInstance(state: FleetState, name: string): FleetState {
    const { [name]: _removed, ...instances } = state.instances;
    return { ...state, instances };
}

function readIndex(instances: Instances): Index {
    const known = indexes.get(instances);
    if (known !== undefined) {
        return known;
    }
    const byPool = new Map<string, Instance[]>();
    const byUrl = new Map<string, string>();
    for (const instance of Object.values(instances)) {
        byUrl.set(instance.url, instance.name);
        const members = byPool.get(instance.pool);
        if (members === undefined) {
            byPool.set(instance.pool, [instance]);
        }
        else {
            members.push(instance);
        }
    }
    const index = { byPool, byUrl };
    indexes.set(instances, index);
    return index;
}

function updateIndex(instances: Instances, old: Instance | undefined, now: Instance): void {
    const index = indexes.get(instances);
    if (index === undefined) {
        return;
    }
    if (old !== undefined) {
        const left = (index.byPool.get(old.pool) ?? []).filter(({ name }) => name !== old.name);
        index.byPool.set(old.pool, left);
    }
    index.byPool.set(now.pool, [...index.byPool.get(now.pool) ?? [], now]);
    index.byUrl.set(now.url, now.name);
}
