/**
 * Choice between transferring key-value cache from another backend server and computing
 * it.
 */
package org.comfreywall.entry.kv;
