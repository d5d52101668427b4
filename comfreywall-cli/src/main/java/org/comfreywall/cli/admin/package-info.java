/**
 * The client of a daemon's admin API.
 */
package org.comfreywall.cli.admin;
