/**
 * The entry's side of limits that are leased from a grantor.
 */
package org.comfreywall.entry.limit;
