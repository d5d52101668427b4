/**
 * Subcommands of the command-line tool and the classes they share.
 */
package org.comfreywall.cli.command;
