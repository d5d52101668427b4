/**
 * Reading, writing and comparing configurations as TOML.
 */
package org.comfreywall.common.config.toml;
