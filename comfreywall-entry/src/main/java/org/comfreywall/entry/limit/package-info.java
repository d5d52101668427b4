/**
 * Enforcement of client accounts' limits at an entry, with shares leased from grantors.
 */
package org.comfreywall.entry.limit;
