/**
 * The comfreywall command-line tool.
 */
package org.comfreywall.cli;
