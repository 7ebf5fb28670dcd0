import type { ExperimentRow } from "./experiment";

const [widthPx, heightPx, marginPx] = [860, 260, 44];
const colours = ["#1b6ca8", "#c8553d", "#588157", "#8d5a97", "#b08900", "#555555"];

/** Draws one SVG panel for each curve name, with one line for each setting and way. */
export function drawCurves(title: string, rows: readonly ExperimentRow[]): string {
    const lines = rows.flatMap(({ setting, way, curves }) =>
        (curves ?? []).map((curve) => ({ ...curve, label: `${setting}, ${way}` }))
    );
    const names = [...new Set(lines.map(({ name }) => name))];
    const panels = names.map((name, at) => drawPanel(name, lines.filter((line) => line.name === name), at * heightPx));
    const size = `width="${widthPx}" height="${names.length * heightPx + marginPx}"`;
    return `<svg xmlns="http://www.w3.org/2000/svg" ${size} font-family="sans-serif" font-size="11">`
        + `<title>${title}</title>${panels.join("")}</svg>\n`;
}

interface Line {
    readonly label: string;
    readonly points: readonly (readonly [number, number])[];
}

function drawPanel(name: string, lines: readonly Line[], topPx: number): string {
    const all = lines.flatMap(({ points }) => points);
    const maxX = Math.max(1e-9, ...all.map(([x]) => x));
    const maxY = Math.max(1e-9, ...all.map(([, y]) => y));
    const toX = (x: number) => marginPx + x / maxX * (widthPx - 2 * marginPx);
    const toY = (y: number) => topPx + heightPx - marginPx / 2 - y / maxY * (heightPx - 1.5 * marginPx);
    const drawn = lines.map(({ label, points }, at) => {
        const colour = colours[at % colours.length];
        const path = points.map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`).join(" ");
        const y = topPx + marginPx / 2 + 14 * at;
        return `<polyline points="${path}" fill="none" stroke="${colour}"/>`
            + `<text x="${widthPx - marginPx}" y="${y}" text-anchor="end" fill="${colour}">${label}</text>`;
    });
    const axis = `<line x1="${marginPx}" x2="${widthPx - marginPx}" y1="${toY(0)}" y2="${toY(0)}" stroke="#999"/>`;
    return `${axis}<text x="4" y="${topPx + 14}">${name} (0 to ${maxY.toPrecision(3)}; 0 to ${
        maxX.toPrecision(3)
    } s)</text>`
        + drawn.join("");
}
