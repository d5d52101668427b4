/**
 * The sub-commands of the command-line tool and what they share.
 */
package org.comfreywall.cli.command;
