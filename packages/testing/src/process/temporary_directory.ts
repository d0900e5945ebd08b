/**
 * Temporary directories for the settings files of launched processes.
 * @module
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** A temporary directory; its creator must remove it. */
export class TemporaryDirectory {
  readonly path: string;

  private constructor(path: string) {
    this.path = path;
  }

  static async create(): Promise<TemporaryDirectory> {
    return new TemporaryDirectory(
      await mkdtemp(join(tmpdir(), "sycamorepulley-")),
    );
  }

  /** Writes a file and returns its path. */
  async write(name: string, text: string): Promise<string> {
    const path = join(this.path, name);
    await writeFile(path, text);
    return path;
  }

  async remove(): Promise<void> {
    await rm(this.path, { recursive: true, force: true });
  }
}
