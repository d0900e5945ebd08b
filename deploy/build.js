/**
 * Bundles each role into one file: a bundle starts faster and takes less memory
 * than several hundred modules.
 * @module
 */
import { build } from "esbuild";
import process from "node:process";

const packages = ["decisions", "gateway", "protocol", "store"];
const alias = Object.fromEntries(
  packages.map((name) => [
    `@sycamorepulley/${name}`,
    `./packages/${name}/src/mod.ts`,
  ]),
);

await build({
  entryPoints: { gateway: "platform/src/main.ts" },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // Some dependencies have a UMD build as main, which no bundler can follow.
  mainFields: ["module", "main"],
  alias,
  legalComments: "none",
  logLevel: "warning",
  // Dependencies in CommonJS ask for node's own modules by `require`.
  banner: {
    js:
      'import { createRequire as createRequireHere } from "node:module"; const require = createRequireHere(import.meta.url);',
  },
}).catch(() => process.exit(1));
