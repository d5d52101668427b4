/**
 * Ownership and clean-up of resources.
 */
package org.comfreywall.common.lifecycle;
