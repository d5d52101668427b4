/**
 * Checks and measurements of writing, reading and comparing configurations.
 */
package org.comfreywall.bench.config;
