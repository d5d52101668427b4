/**
 * Management and closing of resources.
 */
package org.comfreywall.common.lifecycle;
