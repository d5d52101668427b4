/**
 * The format of event streams, as far as forwarding them needs it.
 */
package org.comfreywall.common.stream;
