/**
 * Knowledge of which backend servers hold the key-value cache of which prompt prefixes.
 */
package org.comfreywall.entry.prefix;
