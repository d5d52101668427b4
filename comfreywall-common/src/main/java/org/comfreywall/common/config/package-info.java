/**
 * The configuration shared by all instances.
 */
package org.comfreywall.common.config;
