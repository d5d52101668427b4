package org.comfreywall.cli.init;

import java.nio.file.Path;

/**
 * A file generated from answers.
 *
 * @param path the path within the output folder
 * @param text the file's text
 */
record GeneratedFile(Path path, String text) {

}
