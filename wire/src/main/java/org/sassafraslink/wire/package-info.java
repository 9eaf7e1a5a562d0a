/**
 * Sends protobuf messages between entry daemons over TCP with Netty.
 *
 * <p>The classes generated from {@code peer.proto} are committed in the package {@code generated}.
 */
package org.sassafraslink.wire;
