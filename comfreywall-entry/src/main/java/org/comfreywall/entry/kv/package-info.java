/**
 * Price of moving key-value cache between backend servers against computing it again.
 */
package org.comfreywall.entry.kv;
