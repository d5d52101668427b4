package org.comfreywall.cli.init;

import java.nio.file.Path;

/**
 * A file generated from answers, not yet written.
 *
 * @param path the path relative to the output folder
 * @param text the file's text
 */
record GeneratedFile(Path path, String text) {

}
