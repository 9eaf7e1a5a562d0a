package org.sassafraslink.entry.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/** Decodes the requests on one connection and counts the bytes that it holds meanwhile. */
final class CallerRequestDecoder extends HttpRequestDecoder {
  private final CallerConnection connection;

  /** Bytes that were parsed and belong to an object that is not complete. */
  private int parsedBytes;

  CallerRequestDecoder(HttpDecoderConfig config, CallerConnection connection) {
    super(config);
    this.connection = connection;
  }

  /** Returns the number of bytes that belong to no decoded object, such as unfinished headers. */
  int undecodedBytes() {
    return parsedBytes + actualReadableBytes();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    super.channelRead(ctx, message);
    connection.onBytesRead(undecodedBytes());
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    int readableBytes = buffer.readableBytes();
    int decodedObjects = out.size();
    super.decode(ctx, buffer, out);
    parsedBytes =
        out.size() > decodedObjects ? 0 : parsedBytes + readableBytes - buffer.readableBytes();
  }
}
