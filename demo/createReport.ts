/** A short report, section by section. */
export interface Report {
    section(title: string): void;
    line(text: string): void;
    text(): string;
}

export function createReport(): Report {
    const startedAtMs = performance.now();
    const lines: string[] = ["samphirepin demo"];
    return {
        section(title) {
            lines.push("", `${title} (${((performance.now() - startedAtMs) / 1000).toFixed(1)} s)`);
        },
        line: (text) => void lines.push(`  ${text}`),
        text: () => `${lines.join("\n")}\n`,
    };
}
