/**
 * Strict, descriptor-driven reading of TOML documents and canonical writing.
 */
package org.comfreywall.common.toml;
