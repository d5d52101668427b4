/**
 * Claims on idempotency keys.
 */
package org.comfreywall.common.claim;
