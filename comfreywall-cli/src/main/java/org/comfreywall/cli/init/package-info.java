/**
 * The {@code init} command: questionnaire, answers files, and generation of a fleet's
 * configuration and settings.
 */
package org.comfreywall.cli.init;
