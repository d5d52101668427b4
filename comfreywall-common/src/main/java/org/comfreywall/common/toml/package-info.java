/**
 * Reading of TOML documents with strict validation against descriptors, and writing.
 */
package org.comfreywall.common.toml;
