/**
 * Index of the backend servers that hold the key-value cache of prompt prefixes.
 */
package org.comfreywall.entry.prefix;
