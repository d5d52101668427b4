/**
 * Measurements of reading, writing and comparing configurations.
 */
package org.comfreywall.bench.config;
